import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import type { InstanceLimit, PublishedInstance } from '../parts/instances/Types.js'
import { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import { BodyMemory } from '../parts/transfer/BodyMemory.js'
import { computeSha1 } from '../runtime/Digest.js'
import { ShiftedClock } from '../../test/support/ShiftedClock.js'
import { parseAddress } from '../runtime/Address.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Clock, Log } from '../runtime/Types.js'
import { makeDefaultBodyResources } from './BodyTransfer.js'
import type { ColdSetting } from './ColdMonitor.js'
import { InstanceProxy } from './InstanceProxy.js'
import { Quarantine } from './Quarantine.js'
import type { HeaderNames, RoutedCall, RoutedCallHandle } from './Types.js'

const SILENT: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const NAMES = {} as HeaderNames

const ADDRESS = '127.0.0.1:1'

const PUBLISHED_BEFORE: PublishedInstance = { id: 'i-1', bornMs: 100, service: 'ledger', slots: 6, state: 'draining' }

const fingerprint = new RequestFingerprint(computeSha1)

function makeQuarantine (clock: Clock): Quarantine {
  return new Quarantine({ node: 'n', incarnation: 1, fingerprint, clock, log: SILENT })
}

const proxies: InstanceProxy[] = []
const instances: Server[] = []

afterEach(() => {
  proxies.splice(0).forEach(proxy => proxy.dispose())
  instances.splice(0).forEach(instance => {
    instance.close()
    instance.closeAllConnections()
  })
})

/** A clock that stands still. */
const STILL_CLOCK: Clock = { nowMs: () => 0, wallMs: () => 0 }

function makeProxy (clock: Clock = new SystemClock(), coldSetting?: ColdSetting): InstanceProxy {
  const proxy = new InstanceProxy({
    address: ADDRESS,
    service: 'ledger',
    names: NAMES,
    clock,
    log: SILENT,
    quarantine: makeQuarantine(clock),
    findHealthPath: () => undefined,
    findColdSetting: () => coldSetting
  })
  proxies.push(proxy)
  return proxy
}

function offer (proxy: InstanceProxy, service: string, knownLimit?: InstanceLimit, coldPerS?: number): string {
  let outcome = 'pending'
  const gateFields = { work: 'w', leftMs: 1000, objectiveLeftMs: 300, nested: false, priority: 1, moveMs: 0, attempt: 'first' }
  const told = { ...(knownLimit === undefined ? {} : { knownLimit }), ...(coldPerS === undefined ? {} : { coldPerS }) }
  const head = { method: 'GET', target: '/', headers: [] }
  const call = { id: 1, service, requestId: 'r', ...head, ...gateFields, ...told }
  proxy.start(call as unknown as RoutedCall, {
    onAnswer: () => { outcome = 'answered' },
    onDeclined: reason => { outcome = reason },
    onFailed: (_proof, reason) => { outcome = reason }
  })
  return outcome
}

// After a restart the node has lost its instance's state; a late report must not make a draining instance ready again.
test('an instance that was draining before its node restarted does not become ready by a late report', () => {
  const proxy = makeProxy()
  proxy.restore(PUBLISHED_BEFORE)
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 7, state: 'ready', coldMs: 0 })
  expect(proxy.published?.state).toBe('draining')
  expect(offer(proxy, 'ledger')).toBe('no-slots')
})

// The instance may report itself to the restarted node before a control replica tells what was known.
test('an instance that was draining before its node restarted stops taking calls after an earlier report', () => {
  const proxy = makeProxy()
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 7, state: 'ready', coldMs: 0 })
  proxy.restore(PUBLISHED_BEFORE)
  expect(proxy.published?.state).toBe('draining')
  expect(offer(proxy, 'ledger')).toBe('no-slots')
})

test('the instance of another service that had this address before is not restored', () => {
  const proxy = makeProxy()
  proxy.restore({ ...PUBLISHED_BEFORE, service: 'catalogue' })
  expect([proxy.published, proxy.service]).toEqual([undefined, 'ledger'])
})

test('a report that repeats the one before is not published', () => {
  const proxy = makeProxy()
  let changes = 0
  proxy.onChange(() => { changes++ })
  for (let sequence = 1; sequence < 5; sequence++) {
    proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence, state: 'ready', coldMs: 0 })
  }
  expect(changes).toBe(1)
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 5, coldMs: 0 })
  expect([changes, proxy.published?.state]).toEqual([2, 'draining'])
})

