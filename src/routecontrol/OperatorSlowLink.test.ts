import { randomBytes } from 'node:crypto'
import { afterEach, expect, test } from 'vitest'
import { PacedLink, PacedRelay } from '../../test/support/PacedRelay.js'
import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { OperatorRelay } from './OperatorRelay.js'
import { OperatorServer } from './OperatorServer.js'
import type {
  FromOperatorServer, OperatorCall, OperatorCallFrame, OperatorOfferFrame, OperatorReply
} from './Types.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const LINK_MBPS = 2.4
const REPLICAS = 5

/** Bytes of a configuration with 1,400 routes; one copy takes 0.95 s on the link. */
const CONFIGURATION_BYTES = 285_000

const READ: OperatorCall = { operation: 'read', parameter: '', body: '' }

const disposables: Disposable[] = []

afterEach(() => {
  disposables.splice(0).forEach(item => item.dispose())
  closed = []
  leader = 0
  areEarlier = false
})

type Reaction = (
  call: OperatorCall, index: number, addresses: readonly string[]
) => OperatorReply | Promise<OperatorReply>

/** Replicas behind one link; each decides a call by a function of its index. */
async function startReplicas (react: Reaction, hasSlowLink = true): Promise<readonly PacedRelay[]> {
  const link = new PacedLink(LINK_MBPS)
  const addresses: string[] = []
  const relays: PacedRelay[] = []
  for (let i = 0; i < REPLICAS; i++) {
    const server = new FrameServer<OperatorCallFrame | OperatorOfferFrame, FromOperatorServer>(new SystemClock())
    const view = {
      isLeaderless: false,
      get isLeader () { return i === leader },
      get remoteLeaderAddress () { return i === leader ? undefined : addresses[leader] }
    }
    const operators = new OperatorServer(view, SILENT)
    operators.serve(async call => await react(call, i, addresses))
    server.onChannel(channel => {
      channel.onClose(() => closed.push(i))
      const first = channel.onMessage(frame => {
        first.dispose()
        if (areEarlier && frame.type === 'operatorOffer') channel.destroy('the first frame is not a hello')
        else operators.accept(channel as unknown as AcceptedChannel, frame)
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

/** Indices of the replicas whose connections have closed. */
let closed: number[] = []

/** Index of the replica that leads. */
let leader = 0

/** Whether the replicas are of a version that can't read offers. */
let areEarlier = false

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

/** Decides changes at the leader; the others name it. */
function decide (_call: OperatorCall, index: number, addresses: readonly string[]): OperatorReply {
  return index === leader ? { type: 'final', status: 200, body: '{}' } : { type: 'notLeader', leader: addresses[leader]! }
}

function makeChange (): OperatorCall {
  return { operation: 'change', parameter: '', body: randomBytes(CONFIGURATION_BYTES / 2).toString('hex') }
}

// Each replica on the way to the leader was sent a copy, and the call was given up while they shared the link.
test('a large change over a slow link is sent to the leader only, whichever replica is asked first', async () => {
  leader = REPLICAS - 1
  const received: string[] = []
  const relays = await startReplicas((call, index, addresses) => {
    received.push(call.body)
    return decide(call, index, addresses)
  })
  const change = makeChange()
  expect(await send(change)).toMatchObject({ type: 'final', status: 200 })
  expect(received.length === 1 && received[0] === change.body).toBe(true)
  expect(relays.map(({ bytes }) => bytes.up > 1000)).toEqual([false, false, false, false, true])
  expect(relays[leader]!.bytes.up).toBeLessThan(0.6 * CONFIGURATION_BYTES)
})

test('a large change reaches a leader of an earlier version, which closes connections with offers', async () => {
  areEarlier = true
  await startReplicas(decide)
  expect(await send(makeChange())).toMatchObject({ type: 'final', status: 200 })
})

// Each replica that was asked while the first one prepared its reply sent a copy too.
test('the other replicas that were asked for a read are left once a reply is arriving', async () => {
  const body = randomBytes(CONFIGURATION_BYTES / 2).toString('hex')
  let noteSecond = (): void => {}
  const second = new Promise<void>(resolve => { noteSecond = resolve })
  await startReplicas(async (_call, index) => {
    if (index === 0) await second
    else {
      noteSecond()
      await new Promise(() => {})
    }
    return { type: 'final', status: 200, body }
  }, false)
  expect(await send(READ)).toMatchObject({ type: 'final', status: 200 })
  expect(closed).toContain(1)
})
