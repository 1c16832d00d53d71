import fc from 'fast-check'
import { expect, test } from 'vitest'
import { checkChange, checkConfiguration } from './ConfigurationCheck.js'
import { ConfigurationStore } from './ConfigurationStore.js'
import type { ChangeReply, ChangeRequest, Configuration, ConfigurationSnapshot } from './Types.js'

const SEED = 4_040
const SCHEDULES = 1_500

type Step = readonly [number, number, number]
type Snapshot = (store: ConfigurationStore) => ConfigurationSnapshot

const RULE = {
  name: 'custody',
  guarded: ['POST /checkouts'],
  downloads: ['GET /drawings'],
  keyless: 'refuse' as const,
  deadlineMs: 1_000,
  drainMs: 60_000,
  retryShare: 0.1,
  maxBodyBytes: 1_048_576
}

function makeConfiguration (deadlineMs: number): Configuration {
  const zones = [{ region: 'kyushu', zone: 'fukuoka' }]
  return { services: [{ ...RULE, deadlineMs }], zones, measuring: { bytesPerSecond: 4_000, messagesPerCall: 0.2 } }
}

/** Submits racing and retried changes to a store that is at times replaced by one restored from a snapshot. */
function raceOperators (steps: readonly Step[], snapshot: Snapshot): void {
  let store = new ConfigurationStore()
  const sent: ChangeRequest[] = []
  const first = new Map<string, ChangeReply>()
  const accepted = new Map<number, string>()
  const send = (change: ChangeRequest) => {
    const before = store.inForce.version
    const reply = store.apply(change, 1)
    const earlier = first.get(change.operation)
    if (earlier !== undefined && JSON.stringify(earlier) !== JSON.stringify(reply)) {
      throw new Error('a retry got a different reply')
    }
    if (earlier !== undefined && store.inForce.version !== before) {
      throw new Error('an operation was applied twice')
    }
    if (earlier === undefined && reply.type === 'accepted') {
      expect([reply.version, change.base, accepted.has(reply.version)]).toEqual([before + 1, before, false])
      accepted.set(reply.version, change.operation)
    }
    first.set(change.operation, reply)
  }
  for (const [kind, pick, lag] of steps) {
    if (kind === 0) {
      const next = new ConfigurationStore()
      next.restore(structuredClone(snapshot(store)))
      store = next
    } else if (kind === 1 && sent.length > 0) {
      send(sent[pick % sent.length] as ChangeRequest)
    } else {
      const base = Math.max(0, store.inForce.version - lag % 2)
      const change = { operation: `operation-${sent.length}`, base, configuration: makeConfiguration(1 + pick) }
      sent.push(change)
      send(change)
    }
  }
}

const steps = fc.array(fc.tuple(fc.nat(3), fc.nat(50), fc.nat(5)), { maxLength: 40, size: 'max' })

// A lost reply makes an operator send the change again, also to a replica that restarted from a snapshot.
test('each operation is applied once and each retry gets the first reply', () => {
  const property = fc.property(steps, (schedule) => raceOperators(schedule, (store) => store.snapshot()))
  fc.assert(property, { seed: SEED, numRuns: SCHEDULES })
})

test('detects operation ids missing from the snapshot', () => {
  const forget: Snapshot = (store) => ({ ...store.snapshot(), operations: [] })
  const property = fc.property(steps, (schedule) => raceOperators(schedule, forget))
  const result = fc.check(property, { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
  expect(String(result.errorInstance)).toContain('a retry got a different reply')
})

test('of two changes based on one version the second gets the version in force and the differing paths', () => {
  const store = new ConfigurationStore()
  store.apply({ operation: 'a', base: 0, configuration: makeConfiguration(100) }, 1)
  const late = { ...makeConfiguration(200), services: [{ ...RULE, deadlineMs: 200 }, { ...RULE, name: 'vault' }] }
  expect(store.apply({ operation: 'b', base: 0, configuration: late }, 1)).toEqual({
    type: 'conflict', inForce: 1, differs: ['services.custody.deadlineMs', 'services.vault']
  })
})

test('an operation id that is reused for another change is reported', () => {
  const store = new ConfigurationStore()
  store.apply({ operation: 'a', base: 0, configuration: makeConfiguration(100) }, 1)
  const other = { operation: 'a', base: 0, configuration: makeConfiguration(101) }
  expect(store.apply(other, 1)).toEqual({ type: 'operationReused', version: 1 })
})

test('a retry of a forgotten operation gets a conflict and is not applied again', () => {
  const store = new ConfigurationStore({ maxOperations: 3 })
  for (let base = 0; base < 10; base += 1) {
    store.apply({ operation: `operation-${base}`, base, configuration: makeConfiguration(100 + base) }, 1)
  }
  const retry = (base: number) => {
    return store.apply({ operation: `operation-${base}`, base, configuration: makeConfiguration(100 + base) }, 1)
  }
  expect(retry(9)).toEqual({ type: 'accepted', version: 10 })
  expect(retry(0)).toMatchObject({ type: 'conflict', inForce: 10 })
  expect(store.inForce.version).toBe(10)
})

test('validation reports all findings with their places', () => {
  expect(checkChange({ operation: 'a', base: 0, configuration: makeConfiguration(10) })).toEqual([])
  const wrong = { ...RULE, guarded: ['/checkouts'], retryShare: 2, deadlineMs: 0.5 }
  const configuration = { ...makeConfiguration(10), services: [RULE, wrong, { ...RULE, extra: 1 }], zones: 'none' }
  const places = checkChange({ operation: '', base: -1, configuration }).map((finding) => finding.place)
  expect(places.sort()).toEqual([
    'base',
    'configuration.services[1].deadlineMs',
    'configuration.services[1].guarded[0]',
    'configuration.services[1].name',
    'configuration.services[1].retryShare',
    'configuration.services[2]',
    'configuration.services[2].name',
    'configuration.zones',
    'operation'
  ])
})

test('validation reports findings for input of any shape', () => {
  fc.assert(fc.property(fc.anything(), (input) => {
    expect(checkConfiguration(input).length).toBeGreaterThan(0)
    expect(checkChange(input).length).toBeGreaterThan(0)
  }), { seed: SEED, numRuns: 500 })
})
