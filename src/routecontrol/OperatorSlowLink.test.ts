import { afterEach, expect, test } from 'vitest'
import { PacedLink, PacedRelay } from '../../test/support/PacedRelay.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { OperatorRelay } from './OperatorRelay.js'
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
  react: (call: OperatorCall, index: number, addresses: readonly string[]) => OperatorReply
): Promise<readonly PacedRelay[]> {
  const link = new PacedLink(LINK_MBPS)
  const addresses: string[] = []
  const relays: PacedRelay[] = []
  for (let i = 0; i < REPLICAS; i++) {
    const server = new FrameServer<ToOperatorServer, FromOperatorServer>(new SystemClock())
    server.onChannel(channel => channel.onMessage(({ call }) => {
      channel.send({ type: 'operatorReply', reply: react(call, i, addresses) })
    }))
    const relay = new PacedRelay(await server.listen('127.0.0.1:0'), link)
    disposables.push(server, relay)
    relays.push(relay)
    addresses.push(await relay.listen())
  }
  const options = { listReplicas: () => addresses, linkMbps: LINK_MBPS, clock: new SystemClock(), log: SILENT }
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
  const body = 'x'.repeat(CONFIGURATION_BYTES)
  const relays = await startReplicas(() => ({ type: 'final', status: 200, body }))
  const outcome = await send(READ)
  expect([outcome.type, countSenders(relays)]).toEqual(['final', 1])
  expect(outcome.type === 'final' && outcome.body === body).toBe(true)
})
