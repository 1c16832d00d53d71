import { request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { buildRule, FakeControl } from './support/FakeControl.js'
import { InProcessNode } from './support/InProcessNode.js'

/** Sizes of the answers, in bytes: around what the operating system buffers for a caller that reads nothing. */
const SIZES = Array.from({ length: 18 }, (_, index) => 2_000_000 + index * 230_000)

/** Time for which the callers read nothing before the stop and during it, in milliseconds. */
const STALL_MS = 500

const control = new FakeControl([buildRule('dies')])
let node: InProcessNode | undefined

afterEach(async () => {
  await node?.dispose()
  control.dispose()
})

/** A download whose caller reads nothing until `resume`. */
interface Download {
  readonly answer: IncomingMessage
  /** Bytes that had arrived when the connection closed. */
  readonly length: Promise<number>
}

async function startDownload (port: number, bytes: number): Promise<Download> {
  return await new Promise((resolve, reject) => {
    const headers = { host: 'dies.mesh' }
    const call = request({ port, host: '127.0.0.1', path: `/downloads/${bytes}`, headers, agent: false }, answer => {
      let received = 0
      if (answer.statusCode !== 200) {
        // The node does not admit so many at once yet.
        answer.resume().on('close', () => resolve(startDownload(port, bytes)))
        return
      }
      const length = new Promise<number>(resolve => { answer.on('close', () => resolve(received)) })
      answer.on('error', () => {})
      answer.on('data', (chunk: Buffer) => { received += chunk.length })
      answer.pause()
      resolve({ answer, length })
    })
    call.on('error', reject)
    call.end()
  })
}

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

test('a stop of a node cuts no answer that was written but that its caller has not read', async () => {
  const started = await InProcessNode.start('n0', await control.listen(), 'dies', (message, response) => {
    const bytes = Number(/^\/downloads\/(\d+)$/.exec(message.url ?? '')?.[1] ?? 2)
    response.end(Buffer.alloc(bytes))
  })
  node = started
  await started.announce('dies', 'serving', SIZES.length)
  const downloads = await Promise.all(SIZES.map(async bytes => await startDownload(started.callerPort, bytes)))
  await delay(STALL_MS)
  const stopped = started.stop()
  await delay(STALL_MS)
  for (const { answer } of downloads) answer.resume()
  expect(await Promise.all(downloads.map(async ({ length }) => await length))).toEqual(SIZES)
  await stopped
}, 20_000)
