import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { OperatorRelay } from '../src/routecontrol/OperatorRelay.js'
import type { RelayOutcome } from '../src/routecontrol/Types.js'
import { parseAddress } from '../src/runtime/Address.js'
import { FrameChannel } from '../src/runtime/FrameChannel.js'
import { SystemClock } from '../src/runtime/SystemClock.js'
import { ControlGroup } from './support/ControlGroup.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const LIMITS = { MaxHeaderBytes: 16384, MaxBodyBytes: 1e6, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }

let group: ControlGroup | undefined
let relay: OperatorRelay | undefined

afterEach(() => {
  relay?.dispose()
  group?.dispose()
})

function makeConfiguration (): object {
  const Services = [{ Name: 's', HealthPath: '/', MaxConnections: 9, Protocol: 'h1', Tls: false }]
  const Routes = Array.from({ length: 1400 }, (_, i) => ({
    Name: `route-${i}`,
    Host: 'h.example',
    PathPrefix: `/path-${i}/`,
    RouteKind: 'idempotent',
    Timeout: '1000ms',
    TargetLatency: '300ms',
    Priority: 1,
    Service: 's',
    MaxAttempts: 2
  }))
  return { Version: 'r1', BaseVersion: 0, Routes, Services, Limits: LIMITS }
}

async function sendUntilDecided (operation: string, body: string): Promise<Extract<RelayOutcome, { type: 'final' }>> {
  for (;;) {
    const outcome = await relay!.send({ operation, parameter: '', body })
    if (outcome.type === 'final') return outcome
  }
}

test('a large configuration that is offered first is decided by the group, and read back whole', async () => {
  const started = await ControlGroup.start(3, [])
  group = started
  const listReplicas = (): string[] => [...started.addresses].reverse()
  relay = new OperatorRelay({ listReplicas, hasSlowLink: true, linkMbps: 2.4, clock: new SystemClock(), log: SILENT })
  const configuration = makeConfiguration()
  const accepted = await sendUntilDecided('POST /api/Config.Put', JSON.stringify(configuration))
  expect([accepted.status, JSON.parse(accepted.body)]).toEqual([200, { Version: 'r1' }])
  const again = await sendUntilDecided('POST /api/Config.Put', JSON.stringify(configuration))
  expect(again.status).toBe(200)
  const read = await sendUntilDecided('GET /api/Config.Get', '')
  const { BaseVersion: _, ...inForce } = configuration as { BaseVersion: number }
  expect(JSON.parse(read.body)).toEqual(inForce)
})

/** Sends frames on a new connection, each after a frame of the other end, and resolves when that end has closed it. */
async function sendUntilClosed (address: string, frames: readonly object[]): Promise<void> {
  const { host, port } = parseAddress(address)
  const socket = connect(port, host)
  await new Promise(resolve => socket.once('connect', resolve))
  const channel = new FrameChannel<object, object>(socket, new SystemClock())
  const closed = new Promise<void>(resolve => channel.onClose(() => resolve()))
  const [first, ...others] = frames
  channel.onMessage(() => {
    const next = others.shift()
    if (next !== undefined) channel.send(next)
  })
  channel.send(first!)
  await closed
}

test('a malformed call ends its connection and no replica', async () => {
  group = await ControlGroup.start(3, [])
  const offer = { type: 'operatorOffer', operation: 'POST /api/Config.Put', bytes: 100_000 }
  for (const address of group.addresses) {
    for (const call of [undefined, null, 7, {}, { operation: 'GET /api/Config.Get', parameter: '', body: 1 }]) {
      await sendUntilClosed(address, [{ type: 'operatorCall', call }])
    }
  }
  const listReplicas = (): readonly string[] => group!.addresses
  relay = new OperatorRelay({ listReplicas, clock: new SystemClock(), log: SILENT })
  await sendUntilDecided('POST /api/Config.Put', JSON.stringify(makeConfiguration()))
  await sendUntilClosed(relay.decider!, [offer, { type: 'operatorCall' }])
  expect((await sendUntilDecided('GET /api/Config.Get', '')).status).toBe(200)
})
