import { afterEach, expect, test } from 'vitest'
import { PacedRelay } from '../../test/support/PacedRelay.js'
import { ShiftedClock } from '../../test/support/ShiftedClock.js'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { CHUNK_BYTES } from '../parts/transfer/Constants.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { MAX_FRAME_BYTES } from '../runtime/Constants.js'
import { FrameClient } from '../runtime/FrameClient.js'
import { FrameServer } from '../runtime/FrameServer.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { CallLink } from './CallLink.js'
import { CallServer } from './CallServer.js'
import { LINK_PING_INTERVAL_MS, LINK_TIMEOUT_MS, MAX_ANSWER_BYTES } from './Constants.js'
import type {
  CallClientFrame, CallServerFrame, RoutedCall, RoutedCallHandle, RoutedCallListener, RoutedCallTarget
} from './Types.js'

/** Rate of the users' links and the size of the largest bodies in use. */
const LINK_MBPS = 4.41
const LARGE_BYTES = 360 * 1024

const LOAD = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }

const UPLOAD: RoutedCall = {
  id: 1,
  service: 'ledger',
  method: 'POST',
  target: '/',
  headers: [],
  body: Uint8Array.from({ length: LARGE_BYTES }, (_, index) => index * 7 + (index >> 8)),
  requestId: 'r',
  work: 'w',
  kind: 'upload',
  nested: false,
  priority: 1,
  leftMs: 10_000,
  objectiveLeftMs: 1000,
  moveMs: 0,
  attempt: 'first'
}

const disposables: Disposable[] = []

afterEach(() => {
  disposables.splice(0).forEach(item => item.dispose())
})

/** Connects a link to a server whose frames a test handles. */
async function connectToServer (
  onFrame: (frame: CallClientFrame, channel: FrameChannel<CallClientFrame, CallServerFrame>) => void
): Promise<{ link: CallLink, clock: ShiftedClock }> {
  const [address] = await findFreeAddresses(1) as [string]
  const clock = new ShiftedClock()
  const server = new FrameServer<CallClientFrame, CallServerFrame>(clock)
  server.onChannel(channel => channel.onMessage(frame => onFrame(frame, channel)))
  await server.listen(address)
  const link = new CallLink(address, 'self', clock, new SeededRandom(1))
  disposables.push(link, server)
  await open(link)
  return { link, clock }
}

/** Connects a link to the real server of calls, whose target answers each call with its body. */
async function connectToTarget (mbps: number | undefined): Promise<{ link: CallLink, target: EchoTarget }> {
  const [address] = await findFreeAddresses(1) as [string]
  const target = new EchoTarget()
  const clock = new SystemClock()
  const server = new CallServer(target, clock)
  await server.listen(address)
  disposables.push(server)
  let linkAddress = address
  if (mbps !== undefined) {
    const relay = new PacedRelay(address, mbps)
    disposables.push(relay)
    linkAddress = await relay.listen()
  }
  const link = new CallLink(linkAddress, 'self', clock, new SeededRandom(1))
  disposables.push(link)
  await open(link)
  return { link, target }
}

async function open (link: CallLink): Promise<void> {
  const opened = new Promise<void>(resolve => link.onOpen(resolve))
  link.connect()
  await opened
}

/** Requests the body of each upload at once and answers a call with the body that it has received. */
class EchoTarget implements RoutedCallTarget {
  public readonly started: RoutedCall[] = []
  public readonly received: Uint8Array[] = []
  public cancelCount = 0
  /** Answers without a body when false. */
  public echoes = true

  public start (call: RoutedCall, listener: RoutedCallListener): RoutedCallHandle {
    this.started.push(call)
    const answer = (body: Uint8Array): void => {
      this.received.push(body)
      listener.onAnswer({ status: 200, headers: [], body: this.echoes ? body : new Uint8Array(0) }, LOAD)
    }
    if (call.bodyBytes === undefined) answer(call.body)
    else listener.onBodyWanted?.()
    return {
      cancel: () => { this.cancelCount++ },
      supplyBody: body => {
        if (body === undefined) listener.onFailed('unsent', 'body-stalled', LOAD)
        else answer(body)
      }
    }
  }
}

