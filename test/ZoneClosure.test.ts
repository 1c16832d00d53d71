import { afterEach, beforeEach, expect, test } from 'vitest'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { findFreeAddresses } from '../src/demo/FreePorts.js'
import { RequestFingerprint } from '../src/parts/quarantine/RequestFingerprint.js'
import { InstanceProxy } from '../src/routenode/InstanceProxy.js'
import { Quarantine } from '../src/routenode/Quarantine.js'
import type { RoutedCall } from '../src/routenode/Types.js'
import { computeSha1 } from '../src/runtime/Digest.js'
import { SystemClock } from '../src/runtime/SystemClock.js'
import { HEADER_NAMES, MockInstance, pause } from './support/RouteMesh.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const fingerprint = new RequestFingerprint(computeSha1)

let instance: MockInstance
let proxy: InstanceProxy
let isZoneClosed = false
let pending: Array<{ readonly request: IncomingMessage, readonly response: ServerResponse }> = []

beforeEach(async () => {
  isZoneClosed = false
  pending = []
  const [address] = await findFreeAddresses(1) as [string]
  instance = new MockInstance('i-1', address)
  instance.behaviour = (request, response) => pending.push({ request, response })
  await instance.listen()
  proxy = new InstanceProxy({
    address,
    service: 'svc',
    names: HEADER_NAMES,
    clock: new SystemClock(),
    log: SILENT,
    quarantine: new Quarantine({ node: 'n', incarnation: 1, fingerprint, clock: new SystemClock(), log: SILENT }),
    findHealthPath: () => '/healthz',
    isZoneClosed: () => isZoneClosed
  })
  proxy.report({ id: 'i-1', bornMs: 1, sequence: 1, service: 'svc', address, slots: 1, state: 'ready', coldMs: 0 })
})

afterEach(() => {
  proxy.dispose()
  instance.dispose()
})

/** Offers an idempotent call; the outcome is the status of its answer, or why there is none. */
async function offer (requestId: string): Promise<string> {
  const call: RoutedCall = {
    id: 1,
    service: 'svc',
    method: 'GET',
    target: '/read/x',
    headers: ['host', 'h', HEADER_NAMES.requestId, requestId],
    body: new Uint8Array(0),
    requestId,
    work: 'read',
    kind: 'idempotent',
    nested: false,
    priority: 1,
    leftMs: 20_000,
    objectiveLeftMs: 10_000,
    moveMs: undefined,
    attempt: 'first'
  }
  return await new Promise(resolve => proxy.start(call, {
    onAnswer: ({ status }) => resolve(String(status)),
    onDeclined: reason => resolve(reason),
    onFailed: (proof, reason) => resolve(`${proof} ${reason}`)
  }))
}

async function awaitRuns (count: number): Promise<void> {
  while (instance.ran.length < count) await pause()
}

function answer (index: number): void {
  const { request, response } = pending[index]!
  instance.answer(request, response)
}

// Operators take the power off a zone that gets no requests any more.
test('a gate that closes hands queued calls back, admits none, and lets running ones finish', async () => {
  const running = offer('r-1')
  await awaitRuns(1)
  const queued = offer('r-2')
  isZoneClosed = true
  proxy.applyZoneClosure()
  expect([await queued, await offer('r-3')]).toEqual(['no-slots', 'no-slots'])
  answer(0)
  expect([await running, instance.ran]).toEqual(['200', ['r-1']])
  isZoneClosed = false
  proxy.applyZoneClosure()
  const later = offer('r-4')
  await awaitRuns(2)
  answer(1)
  expect(await later).toBe('200')
})

test('a queued call does not start when the timer that closes the gate is late', async () => {
  const running = offer('r-1')
  await awaitRuns(1)
  const queued = offer('r-2')
  isZoneClosed = true
  answer(0)
  expect([await running, await queued, instance.ran]).toEqual(['200', 'no-slots', ['r-1']])
})

// The instance may have closed a kept connection, on which the call is usually sent once more.
test('a call whose kept connection breaks is sent once more only while the zone is open', async () => {
  for (const closes of [false, true]) {
    const before = instance.ran.length
    const first = offer('r-1')
    await awaitRuns(before + 1)
    answer(before)
    expect(await first).toBe('200')
    const second = offer('r-2')
    await awaitRuns(before + 2)
    isZoneClosed = closes
    pending[before + 1]!.response.destroy()
    if (closes) expect(await second).toBe('unknown instance-lost')
    else {
      await awaitRuns(before + 3)
      answer(before + 2)
      expect(await second).toBe('200')
    }
    expect(instance.ran.length).toBe(before + (closes ? 2 : 3))
  }
})
