import type { RawHeaders } from './Types.js'

/** Headers that apply to one connection only (RFC 9110, section 7.6.1) and are not forwarded. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Headers that the node sets itself; the values of callers are dropped. */
const SET_BY_NODE = new Set(['sassafras-call', 'sassafras-deadline-ms', 'sassafras-depth'])

const NO_NAMES: ReadonlySet<string> = new Set()

/**
 * Selects the headers that may be forwarded: drops hop-by-hop headers, those listed in `Connection`, and `extra`.
 * @param raw Alternating names and values.
 * @param extra Further names to drop, in lower case.
 */
export function selectEndToEnd (raw: RawHeaders, extra: ReadonlySet<string> = NO_NAMES): string[] {
  const connectionOptions = parseConnectionOptions(raw)
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] as string
    const lowerCaseName = name.toLowerCase()
    if (HOP_BY_HOP.has(lowerCaseName) || connectionOptions.has(lowerCaseName) || extra.has(lowerCaseName)) continue
    kept.push(name, raw[i + 1] as string)
  }
  return kept
}

/** Selects the headers of a caller's request that are forwarded to the upstream's node. */
export function selectRequestHeaders (raw: RawHeaders): string[] {
  return selectEndToEnd(raw, SET_BY_NODE)
}

/**
 * Returns the first value of a header.
 * @param lowerCaseName Name of the header in lower case.
 */
export function findHeader (raw: RawHeaders, lowerCaseName: string): string | undefined {
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] as string
    if (name.length === lowerCaseName.length && name.toLowerCase() === lowerCaseName) return raw[i + 1]
  }
  return undefined
}

function parseConnectionOptions (raw: RawHeaders): ReadonlySet<string> {
  const value = findHeader(raw, 'connection')
  if (value === undefined || value === 'keep-alive' || value === 'close') return NO_NAMES
  return new Set(value.split(',').map(token => token.trim().toLowerCase()))
}