interface Outcome {
  readonly text: string
  readonly body: Uint8Array
}

async function run (link: CallLink, call: RoutedCall): Promise<Outcome> {
  const none = new Uint8Array(0)
  return await new Promise(resolve => {
    link.start(call, {
      onAnswer: ({ status, body }) => resolve({ text: `answer ${status}`, body }),
      onDeclined: reason => resolve({ text: `declined ${reason}`, body: none }),
      onFailed: (proof, reason) => resolve({ text: `${proof} ${reason}`, body: none })
    })
  })
}

// A decline must not cost the bytes of the body.
test('the call of an upload has no body, and a declined one moves none', async () => {
  const frames: CallClientFrame[] = []
  const { link } = await connectToServer((frame, channel) => {
    frames.push(frame)
    if (frame.type === 'call') channel.send({ type: 'turnedAway', id: 1, reason: 'busy', retryAfterMs: 0, load: LOAD })
  })
  expect((await run(link, UPLOAD)).text).toBe('declined busy')
  expect(frames.map(({ type }) => type)).toEqual(['callHello', 'call'])
  expect(frames[1]).toMatchObject({ call: { bodyBytes: LARGE_BYTES, body: { length: 0 } } })
})

// Deployments without uploads must be served frame for frame as before.
test('calls of other kinds, and uploads without a body, go in one frame with their body', async () => {
  const calls: RoutedCall[] = []
  const { link } = await connectToServer((frame, channel) => {
    if (frame.type !== 'call') return
    calls.push(frame.call)
    channel.send({ type: 'answer', id: frame.call.id, answer: { status: 200, headers: [], body: frame.call.body }, load: LOAD })
  })
  const kinds: RoutedCall['kind'][] = ['idempotent', 'once', 'download']
  const sent: RoutedCall[] = kinds.map((kind, id) => ({ ...UPLOAD, id, kind }))
  sent.push({ ...UPLOAD, id: 9, body: new Uint8Array(0) })
  for (const call of sent) expect((await run(link, call)).body).toHaveLength(call.body.length)
  expect(calls.map(({ body, ...call }) => ({ ...call, body: Uint8Array.from(body) }))).toEqual(sent)
})

test('an upload and its large answer arrive whole', async () => {
  const { link, target } = await connectToTarget(undefined)
  const { text, body } = await run(link, UPLOAD)
  expect([text, Buffer.compare(body, UPLOAD.body)]).toEqual(['answer 200', 0])
  expect(target.started[0]).toMatchObject({ bodyBytes: LARGE_BYTES, body: { length: 0 } })
})

// A frame above the limit closed the connection with all calls on it.
test('bodies that do not fit into a frame arrive whole beside other calls, for every kind', async () => {
  const { link, target } = await connectToTarget(undefined)
  const opened: string[] = []
  link.onOpen(() => { opened.push('again') })
  const body = Buffer.alloc(MAX_FRAME_BYTES + 1, 'abc')
  target.echoes = false
  for (const kind of ['idempotent', 'once', 'download'] as const) {
    const large = run(link, { ...UPLOAD, kind, body })
    const small = run(link, { ...UPLOAD, id: 2, kind, body: new Uint8Array(10) })
    expect([(await small).text, (await large).text]).toEqual(['answer 200', 'answer 200'])
    expect(Buffer.compare(target.received.pop()!, body)).toBe(0)
  }
  target.echoes = true
  const answer = await run(link, { ...UPLOAD, kind: 'idempotent', body: body.subarray(0, MAX_ANSWER_BYTES) })
  expect([answer.text, answer.body.length, opened]).toEqual(['answer 200', MAX_ANSWER_BYTES, []])
})