test('a call for another service is declined', () => {
  const proxy = makeProxy()
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 0 })
  expect(offer(proxy, 'catalogue')).toBe('no-slots')
})

test('after a restart the limit that a caller\'s node has heard holds, also when the instance is known only later', () => {
  const proxy = makeProxy(STILL_CLOCK)
  const knownLimit = { instance: 'i-1', perS: 5 }
  expect(offer(proxy, 'ledger', knownLimit)).toBe('no-slots')
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 0 })
  expect(offer(proxy, 'ledger')).toBe('rate-limited')
  expect(proxy.load()).toMatchObject({ requestLimit: knownLimit, closedForMs: 201 })
})

test('a limit of the instance before does not hold for its successor', () => {
  const proxy = makeProxy(STILL_CLOCK)
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 0 })
  expect(offer(proxy, 'ledger', { instance: 'i-1', perS: 5 })).toBe('rate-limited')
  expect(proxy.load().closedForMs).toBe(201)
  proxy.report({ ...PUBLISHED_BEFORE, id: 'i-2', bornMs: 200, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 0 })
  expect(offer(proxy, 'other', { instance: 'i-1', perS: 5 })).toBe('no-slots')
  expect(proxy.load().closedForMs).toBe(undefined)
})

/** Starts an instance that answers health checks, and a proxy that finds it by one, as after a restart of the node. */
async function startRecovered (): Promise<{ proxy: InstanceProxy, address: string }> {
  const [address] = await findFreeAddresses(1) as [string]
  const { host, port } = parseAddress(address)
  const instance = createServer((_request, response) => {
    response.writeHead(200, { 'instance-id': 'i-1', 'instance-load': '0,0,6,100' }).end()
  })
  await new Promise<void>(resolve => instance.listen(port, host, resolve))
  instances.push(instance)
  const names = { instanceId: 'instance-id', load: 'instance-load' } as HeaderNames
  const proxy = new InstanceProxy({
    address,
    service: 'ledger',
    names,
    clock: new SystemClock(),
    log: SILENT,
    quarantine: makeQuarantine(new SystemClock()),
    findHealthPath: () => '/healthz'
  })
  proxies.push(proxy)
  const found = new Promise<void>(resolve => proxy.onChange(resolve))
  proxy.startRecovery()
  await found
  return { proxy, address }
}

test('an instance that was found by a health check after a restart of its node can deregister', async () => {
  const { proxy } = await startRecovered()
  expect(proxy.published?.state).toBe('ready')
  expect(proxy.deregister('i-1', 500)).toBe('applied')
  expect(proxy.published?.state).toBe('left')
})

for (const bornMs of [500, undefined]) {
  test(`an instance that a health check has found and that leaves, born ${bornMs}, is not ready by its first report`, async () => {
    const { proxy, address } = await startRecovered()
    expect(proxy.deregister('i-1', bornMs)).toBe('applied')
    proxy.report({ ...PUBLISHED_BEFORE, bornMs: 500, address, sequence: 1, state: 'ready', coldMs: 0 })
    expect(proxy.published?.state).toBe('left')
  })
}

/** An upload of another node, whose body is announced by its size. */
const ANNOUNCED: RoutedCall = {
  id: 1,
  service: 'ledger',
  method: 'POST',
  target: '/',
  headers: ['Host', 'h.example'],
  body: new Uint8Array(0),
  bodyBytes: 1000,
  requestId: 'r',
  work: 'w',
  kind: 'upload',
  nested: false,
  priority: 1,
  leftMs: 5000,
  objectiveLeftMs: 1000,
  moveMs: undefined,
  attempt: 'first'
}

/** A proxy with an instance of one slot that records the deadlines that it is given and the sizes of the bodies. */
interface UploadFixture {
  readonly proxy: InstanceProxy
  readonly clock: ShiftedClock
  readonly memory: BodyMemory
  readonly events: string[]
  readonly deadlinesMs: number[]
  readonly bodySizes: number[]
  /** Reports the instance in another state. */
  report (state: PublishedInstance['state']): void
  start (changes?: Partial<RoutedCall>): RoutedCallHandle
}

