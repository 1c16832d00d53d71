import { expect, test } from 'vitest'
import { PeerLink } from '../src/node/mesh/PeerLink.js'
import type { ToIngressSide, ToUpstreamSide } from '../src/node/mesh/Types.js'
import type { CallRequest, CallSink } from '../src/node/Types.js'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import { FrameServer } from '../src/runtime/FrameServer.js'
import { SystemClock } from '../src/runtime/SystemClock.js'

const INCARNATION = 7
const EVIDENCE = { inFlight: 0, queued: 0, limit: 1, serviceMs: 1 }

function requestOf (id: number): CallRequest {
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

function answerTo (id: number, from: number, text: string): ToIngressSide {
  return { type: 'answer', id, from, head: { status: 200, headers: [] }, body: Buffer.from(text), evidence: EVIDENCE }
}

async function bodyOf (link: PeerLink, id: number): Promise<string> {
  return await new Promise((resolve, reject) => {
    const fail = (): void => { reject(new Error('not an answer')) }
    const sink: CallSink = {
      onAnswer: (_head, body) => resolve(Buffer.from(body).toString()),
      onHead: fail,
      onBody: fail,
      onEnd: fail,
      onRefused: fail,
      onAbort: fail
    }
    link.start(requestOf(id), sink)
  })
}

test('late, reordered and foreign answers never reach another call', async () => {
  const clock = new SystemClock()
  const server = new FrameServer<ToUpstreamSide, ToIngressSide>(clock)
  const waiting: number[] = []
  server.onChannel(channel => {
    channel.onMessage(frame => {
      if (frame.type !== 'call') return
      waiting.push(frame.request.id)
      if (waiting.length < 2) return
      // An earlier run's answer, a body without a head, an answer nobody asked for; then both answers the other way
      // round, each of them twice.
      for (const id of waiting) channel.send(answerTo(id, INCARNATION - 1, 'an earlier run\'s'))
      channel.send({ type: 'body', id: 99, from: INCARNATION, bytes: Buffer.from('stray') })
      channel.send(answerTo(99, INCARNATION, 'nobody\'s'))
      for (const id of waiting.toReversed()) {
        channel.send(answerTo(id, INCARNATION, `answer ${id}`))
        channel.send(answerTo(id, INCARNATION, `again ${id}`))
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
  expect(await Promise.all([bodyOf(link, 1), bodyOf(link, 2)])).toEqual(['answer 1', 'answer 2'])
  // The second copy of the last answer may still be on its way.
  expect(link.counters.droppedAnswers).toBeGreaterThanOrEqual(5)
  link.dispose()
  server.dispose()
})
