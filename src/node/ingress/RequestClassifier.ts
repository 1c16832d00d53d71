import type { ServiceRule } from '../../parts/configuration/Types.js'
import type { CallKind } from '../../parts/Types.js'

interface Pattern {
  readonly method: string
  readonly prefix: string
}

/** Methods that change nothing at the upstream (RFC 9110, section 9.2.1), so that a request may be repeated. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE'])

/**
 * Classifies requests as at-most-once (`guarded`), download or lookup by the patterns of a service's rule. A request
 * that no pattern lists is a lookup when its method is safe, and at-most-once otherwise.
 */
export class RequestClassifier {
  private readonly _guarded: readonly Pattern[]
  private readonly _downloads: readonly Pattern[]

  public constructor (public readonly rule: ServiceRule) {
    this._guarded = rule.guarded.map(parsePattern)
    this._downloads = rule.downloads.map(parsePattern)
  }

  /**
   * Returns the kind of a request.
   * @param target Path of the request, with or without a query; it is normalised before it is compared.
   */
  public classify (method: string, target: string): CallKind {
    const path = normalizePath(target)
    if (this._guarded.some(pattern => matches(pattern, method, path))) return 'guarded'
    if (this._downloads.some(pattern => matches(pattern, method, path))) return 'download'
    return SAFE_METHODS.has(method) ? 'lookup' : 'guarded'
  }
}

function parsePattern (text: string): Pattern {
  const space = text.indexOf(' ')
  return { method: text.slice(0, space), prefix: text.slice(space + 1) }
}

// A prefix matches whole path segments: `/checkouts` covers `/checkouts/7` but not `/checkouts-archive`.
function matches (pattern: Pattern, method: string, path: string): boolean {
  if (pattern.method !== '*' && pattern.method !== method) return false
  if (!path.startsWith(pattern.prefix)) return false
  const next = path[pattern.prefix.length]
  return pattern.prefix.endsWith('/') || next === undefined || next === '/' || next === '?'
}

const NEEDS_NORMALIZING = /%|\/\/|\/\.|\\/

/** Scheme and authority of a target in absolute form (RFC 9112, section 3.2.2). */
const ORIGIN = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i

// An upstream may read `/%63heckouts` or `//checkouts` as `/checkouts`. Without normalising, an at-most-once request in
// such a spelling would be classified as a lookup.
function normalizePath (target: string): string {
  const relative = target.replace(ORIGIN, '')
  const end = relative.search(/[?#]/)
  const path = end < 0 ? relative : relative.slice(0, end)
  if (!NEEDS_NORMALIZING.test(path)) return path
  const segments: string[] = []
  for (const segment of decodePath(path).split(/[/\\]+/)) {
    if (segment === '..') segments.pop()
    else if (segment !== '.' && segment !== '') segments.push(segment)
  }
  return `/${segments.join('/')}`
}

// Each run of escapes is decoded on its own, so that a malformed one does not keep the others encoded.
function decodePath (path: string): string {
  return path.replace(/(?:%[0-9a-f]{2})+/gi, escapes => {
    try {
      return decodeURIComponent(escapes)
    } catch {
      return decodeBytes(escapes)
    }
  })
}

/** Decodes escapes that are not valid UTF-8 byte by byte. */
function decodeBytes (escapes: string): string {
  return escapes.replace(/%([0-9a-f]{2})/gi, (_, hex: string) => String.fromCharCode(parseInt(hex, 16)))
}
