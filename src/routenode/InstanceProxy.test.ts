import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import type { InstanceLimit, PublishedInstance } from '../parts/instances/Types.js'
import { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import { computeSha1 } from '../runtime/Digest.js'
import { parseAddress } from '../runtime/Address.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Clock, Log } from '../runtime/Types.js'
import type { ColdSetting } from './ColdMonitor.js'
import { InstanceProxy } from './InstanceProxy.js'
import { Quarantine } from './Quarantine.js'
import type { HeaderNames, RoutedCall } from './Types.js'

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
  const call = { id: 1, service, requestId: 'r', ...gateFields, ...told }
  proxy.start(call as RoutedCall, {
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

test('an instance that was found by a health check and leaves is not ready by its first report', async () => {
  const { proxy, address } = await startRecovered()
  const { id, bornMs } = proxy.published as PublishedInstance
  expect(proxy.deregister(id, bornMs)).toBe('applied')
  proxy.report({ ...PUBLISHED_BEFORE, bornMs: 500, address, sequence: 1, state: 'ready', coldMs: 0 })
  expect(proxy.published?.state).toBe('left')
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
