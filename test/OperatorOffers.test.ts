import { afterEach, expect, test } from 'vitest'
import { OperatorRelay } from '../src/routecontrol/OperatorRelay.js'
import type { RelayOutcome } from '../src/routecontrol/Types.js'
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
