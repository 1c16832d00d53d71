import { expect, test } from 'vitest'
import { PeerLink } from '../src/node/mesh/PeerLink.js'
import type { ToIngressSide, ToUpstreamSide } from '../src/node/mesh/Types.js'
import type { CallRequest, CallListener } from '../src/node/Types.js'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import type { FrameChannel } from '../src/runtime/FrameChannel.js'
import { FrameServer } from '../src/runtime/FrameServer.js'
import { SystemClock } from '../src/runtime/SystemClock.js'
import type { Clock } from '../src/runtime/Types.js'
import { ShiftedClock } from './support/ShiftedClock.js'

const INCARNATION = 7
const EVIDENCE = { inFlight: 0, queued: 0, limit: 1, serviceMs: 1 }

function buildRequest (id: number): CallRequest {
  return {
    id,
    from: INCARNATION,
    service: 'dies',
    method: 'GET',
    target: `/lookups/${id}`,
    headers: [],
    body: new Uint8Array(0),
    deadlineMs: 1000,
    depth: 0,
    kind: 'lookup',
    fingerprint: '',
    version: 1
  }
}

function buildAnswer (id: number, from: number, text: string): ToIngressSide {
  return { type: 'answer', id, from, head: { status: 200, headers: [] }, body: Buffer.from(text), evidence: EVIDENCE }
}

async function startAndReadBody (link: PeerLink, id: number): Promise<string> {
  return await new Promise((resolve, reject) => {
    const fail = (): void => { reject(new Error('not an answer')) }
    const listener: CallListener = {
      onAnswer: (_head, body) => resolve(Buffer.from(body).toString()),
      onHead: fail,
      onBody: fail,
      onEnd: fail,
      onRefused: fail,
      onAbort: fail
    }
    link.start(buildRequest(id), listener)
  })
}

test('late, reordered and foreign answers never reach another call', async () => {
  const clock = new SystemClock()
  const server = new FrameServer<ToUpstreamSide, ToIngressSide>(clock)
  const callIds: number[] = []
  server.onChannel(channel => {
    channel.onMessage(frame => {
      if (frame.type !== 'call') return
      callIds.push(frame.request.id)
      if (callIds.length < 2) return
      // Answers to an earlier incarnation, a body without a head and an answer to an unknown call; then both answers in
      // reverse order, each of them twice.
      for (const id of callIds) channel.send(buildAnswer(id, INCARNATION - 1, 'an earlier run\'s'))
      channel.send({ type: 'body', id: 99, from: INCARNATION, bytes: Buffer.from('stray') })
      channel.send(buildAnswer(99, INCARNATION, 'nobody\'s'))
      for (const id of callIds.toReversed()) {
        channel.send(buildAnswer(id, INCARNATION, `answer ${id}`))
        channel.send(buildAnswer(id, INCARNATION, `again ${id}`))
      }
    })
  })
  const hello = { type: 'peerHello', node: 'n0', incarnation: INCARNATION, version: 1 } as const
  const options = { heartbeatMs: 1000, timeoutMs: 10_000 }
  const address = await server.listen('127.0.0.1:0')
  const link = new PeerLink(address, () => hello, INCARNATION, options, clock, new SeededRandom(1), () => true)
  const open = new Promise<void>(resolve => link.onStateChange(() => resolve()))
  link.connect()
  await open
  expect(await Promise.all([startAndReadBody(link, 1), startAndReadBody(link, 2)])).toEqual(['answer 1', 'answer 2'])
  // The second copy of the last answer may not have arrived yet.
  expect(link.counters.droppedAnswers).toBeGreaterThanOrEqual(5)
  link.dispose()
  server.dispose()
})

const HELLO = { type: 'peerHello', node: 'n0', incarnation: INCARNATION, version: 1 } as const

interface Peer {
  readonly link: PeerLink
  readonly server: FrameServer<ToUpstreamSide, ToIngressSide>
}

/** Connects a link to a server; both have the same clock. */
async function connectLink (
  clock: Clock, timeoutMs: number, onChannel: (channel: FrameChannel<ToUpstreamSide, ToIngressSide>) => void = () => {}
): Promise<Peer> {
  const server = new FrameServer<ToUpstreamSide, ToIngressSide>(clock)
  server.onChannel(onChannel)
  const address = await server.listen('127.0.0.1:0')
  const options = { heartbeatMs: 20, timeoutMs }
  const link = new PeerLink(address, () => HELLO, INCARNATION, options, clock, new SeededRandom(1), () => true)
  const open = new Promise<void>(resolve => link.onStateChange(() => resolve()))
  link.connect()
  await open
  return { link, server }
}

test('a pause of this process is not taken for silence of the other node', async () => {
  const clock = new ShiftedClock()
  const { link, server } = await connectLink(clock, 1000, channel => {
    channel.onMessage(frame => {
      if (frame.type === 'call') clock.shiftMs = 10_000
      if (frame.type === 'ping') channel.send(buildAnswer(1, INCARNATION, 'late'))
    })
  })
  expect(await startAndReadBody(link, 1)).toBe('late')
  link.dispose()
  server.dispose()
})

test('the time for which a link was idle is not taken for silence of the other node', async () => {
  const clock = new ShiftedClock()
  const { link, server } = await connectLink(clock, 1000, channel => {
    channel.onMessage(frame => { if (frame.type === 'ping') channel.send(buildAnswer(1, INCARNATION, 'slow')) })
  })
  clock.shiftMs = 10_000
  expect(await startAndReadBody(link, 1)).toBe('slow')
  link.dispose()
  server.dispose()
})

test('a link on which nothing arrives is lost after its timeout', async () => {
  const { link, server } = await connectLink(new SystemClock(), 100)
  await expect(startAndReadBody(link, 1)).rejects.toThrow('not an answer')
  link.dispose()
  server.dispose()
})