async function startForUploads (linkMbps?: number): Promise<UploadFixture> {
  const [address] = await findFreeAddresses(1) as [string]
  const { host, port } = parseAddress(address)
  const deadlinesMs: number[] = []
  const bodySizes: number[] = []
  const instance = createServer((request, response) => {
    let size = 0
    deadlinesMs.push(Number(request.headers['deadline-ms']))
    request.on('data', (chunk: Buffer) => { size += chunk.length })
    request.once('end', () => {
      bodySizes.push(size)
      response.writeHead(200, { 'request-id': 'r', signature: 's' }).end()
    })
  })
  await new Promise<void>(resolve => instance.listen(port, host, resolve))
  instances.push(instance)
  const clock = new ShiftedClock()
  // A quarter of it holds four bodies.
  const memory = new BodyMemory(16_000 / 1024 / 1024)
  const names = { requestId: 'request-id', deadlineMs: 'deadline-ms', targetInstance: 'target', signature: 'signature' }
  const proxy = new InstanceProxy({
    address,
    service: 'ledger',
    names: names as HeaderNames,
    clock,
    log: SILENT,
    quarantine: makeQuarantine(clock),
    findHealthPath: () => undefined,
    bodies: { ...makeDefaultBodyResources(), memory, linkMbps }
  })
  proxies.push(proxy)
  const events: string[] = []
  let sequence = 0
  const report = (state: PublishedInstance['state']): void => {
    proxy.report({ id: 'i-1', bornMs: 100, service: 'ledger', slots: 1, state, address, sequence: ++sequence, coldMs: 0 })
  }
  const start = (changes: Partial<RoutedCall> = {}): RoutedCallHandle => proxy.start({ ...ANNOUNCED, ...changes }, {
    onAnswer: ({ status }) => { events.push(`answer ${status}`) },
    onDeclined: reason => { events.push(`declined ${reason}`) },
    onFailed: (proof, reason) => { events.push(`${proof} ${reason}`) },
    onBodyWanted: () => { events.push('wanted') }
  })
  report('ready')
  return { proxy, clock, memory, events, deadlinesMs, bodySizes, report, start }
}

// The transfer takes part of the time that the caller waits.
test('an instance gets an upload when its body is whole, with what is left of the deadline by then', async () => {
  const { clock, memory, events, deadlinesMs, bodySizes, start } = await startForUploads()
  const { supplyBody } = start()
  expect([events, memory.heldBytes]).toEqual([['wanted'], 1000])
  clock.shiftMs += 3000
  supplyBody?.(new Uint8Array(1000))
  while (events.length < 2) await new Promise(resolve => setImmediate(resolve))
  expect([events[1], bodySizes, memory.heldBytes]).toEqual(['answer 200', [1000], 0])
  expect(deadlinesMs[0]).toBeLessThanOrEqual(2000)
})

test('an upload whose body arrives after its deadline does not run', async () => {
  const { clock, memory, events, deadlinesMs, start } = await startForUploads()
  const { supplyBody } = start()
  clock.shiftMs += 5000
  supplyBody?.(new Uint8Array(1000))
  expect([events, memory.heldBytes, deadlinesMs]).toEqual([['wanted', 'declined too-late'], 0, []])
})

test('an upload that waits for its body has the slot, and gives it back when its sender cancels or stalls', async () => {
  const { proxy, memory, events, start } = await startForUploads()
  const cancelled = start()
  const stalled = start({ id: 2 })
  start({ id: 3 })
  expect([events, proxy.load().running]).toEqual([['wanted'], 1])
  cancelled.cancel()
  expect(events).toEqual(['wanted', 'wanted'])
  stalled.supplyBody?.(undefined)
  expect([...events].sort()).toEqual(['unsent body-stalled', 'wanted', 'wanted', 'wanted'])
  expect([proxy.load().running, memory.heldBytes]).toEqual([1, 1000])
})

// Its bytes would be moved in vain, and a draining instance must get no new request.
test('an upload that waits for its body is declined at once when the instance drains', async () => {
  const { proxy, memory, events, deadlinesMs, report, start } = await startForUploads()
  const { supplyBody } = start()
  report('draining')
  supplyBody?.(new Uint8Array(1000))
  expect([events, deadlinesMs]).toEqual([['wanted', 'declined no-slots'], []])
  expect([proxy.pendingCallCount, memory.heldBytes]).toEqual([0, 0])
})

