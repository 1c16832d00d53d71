import { randomBytes } from 'node:crypto'
import { afterEach, expect, test } from 'vitest'
import { PacedLink, PacedRelay } from '../../test/support/PacedRelay.js'
import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { OperatorRelay } from './OperatorRelay.js'
import { OperatorServer } from './OperatorServer.js'
import type { FromOperatorServer, OperatorCall, OperatorReply, ToOperatorServer } from './Types.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const LINK_MBPS = 2.4
const REPLICAS = 5

/** Bytes of a configuration with 1,400 routes; one copy takes 0.95 s on the link. */
const CONFIGURATION_BYTES = 285_000

const READ: OperatorCall = { operation: 'read', parameter: '', body: '' }

const disposables: Disposable[] = []

afterEach(() => disposables.splice(0).forEach(item => item.dispose()))

/** Replicas behind one link; each decides a call by a function of its index. */
async function startReplicas (
  react: (call: OperatorCall, index: number, addresses: readonly string[]) => OperatorReply, hasSlowLink = true
): Promise<readonly PacedRelay[]> {
  const link = new PacedLink(LINK_MBPS)
  const addresses: string[] = []
  const relays: PacedRelay[] = []
  for (let i = 0; i < REPLICAS; i++) {
    const server = new FrameServer<ToOperatorServer, FromOperatorServer>(new SystemClock())
    const operators = new OperatorServer(SILENT)
    operators.serve(async call => react(call, i, addresses))
    server.onChannel(channel => {
      const first = channel.onMessage(frame => {
        first.dispose()
        operators.accept(channel as unknown as AcceptedChannel, frame)
      })
    })
    const relay = new PacedRelay(await server.listen('127.0.0.1:0'), link)
    disposables.push(server, relay)
    relays.push(relay)
    addresses.push(await relay.listen())
  }
  const listReplicas = (): string[] => addresses
  const options = { listReplicas, hasSlowLink, linkMbps: LINK_MBPS, clock: new SystemClock(), log: SILENT }
  const operators = new OperatorRelay(options)
  disposables.push(operators)
  send = async call => await operators.send(call)
  return relays
}

let send: OperatorRelay['send']

function countSenders (relays: readonly PacedRelay[]): number {
  return relays.filter(({ bytes }) => bytes.down > 0).length
}

// Each of the replicas sent a copy, all shared the link, and the call was given up before one had arrived.
test('a read of a large configuration over a slow link is answered by one replica', async () => {
  const body = randomBytes(CONFIGURATION_BYTES / 2).toString('hex')
  const relays = await startReplicas(() => ({ type: 'final', status: 200, body }), false)
  const outcome = await send(READ)
  expect([outcome.type, countSenders(relays)]).toEqual(['final', 1])
  expect(outcome.type === 'final' && outcome.body === body).toBe(true)
})

// Operators wait a second for an answer, which is the time that the plain bytes take on the link.
test('a large reply is compressed where the caller has a slow link, and only there', async () => {
  const routes = Array.from({ length: 1400 }, (_, i) => ({ Name: `r-${i}`, Host: 'h.example', PathPrefix: `/${i}/` }))
  const body = JSON.stringify({ Version: 'r1', Routes: routes })
  for (const hasSlowLink of [true, false]) {
    const [relay] = await startReplicas(() => ({ type: 'final', status: 200, body }), hasSlowLink) as [PacedRelay]
    const outcome = await send(READ)
    expect(outcome.type === 'final' && outcome.body === body).toBe(true)
    expect(relay.bytes.down < body.length / 4).toBe(hasSlowLink)
  }
})
