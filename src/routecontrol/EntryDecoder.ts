import { decodeDepartures, decodeNodeEntry } from '../parts/instances/EntryChecks.js'
import type { Departure, NodeEntry } from '../parts/instances/Types.js'
import { isConnectAddress } from '../runtime/Address.js'
import type { Log } from '../runtime/Types.js'

/** Longest description of a dropped value in a log line, in characters. */
const MAX_LOGGED_LENGTH = 200

/**
 * Decodes entries of nodes that another process has sent. An entry that can't be used is dropped with a log line and
 * does not affect the others.
 * @param values Content of a frame, of any type.
 * @param from Sender, for the log.
 */
export function decodeEntries (values: unknown, from: string, log: Log): NodeEntry[] {
  if (!Array.isArray(values)) {
    log.warn({ from, entries: describe(values) }, 'list of node entries dropped')
    return []
  }
  return values.flatMap(value => {
    const entry = decodeNodeEntry(value, isConnectAddress)
    if (entry === undefined) log.warn({ from, entry: describe(value) }, 'node entry dropped')
    return entry ?? []
  })
}

/** Decodes departures; a list that can't be used is dropped with a log line. */
export function decodeDepartureList (values: unknown, from: string, log: Log): Departure[] {
  const departures = decodeDepartures(values)
  if (departures === undefined) log.warn({ from, departures: describe(values) }, 'list of departures dropped')
  return departures ?? []
}

/** Decodes addresses of control replicas; those that can't be connected to are dropped with a log line. */
export function decodeAddresses (values: unknown, from: string, log: Log): string[] {
  const addresses = Array.isArray(values) ? values.filter(isConnectAddress) : []
  if (!Array.isArray(values) || addresses.length < values.length) {
    log.warn({ from, addresses: describe(values) }, 'addresses of control replicas dropped')
  }
  return addresses
}

/** A value of another process may be too deeply nested, or of a type that can't be written as JSON. */
function describe (value: unknown): string {
  try {
    return String(JSON.stringify(value)).slice(0, MAX_LOGGED_LENGTH)
  } catch {
    return typeof value
  }
}
