import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { ShiftedClock } from '../../test/support/ShiftedClock.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { CallLink } from './CallLink.js'
import { LINK_PING_INTERVAL_MS, LINK_TIMEOUT_MS } from './Constants.js'
import type { CallClientFrame, CallServerFrame, RoutedCall, RoutedCallListener } from './Types.js'

const disposables: Disposable[] = []

afterEach(() => {
  disposables.splice(0).forEach(item => item.dispose())
})

const CALL: RoutedCall = {
  id: 1,
  service: 'ledger',
  method: 'POST',
  target: '/',
  headers: [],
  body: new Uint8Array(0),
  requestId: 'r',
  work: 'w',
  kind: 'once',
  nested: false,
  priority: 1,
  leftMs: 10_000,
  objectiveLeftMs: 100,
  moveMs: 0,
  attempt: 'first'
}

const OK = { status: 200, headers: [], body: new Uint8Array(0) }
const LOAD = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }

interface Peer {
  readonly link: CallLink
  readonly clock: ShiftedClock
  readonly server: FrameServer<CallClientFrame, CallServerFrame>
}

async function connectLink (answer: (frame: CallClientFrame) => CallServerFrame | undefined): Promise<Peer> {
  const [address] = await findFreeAddresses(1) as [string]
  const clock = new ShiftedClock()
  const server = new FrameServer<CallClientFrame, CallServerFrame>(clock)
  server.onChannel(channel => channel.onMessage(frame => {
    const reply = answer(frame)
    if (reply !== undefined) channel.send(reply)
  }))
  await server.listen(address)
  const link = new CallLink(address, 'self', clock, new SeededRandom(1))
  disposables.push(link, server)
  const opened = new Promise<void>(resolve => link.onOpen(resolve))
  link.connect()
  await opened
  return { link, clock, server }
}

async function runCall (link: CallLink, onUnresponsive: () => void = () => {}): Promise<string> {
  return await new Promise(resolve => {
    const listener: RoutedCallListener = {
      onAnswer: ({ status }) => resolve(`answer ${status}`),
      onDeclined: reason => resolve(`declined ${reason}`),
      onFailed: (proof, reason) => resolve(`${proof} ${reason}`),
      onUnresponsive
    }
    link.start(CALL, listener)
  })
}

// The silence of an idle link must not count towards the timeout of a call that is sent later.
test('a call on a link that was idle for long does not time out while the other node answers pings', async () => {
  let pings = 0
  const peer = await connectLink(frame => {
    if (frame.type !== 'ping') return undefined
    pings++
    // The answer comes only after the liveness of the link was checked more than once.
    return pings === 2 ? { type: 'answer', id: 1, answer: { status: 200, headers: [], body: new Uint8Array(0) }, load: LOAD } : { type: 'pong' }
  })
  peer.clock.shiftMs = 10 * LINK_TIMEOUT_MS
  expect(await runCall(peer.link)).toBe('answer 200')
})

// The calls of a broken link may have reached the instance, so they must not fail as `unsent`.
test('outstanding calls of a link whose pings go unanswered fail as unknown', async () => {
  const peer = await connectLink(frame => {
    if (frame.type === 'ping') peer.clock.shiftMs += LINK_TIMEOUT_MS + LINK_PING_INTERVAL_MS
    return undefined
  })
  expect(await runCall(peer.link)).toBe('unknown link-lost')
})

test('a pause of this process is not taken for silence of the other node', async () => {
  const peer = await connectLink(frame => {
    if (frame.type !== 'ping') return undefined
    if (peer.clock.shiftMs > 0) return { type: 'answer', id: 1, answer: OK, load: LOAD }
    peer.clock.shiftMs = 10 * LINK_TIMEOUT_MS
    return undefined
  })
  expect(await runCall(peer.link)).toBe('answer 200')
})

// Calls that may run twice were repeated on every link after a pause of the node.
test('a pause of this process does not make the other node unresponsive', async () => {
  const events: string[] = []
  const peer = await connectLink(frame => {
    if (frame.type !== 'ping') return undefined
    if (events.push('ping') > 1) return { type: 'answer', id: 1, answer: OK, load: LOAD }
    setImmediate(() => {
      const untilMs = performance.now() + 3 * LINK_PING_INTERVAL_MS
      while (performance.now() < untilMs);
    })
    return { type: 'pong' }
  })
  peer.link.onUnresponsive(() => { events.push('unresponsive') })
  expect(await runCall(peer.link)).toBe('answer 200')
  expect(events).toEqual(['ping', 'ping'])
})

