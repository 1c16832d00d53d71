import type { ServiceRule } from '../../parts/configuration/Types.js'
import type { CallKind } from '../../parts/Types.js'

interface Pattern {
  readonly method: string
  readonly prefix: string
}

/** Classifies requests as at-most-once (`guarded`), download or lookup by the patterns of a service's rule. */
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
    return this._downloads.some(pattern => matches(pattern, method, path)) ? 'download' : 'lookup'
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

// An upstream may read `/%63heckouts` or `//checkouts` as `/checkouts`. Without normalising, an at-most-once request in
// such a spelling would be classified as a lookup. A path with a malformed escape is not decoded.
function normalizePath (target: string): string {
  const end = target.search(/[?#]/)
  const path = end < 0 ? target : target.slice(0, end)
  if (!NEEDS_NORMALIZING.test(path)) return path
  const segments: string[] = []
  for (const segment of decodePath(path).split(/[/\\]+/)) {
    if (segment === '..') segments.pop()
    else if (segment !== '.' && segment !== '') segments.push(segment)
  }
  return `/${segments.join('/')}`
}

function decodePath (path: string): string {
  try {
    return decodeURIComponent(path)
  } catch {
    return path
  }
}