// The first call kept its slot for good when the connection closed.
test('a second call with the id of one that is open ends the connection and cancels both', async () => {
  const { link, target } = await connectToTarget(undefined)
  target.start = call => {
    target.started.push(call)
    return { cancel: () => { target.cancelCount++ } }
  }
  const outcomes = [run(link, { ...UPLOAD, kind: 'once' }), run(link, { ...UPLOAD, kind: 'once' })]
  expect((await outcomes[1])!.text).toBe('unknown link-lost')
  expect([target.started.length, target.cancelCount]).toEqual([1, 1])
})

/**
 * Runs small calls one after the other while an upload runs, and returns how many are answered before it ends.
 * @param call The upload.
 */
async function countSmallAnswers (link: CallLink, call: RoutedCall): Promise<number> {
  const ended: string[] = []
  const upload = run(link, call).then(({ text }) => { ended.push(text) })
  let answered = 0
  for (let id = 100; ended.length === 0; id++) {
    await run(link, { ...UPLOAD, id, kind: 'idempotent', body: new Uint8Array(10) })
    answered += Number(ended.length === 0)
  }
  await upload
  expect(ended).toEqual(['answer 200'])
  return answered
}

// At most 64 KB of a body are under way, so of 360 KB at least five small calls must be answered meanwhile; behind a
// body in one frame there is none.
const MIN_SMALL_ANSWERS = Math.floor(LARGE_BYTES / (64 * 1024))

test('small calls do not wait behind the body of an upload on a link of 4.41 Mbit/s', async () => {
  const { link, target } = await connectToTarget(LINK_MBPS)
  target.echoes = false
  expect(await countSmallAnswers(link, UPLOAD)).toBeGreaterThanOrEqual(MIN_SMALL_ANSWERS)
})

test('small answers do not wait behind a large answer of an upload on a link of 4.41 Mbit/s', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const server = new CallServer({
    start: (call, listener) => {
      if (call.kind === 'upload') listener.onAnswer({ status: 200, headers: [], body: UPLOAD.body }, LOAD)
      else listener.onAnswer({ status: 200, headers: [], body: call.body }, LOAD)
      return { cancel: () => {} }
    }
  }, new SystemClock())
  await server.listen(address)
  const relay = new PacedRelay(address, LINK_MBPS)
  const link = new CallLink(await relay.listen(), 'self', new SystemClock(), new SeededRandom(1))
  disposables.push(link, relay, server)
  await open(link)
  const call = { ...UPLOAD, body: new Uint8Array(0) }
  expect(await countSmallAnswers(link, call)).toBeGreaterThanOrEqual(MIN_SMALL_ANSWERS)
})

test('an upload whose link is lost before its last chunk is proved not to have run', async () => {
  const { link } = await connectToServer((frame, channel) => {
    if (frame.type === 'call') channel.send({ type: 'sendBody', id: 1 })
    if (frame.type === 'bodyChunk') channel.destroy('lost')
  })
  expect((await run(link, UPLOAD)).text).toBe('unsent link-lost')
})

test('an upload whose link falls silent before its last chunk is proved not to have run', async () => {
  const { link, clock } = await connectToServer((frame, channel) => {
    if (frame.type === 'call') channel.send({ type: 'sendBody', id: 1 })
    if (frame.type === 'ping') clock.shiftMs += LINK_TIMEOUT_MS + LINK_PING_INTERVAL_MS
  })
  expect((await run(link, UPLOAD)).text).toBe('unsent link-lost')
})

test('an upload whose link is lost after its last chunk may have run', async () => {
  let receivedBytes = 0
  const { link } = await connectToServer((frame, channel) => {
    if (frame.type === 'call') channel.send({ type: 'sendBody', id: 1 })
    if (frame.type !== 'bodyChunk') return
    channel.send({ type: 'chunkAck' })
    receivedBytes += frame.body.length
    if (receivedBytes === LARGE_BYTES) channel.destroy('lost')
  })
  expect((await run(link, UPLOAD)).text).toBe('unknown link-lost')
})