test('a call without a connection fails as unsent', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const link = new CallLink(address, 'self', new SystemClock(), new SeededRandom(1))
  disposables.push(link)
  expect(await runCall(link)).toBe('unsent link-lost')
})

// A node that freezes for a moment must get no new calls, but its outstanding calls may still end.
test('a link is unresponsive while a ping is unanswered, and responsive again after the next frame', async () => {
  const events: string[] = []
  const peer = await connectLink(frame => {
    if (frame.type !== 'ping') return undefined
    return events.length === 0 ? undefined : { type: 'pong' }
  })
  const responsive = new Promise<void>(resolve => peer.link.onResponsive(resolve))
  peer.link.onUnresponsive(() => { events.push('unresponsive') })
  const outcome = runCall(peer.link, () => { events.push('call') })
  await responsive
  expect(events).toEqual(['unresponsive', 'call'])
  peer.link.dispose()
  expect(await outcome).toBe('unknown link-lost')
})

test('a call that is started while the first connection opens is sent on it', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const clock = new SystemClock()
  const server = new FrameServer<CallClientFrame, CallServerFrame>(clock)
  const answer = { status: 200, headers: [], body: new Uint8Array(0) }
  server.onChannel(channel => channel.onMessage(frame => {
    if (frame.type === 'call') channel.send({ type: 'answer', id: frame.call.id, answer, load: LOAD })
  }))
  await server.listen(address)
  const link = new CallLink(address, 'self', clock, new SeededRandom(1))
  disposables.push(link, server)
  link.connect()
  expect(await runCall(link)).toBe('answer 200')
})

test('a call that waits for the first connection fails as unsent when none is possible', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const link = new CallLink(address, 'self', new SystemClock(), new SeededRandom(1))
  disposables.push(link)
  link.connect()
  expect(await runCall(link)).toBe('unsent link-lost')
  expect(await runCall(link)).toBe('unsent link-lost')
})

test('a call that waits for a connection can be cancelled, and is then never sent', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const frames: string[] = []
  const server = new FrameServer<CallClientFrame, CallServerFrame>(new SystemClock())
  const pinged = new Promise<void>(resolve => {
    server.onChannel(channel => channel.onMessage(({ type }) => {
      frames.push(type)
      if (type === 'ping') resolve()
    }))
  })
  await server.listen(address)
  const link = new CallLink(address, 'self', new SystemClock(), new SeededRandom(1))
  disposables.push(link, server)
  const listener = { onAnswer: () => {}, onDeclined: () => {}, onFailed: () => { frames.push('failed') } }
  link.connect()
  link.start(CALL, listener).cancel()
  link.start({ ...CALL, id: 2 }, { ...listener, onFailed: () => {} })
  await pinged
  expect(frames).toEqual(['callHello', 'call', 'ping'])
})

const ODD_OUTCOMES: readonly object[] = [
  { type: 'answer', answer: { status: 200, headers: ['a b', 'c'], body: new Uint8Array(0) }, load: LOAD },
  { type: 'answer', answer: { status: 99, headers: [], body: new Uint8Array(0) }, load: LOAD },
  { type: 'answer', answer: { status: 200, headers: ['a'], body: new Uint8Array(0) }, load: LOAD },
  { type: 'answer', answer: { status: 200, headers: [], body: 'text' }, load: LOAD },
  { type: 'answer', answer: { status: 200, headers: [], body: new Uint8Array(0) }, bodyBytes: -1, load: LOAD },
  { type: 'answer', load: LOAD },
  { type: 'turnedAway', reason: 'busy', retryAfterMs: 0, load: { ...LOAD, workMs: 'x' } },
  { type: 'turnedAway', reason: 'busy', retryAfterMs: NaN, load: LOAD },
  { type: 'failed', proof: 'other', reason: 'timeout', load: LOAD }
]

test('a malformed outcome of a call fails that call and keeps the link', async () => {
  const outcomes = [...ODD_OUTCOMES]
  const peer = await connectLink(frame => {
    if (frame.type !== 'call') return undefined
    const odd = outcomes.shift() ?? { type: 'failed', proof: 'unsent', reason: 'request-invalid' }
    return { ...odd, id: frame.call.id } as CallServerFrame
  })
  for (const outcome of ODD_OUTCOMES) expect([outcome, await runCall(peer.link)]).toEqual([outcome, 'unknown answer-invalid'])
  expect(await runCall(peer.link)).toBe('unsent request-invalid')
  expect(peer.link.isOpen).toBe(true)
})
