import { Buffer } from 'node:buffer'
import { connect } from 'node:net'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../parts/SeededRandom.js'
import { parseAddress } from './Address.js'
import { FrameClient } from './FrameClient.js'
import { FrameDecoder, FrameTooLong } from './FrameDecoder.js'
import { FrameServer } from './FrameServer.js'
import { SystemClock } from './SystemClock.js'

interface NoteMessage { readonly type: 'note', readonly number: number, readonly bytes: Uint8Array }

function encodeFrame (body: Uint8Array): Buffer {
  const frame = Buffer.alloc(4 + body.length)
  frame.writeUInt32BE(body.length)
  frame.set(body, 4)
  return frame
}

// TCP delivers a stream in chunks of any size: a length field or a body may be split across chunks.
test('frames are decoded whatever the sizes of the chunks that they arrive in', () => {
  fc.assert(fc.property(
    fc.array(fc.uint8Array({ maxLength: 40 }), { minLength: 1, maxLength: 8 }),
    fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }),
    (bodies, chunkSizes) => {
      const stream = Buffer.concat(bodies.map(encodeFrame))
      const decoder = new FrameDecoder(1000)
      const decoded: Buffer[] = []
      let offset = 0
      for (let i = 0; offset < stream.length; i++) {
        const size = chunkSizes[i % chunkSizes.length] as number
        decoder.push(stream.subarray(offset, offset + size), frame => decoded.push(Buffer.from(frame)))
        offset += size
      }
      expect(decoded.map(frame => frame.toString('hex'))).toEqual(bodies.map(body => Buffer.from(body).toString('hex')))
    }
  ), { seed: 1, numRuns: 300 })
})

test('a frame above the length limit is rejected', () => {
  const decoder = new FrameDecoder(10)
  expect(() => decoder.push(encodeFrame(new Uint8Array(11)), () => {})).toThrow(FrameTooLong)
})

test('messages arrive in order, also after the client has reconnected', async () => {
  const clock = new SystemClock()
  const server = new FrameServer<NoteMessage, NoteMessage>(clock)
  const address = await server.listen('127.0.0.1:0')
  const client = new FrameClient<NoteMessage, NoteMessage>(address, clock, new SeededRandom(1))
  server.onChannel(channel => { channel.onMessage(note => { channel.send(note) }) })
  for (let round = 0; round < 2; round++) {
    const connected = new Promise<void>(resolve => client.onChannel(() => resolve()))
    client.start()
    await connected
    const numbers: number[] = []
    const done = new Promise<void>(resolve => {
      client.channel?.onMessage(note => {
        numbers.push(note.number)
        if (numbers.length === 50) resolve()
      })
    })
    for (let number = 0; number < 50; number++) client.channel?.send({ type: 'note', number, bytes: new Uint8Array(number * 1000) })
    await done
    expect(numbers).toEqual(Array.from({ length: 50 }, (_, number) => number))
    const lost = new Promise<void>(resolve => client.onDisconnect(() => resolve()))
    client.channel?.destroy('test')
    await lost
  }
  client.dispose()
  server.dispose()
})

test('a frame above the length limit closes its connection with that reason', async () => {
  const server = new FrameServer<NoteMessage, NoteMessage>(new SystemClock())
  const address = await server.listen('127.0.0.1:0')
  const closed = new Promise<string>(resolve => server.onChannel(channel => { channel.onClose(resolve) }))
  const socket = connect(parseAddress(address))
  socket.write(Buffer.from([0xff, 0xff, 0xff, 0xff]))
  expect(await closed).toContain('longer than the limit')
  socket.destroy()
  server.dispose()
})

// A write after the end destroys the socket: a reply to a late ping must not take a large answer with it.
test('a message that is sent while the channel finishes is dropped, and those before it arrive', async () => {
  const clock = new SystemClock()
  const server = new FrameServer<NoteMessage, NoteMessage>(clock)
  const address = await server.listen('127.0.0.1:0')
  const client = new FrameClient<NoteMessage, NoteMessage>(address, clock, new SeededRandom(1))
  const large = { type: 'note', number: 1, bytes: new Uint8Array(12 * 1024 * 1024) } as const
  server.onChannel(channel => channel.onMessage(() => {
    channel.send(large)
    channel.finish(1000).catch(() => {})
    channel.send({ ...large, number: 2 })
  }))
  const received: number[] = []
  const closed = new Promise<void>(resolve => client.onDisconnect(() => resolve()))
  client.onChannel(channel => {
    channel.onMessage(({ number }) => received.push(number))
    channel.send({ ...large, bytes: new Uint8Array(1) })
  })
  client.start()
  await closed
  client.dispose()
  server.dispose()
  expect(received).toEqual([1])
})