test('an upload whose link is lost in the middle of its answer may have run', async () => {
  const { link } = await connectToServer((frame, channel) => {
    if (frame.type !== 'call') return
    channel.send({ type: 'answer', id: 1, answer: { status: 200, headers: [], body: new Uint8Array(0) }, bodyBytes: LARGE_BYTES, load: LOAD })
    channel.send({ type: 'bodyChunk', id: 1, body: new Uint8Array(CHUNK_BYTES) })
    channel.end()
  })
  expect((await run(link, { ...UPLOAD, body: new Uint8Array(0) })).text).toBe('unknown link-lost')
})

test('a cancelled upload sends no more chunks, and the next one is sent on the same link', async () => {
  const frames: CallClientFrame[] = []
  let cancel = (): void => {}
  const { link } = await connectToServer((frame, channel) => {
    frames.push(frame)
    if (frame.type === 'call') channel.send({ type: 'sendBody', id: frame.call.id })
    if (frame.type !== 'bodyChunk') return
    channel.send({ type: 'chunkAck' })
    if (frame.id === 1) cancel()
    if (frame.id === 2) channel.send({ type: 'turnedAway', id: 2, reason: 'busy', retryAfterMs: 0, load: LOAD })
  })
  const ignore: RoutedCallListener = { onAnswer: () => {}, onDeclined: () => {}, onFailed: () => {} }
  const cancelled = new Promise<boolean | undefined>(resolve => {
    const handle = link.start(UPLOAD, ignore)
    cancel = () => {
      resolve(handle.isUnsent?.())
      handle.cancel()
    }
  })
  expect(await cancelled).toBe(true)
  expect((await run(link, { ...UPLOAD, id: 2 })).text).toBe('declined busy')
  const chunks = frames.flatMap(frame => frame.type === 'bodyChunk' && frame.id === 1 ? [frame.body.length] : [])
  expect(chunks.length * CHUNK_BYTES).toBeLessThanOrEqual(64 * 1024)
})

test('a sender that stalls in the middle of a body loses its slot after a while, with the proof that nothing has run', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const target = new EchoTarget()
  const server = new CallServer(target, new SystemClock())
  await server.listen(address)
  const client = new FrameClient<CallServerFrame, CallClientFrame>(address, new SystemClock(), new SeededRandom(1))
  disposables.push(client, server)
  const failed = new Promise<CallServerFrame>(resolve => client.onChannel(channel => {
    channel.onMessage(frame => {
      if (frame.type === 'sendBody') channel.send({ type: 'bodyChunk', id: 1, body: new Uint8Array(CHUNK_BYTES) })
      if (frame.type === 'failed') resolve(frame)
    })
    channel.send({ type: 'call', call: { ...UPLOAD, body: new Uint8Array(0), bodyBytes: LARGE_BYTES } })
  }))
  client.start()
  expect(await failed).toMatchObject({ proof: 'unsent', reason: 'body-stalled' })
  expect(target.received).toEqual([])
})

test('a chunk beyond the announced size closes the connection, and the call is cancelled', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const target = new EchoTarget()
  const server = new CallServer(target, new SystemClock())
  await server.listen(address)
  const client = new FrameClient<CallServerFrame, CallClientFrame>(address, new SystemClock(), new SeededRandom(1))
  disposables.push(client, server)
  const closed = new Promise<void>(resolve => client.onChannel(channel => {
    channel.onMessage(frame => {
      if (frame.type === 'sendBody') channel.send({ type: 'bodyChunk', id: 1, body: new Uint8Array(20) })
    })
    channel.onClose(() => resolve())
    channel.send({ type: 'call', call: { ...UPLOAD, body: new Uint8Array(0), bodyBytes: 10 } })
  }))
  client.start()
  await closed
  expect([target.received, target.cancelCount]).toEqual([[], 1])
})
