import type { RawHeaders } from './Types.js'

/** Headers that concern one connection only (RFC 9110, section 7.6.1) and are not passed on. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Headers that the node sets itself. */
const SET_BY_NODE = new Set(['sassafras-call', 'sassafras-deadline-ms', 'sassafras-depth'])

const NO_NAMES: ReadonlySet<string> = new Set()

/**
 * Drops what must not be passed on: hop-by-hop headers, those that `Connection` names, and those in `extra`.
 * @param raw Names and values, one after the other.
 * @param extra Lower-case names to drop besides.
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

/** Headers of a caller's request that are passed to the upstream's node. */
export function selectRequestHeaders (raw: RawHeaders): string[] {
  return selectEndToEnd(raw, SET_BY_NODE)
}

/**
 * Finds the first value of a header.
 * @param lowerCaseName Name in lower case.
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
