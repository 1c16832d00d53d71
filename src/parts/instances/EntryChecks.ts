import { MAX_DEPARTURES } from './DepartureTable.js'
import type { Departure, InstanceState, NodeEntry, PublishedInstance } from './Types.js'

/** Longest id of an instance or name of a service or zone, in characters. */
export const MAX_NAME_LENGTH = 256

/** Most slots of an instance: each running request has a connection of its own, and an address has so many ports. */
export const MAX_SLOTS = 65_535

/** Longest time for which an instance may say that it is slow after its start, in milliseconds. */
export const MAX_COLD_MS = 3_600_000

/** Latest point in time of a date, in Unix milliseconds; below the largest integer that a number holds exactly. */
export const MAX_UNIX_MS = 8_640_000_000_000_000

/** An id is written as a header value, where spaces at its ends and characters beyond ASCII don't survive. */
const INSTANCE_ID_PATTERN = /^[\x21-\x7e]+$/

const INSTANCE_STATES: ReadonlySet<unknown> = new Set<InstanceState>(['ready', 'draining', 'left'])

const NODE_STATES: ReadonlySet<unknown> = new Set<NodeEntry['state']>(['up', 'stopping', 'gone'])

/** Returns whether a value is an id that can be sent in a header. */
export function isInstanceId (value: unknown): value is string {
  return isName(value) && INSTANCE_ID_PATTERN.test(value)
}

/** Returns whether a value is an integer within a range. */
export function isIntegerWithin (value: unknown, min: number, max: number): value is number {
  return Number.isInteger(value) && (value as number) >= min && (value as number) <= max
}

/**
 * Decodes the entry of a node that another process has sent.
 * @param value Decoded frame content of any type.
 * @param isAddress Returns whether a value is an address that can be connected to.
 * @returns The known fields of the entry; undefined when any of them can't be used.
 */
export function decodeNodeEntry (
  value: unknown, isAddress: (value: unknown) => value is string
): NodeEntry | undefined {
  if (!isRecord(value)) return undefined
  const { node, zone, epoch, revision, state, instance } = value
  if (!isAddress(node) || !isName(zone) || !NODE_STATES.has(state)) return undefined
  if (!isIntegerWithin(epoch, 0, MAX_UNIX_MS) || !isIntegerWithin(revision, 0, MAX_UNIX_MS)) return undefined
  const base = { node, zone, epoch, revision, state: state as NodeEntry['state'] }
  if (instance === undefined) return base
  const decoded = decodeInstance(instance)
  return decoded === undefined ? undefined : { ...base, instance: decoded }
}

/**
 * Decodes departures that another process has sent.
 * @param values Decoded frame content of any type.
 * @returns The departures; undefined when any of them can't be used, or there are more than a node remembers.
 */
export function decodeDepartures (values: unknown): Departure[] | undefined {
  if (!Array.isArray(values) || values.length > MAX_DEPARTURES) return undefined
  const departures = values.flatMap((value: unknown) => {
    if (!isRecord(value) || !isInstanceId(value['id']) || !isIntegerWithin(value['bornMs'], 0, MAX_UNIX_MS)) return []
    return [{ id: value['id'], bornMs: value['bornMs'] }]
  })
  return departures.length === values.length ? departures : undefined
}

function decodeInstance (value: unknown): PublishedInstance | undefined {
  if (!isRecord(value)) return undefined
  const { id, bornMs, isBornAssumed, service, slots, state } = value
  if (!isInstanceId(id) || !isName(service) || !INSTANCE_STATES.has(state)) return undefined
  if (!isIntegerWithin(bornMs, 0, MAX_UNIX_MS) || !isIntegerWithin(slots, 1, MAX_SLOTS)) return undefined
  const instance = { id, bornMs, service, slots, state: state as InstanceState }
  return isBornAssumed === true ? { ...instance, isBornAssumed } : instance
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= MAX_NAME_LENGTH
}

function isRecord (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
