import { expect, test } from 'vitest'
import { isConnectAddress } from '../../runtime/Address.js'
import { decodeDepartures, decodeNodeEntry, isInstanceId } from './EntryChecks.js'

const INSTANCE = { id: 'i-1', bornMs: 5, service: 's', slots: 6, state: 'ready' }
const ENTRY = { node: '10.0.0.1:80', zone: 'a', epoch: 1, revision: 1, state: 'up', instance: INSTANCE }

function decode (changes: object, instance: object = {}): unknown {
  return decodeNodeEntry({ ...ENTRY, ...changes, instance: { ...INSTANCE, ...instance } }, isConnectAddress)
}

test('an entry is decoded to its known fields', () => {
  expect(decode({ odd: [1] }, { odd: [1] })).toEqual(ENTRY)
  expect(decode({}, { isBornAssumed: true })).toEqual({ ...ENTRY, instance: { ...INSTANCE, isBornAssumed: true } })
  const { instance, ...node } = ENTRY
  expect([decodeNodeEntry(node, isConnectAddress), instance]).toEqual([node, INSTANCE])
})

test('an entry with an address that nobody can connect to is not used', () => {
  const ports = [':70000', ':0', ':-1', '', ':1e3', ':'].map(port => `10.0.0.1${port}`)
  for (const node of [...ports, ':80', 'a b:80', 'a\0b:80', 7, null, [ENTRY.node]]) expect(decode({ node })).toBe(undefined)
  for (const node of ['[::1]:80', 'host.example:65535']) expect(decode({ node })).toMatchObject({ node })
})

test('an entry with a number out of its range is not used', () => {
  const numbers = [-1, 0.5, NaN, Infinity, 1e308, Number.MAX_SAFE_INTEGER, 2n ** 63n, '1', null]
  for (const value of numbers) {
    for (const name of ['epoch', 'revision']) expect(decode({ [name]: value })).toBe(undefined)
    for (const name of ['slots', 'bornMs']) expect(decode({}, { [name]: value })).toBe(undefined)
  }
  expect(decode({}, { slots: 0 })).toBe(undefined)
})

test('an entry with a field of another type or an unknown state is not used', () => {
  for (const value of [undefined, 'entry', 7, null, []]) expect(decodeNodeEntry(value, isConnectAddress)).toBe(undefined)
  for (const instance of ['i-1', 7, null, []]) {
    expect(decodeNodeEntry({ ...ENTRY, instance }, isConnectAddress)).toBe(undefined)
  }
  for (const value of ['', 'other', 7, {}, 'x'.repeat(257)]) {
    expect(decode({ state: value })).toBe(undefined)
    expect(decode({}, { state: value })).toBe(undefined)
  }
  for (const value of ['', 7, {}, 'x'.repeat(257)]) {
    expect(decode({ zone: value })).toBe(undefined)
    expect(decode({}, { service: value })).toBe(undefined)
  }
})

test('an id that cannot be sent as a header names no instance', () => {
  for (const id of ['', ' i', 'i\r\n', 'i\0', '日', 'é', 'x'.repeat(257), 7, undefined]) expect(isInstanceId(id)).toBe(false)
  for (const id of ['i-7f3a91c2', 'a/b', '%2F', 'x'.repeat(256)]) expect(isInstanceId(id)).toBe(true)
})

test('departures with any odd value are not used', () => {
  const departure = { id: 'i-1', bornMs: 5 }
  expect(decodeDepartures([{ ...departure, odd: 1 }])).toEqual([departure])
  expect(decodeDepartures([])).toEqual([])
  const odd = [{ ...departure, id: 'i\r\n' }, { ...departure, bornMs: -1 }, { ...departure, bornMs: '5' }, { id: 'i-1' }, null, 'i-1', [departure]]
  for (const value of odd) expect(decodeDepartures([departure, value])).toBe(undefined)
  for (const values of [undefined, null, {}, 'i-1', Array(17).fill(departure)]) expect(decodeDepartures(values)).toBe(undefined)
})