test('an upload that the memory has no room for is declined before its body is requested', async () => {
  const { proxy, memory, events, start } = await startForUploads()
  const other = memory.lease()
  other.grow(3500)
  start()
  expect([events, proxy.pendingCallCount]).toEqual([['declined body-memory'], 0])
  other.release()
  start()
  expect(events).toEqual(['declined body-memory', 'wanted'])
})

test('an upload that was queued while there was room is declined when there is none once it has a slot', async () => {
  const { memory, events, start } = await startForUploads()
  const running = start()
  start({ id: 2 })
  memory.lease().grow(3500)
  running.cancel()
  expect(events).toEqual(['wanted', 'declined body-memory'])
})

// 1,000 bytes take 80 ms at 0.1 Mbit/s, and a run is expected to take 50 ms at first.
test('an upload whose body can not arrive before its deadline is declined before any of it is moved', async () => {
  const { events, start } = await startForUploads(0.1)
  start({ leftMs: 120 })
  start({ leftMs: 200 })
  expect(events).toEqual(['declined too-late', 'wanted'])
})

/** Starts an instance that tells in health checks how long it is cold, and a proxy that knows it by a report. */
async function startWithColdLimit (
  coldMs: () => number, makeLog: (lines: object[]) => Log = () => SILENT
): Promise<{ proxy: InstanceProxy, lines: object[] }> {
  const [address] = await findFreeAddresses(1) as [string]
  const { host, port } = parseAddress(address)
  const instance = createServer((_request, response) => {
    response.writeHead(200, { 'instance-id': 'i-1', 'cold-ms': String(coldMs()) }).end()
  })
  await new Promise<void>(resolve => instance.listen(port, host, resolve))
  instances.push(instance)
  const lines: object[] = []
  const proxy = new InstanceProxy({
    address,
    service: 'ledger',
    names: { instanceId: 'instance-id', coldMs: 'cold-ms', load: 'instance-load' } as HeaderNames,
    clock: new SystemClock(),
    log: makeLog(lines),
    quarantine: makeQuarantine(new SystemClock()),
    findHealthPath: () => '/healthz',
    findColdSetting: () => ({ perS: 5, startMs: 60_000 })
  })
  proxies.push(proxy)
  proxy.report({ ...PUBLISHED_BEFORE, address, sequence: 1, state: 'ready', coldMs: 5000 })
  return { proxy, lines }
}

/** Waits until the proxy takes its instance as cold for a time in a range. */
async function awaitColdFor (proxy: InstanceProxy, minMs: number, maxMs: number): Promise<void> {
  for (;;) {
    const { coldForMs } = proxy.coldFigures
    if (coldForMs >= minMs && coldForMs <= maxMs) return
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

test('the cold time that a health check tells replaces that of a report, and is logged at each change', async () => {
  const cold = { ms: 20_000 }
  const { proxy, lines } = await startWithColdLimit(() => cold.ms, written => ({
    ...SILENT, info: (fields, message) => { if (message === 'cold state changed') written.push(fields) }
  }))
  await awaitColdFor(proxy, 10_000, 20_000)
  expect(offer(proxy, 'ledger')).toBe('rate-limited')
  cold.ms = 0
  proxy.assumeCold()
  await awaitColdFor(proxy, 0, 0)
  expect(lines).toMatchObject([
    { instance: 'i-1', isCold: true, perS: 5, source: 'report', forMs: expect.any(Number) },
    { instance: 'i-1', isCold: false, perS: 5, source: 'health' }
  ])
})

// A restarted node gets calls before its configuration.
test('until a configuration names the service, the limit that a call tells holds', () => {
  const proxy = makeProxy(STILL_CLOCK)
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 9000 })
  expect(offer(proxy, 'ledger', undefined, 5)).toBe('rate-limited')
  expect(proxy.load().closedForMs).toBe(201)
})

// What control replicas know of an instance does not include its cold state.
test('an instance that its node knows only from a control replica is assumed cold', () => {
  const proxy = makeProxy(STILL_CLOCK, { perS: 5, startMs: 60_000 })
  proxy.restore({ ...PUBLISHED_BEFORE, state: 'ready' })
  expect(proxy.coldFigures.coldForMs).toBe(60_000)
  proxy.report({ ...PUBLISHED_BEFORE, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 0 })
  expect(proxy.coldFigures.coldForMs).toBe(0)
})
