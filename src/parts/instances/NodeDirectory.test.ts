import { expect, test } from 'vitest'
import { NodeDirectory } from './NodeDirectory.js'
import type { NodeEntry } from './Types.js'

const INSTANCE = { id: 'i-1', bornMs: 1, service: 'ledger', slots: 6, state: 'ready' } as const

function makeEntry (changes: Partial<NodeEntry>): NodeEntry {
  return { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up', instance: INSTANCE, ...changes }
}

test('a newer publication wins, an older one is ignored', () => {
  const directory = new NodeDirectory()
  directory.merge([makeEntry({ revision: 2, instance: { ...INSTANCE, state: 'draining' } })], 0)
  expect(directory.merge([makeEntry({ revision: 1 })], 1)).toEqual([])
  expect(directory.readyNodes('ledger')).toEqual([])
})

test('a publication with a later epoch wins over any revision', () => {
  const directory = new NodeDirectory()
  directory.merge([makeEntry({ revision: 50 })], 0)
  const [update] = directory.merge([makeEntry({ epoch: 2, revision: 1 })], 1)
  expect(update?.epoch).toBe(2)
})

test('a gone node comes back only with a newer publication', () => {
  const directory = new NodeDirectory()
  directory.merge([makeEntry({})], 0)
  directory.merge([makeEntry({ state: 'gone' })], 1)
  expect(directory.merge([makeEntry({})], 2)).toEqual([])
  expect(directory.readyNodes('ledger')).toEqual([])
  directory.merge([makeEntry({ revision: 2 })], 3)
  expect(directory.readyNodes('ledger')).toHaveLength(1)
})

// A node that reconnects to another replica must not be declared gone when its old connection times out.
test('a publication is no longer the newest once the node has published on another path', () => {
  const directory = new NodeDirectory()
  const first = makeEntry({ revision: 1 })
  directory.merge([first], 0)
  expect(directory.isNewest(first)).toBe(true)
  directory.merge([makeEntry({ revision: 2 })], 1)
  expect(directory.isNewest(first)).toBe(false)
})

test('an instance that leaves does not become ready again when its node restarts', () => {
  const directory = new NodeDirectory()
  directory.merge([makeEntry({ instance: { ...INSTANCE, state: 'draining' } })], 0)
  const [update] = directory.merge([makeEntry({ epoch: 2 })], 1)
  expect(update?.instance?.state).toBe('draining')
  expect(directory.readyNodes('ledger')).toEqual([])
})

test('the next incarnation of an instance that left is ready', () => {
  const directory = new NodeDirectory()
  directory.merge([makeEntry({ instance: { ...INSTANCE, state: 'left' } })], 0)
  directory.merge([makeEntry({ revision: 2, instance: { ...INSTANCE, bornMs: 2 } })], 1)
  expect(directory.readyNodes('ledger')).toHaveLength(1)
})
