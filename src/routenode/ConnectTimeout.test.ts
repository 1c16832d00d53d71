import { EventEmitter } from 'node:events'
import { connect } from 'node:net'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { SeededRandom } from '../parts/SeededRandom.js'
import { FrameClient } from '../runtime/FrameClient.js'
import type { Disposable } from '../runtime/Types.js'
import { ControlFeed } from './ControlFeed.js'

vi.mock('node:net', async original => ({ ...await original<object>(), connect: vi.fn() }))

const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }
const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

/** A socket whose connect gets no answer, as from a machine without power. */
class UnansweredSocket extends EventEmitter {
  public destroy (error?: Error): void {
    if (error !== undefined) this.emit('error', error)
    this.emit('close')
  }
}

let connectedAtMs: number[] = []
let client: Disposable | undefined

beforeEach(() => {
  vi.useFakeTimers({ now: 0 })
  connectedAtMs = []
  vi.mocked(connect).mockImplementation(() => {
    connectedAtMs.push(Date.now())
    return new UnansweredSocket() as never
  })
})

afterEach(() => {
  client?.dispose()
  vi.useRealTimers()
})

// After a loss of power, the first attempts reach machines that have not started yet. With one long timeout, all nodes
// stayed without a configuration for as long.
test('a node whose connect to a control replica gets no answer tries the next one soon, and then more slowly', () => {
  const entry = { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up' } as const
  const feed = new ControlFeed(['h:1', 'h:2', 'h:3'], { nextEntry: () => entry, crashReports: () => [] }, clock, new SeededRandom(1), SILENT)
  client = feed
  feed.start()
  vi.advanceTimersByTime(10_000)
  expect(connectedAtMs[1]).toBeLessThanOrEqual(400)
  const lastInterval = (connectedAtMs.at(-1) ?? 0) - (connectedAtMs.at(-2) ?? 0)
  expect(lastInterval).toBeGreaterThanOrEqual(1000)
})

test('a link whose connect gets no answer is tried again soon, and then more slowly', () => {
  const link = new FrameClient('h:1', clock, new SeededRandom(1))
  client = link
  link.start()
  vi.advanceTimersByTime(10_000)
  expect(connectedAtMs[1]).toBeLessThanOrEqual(400)
  const lastInterval = (connectedAtMs.at(-1) ?? 0) - (connectedAtMs.at(-2) ?? 0)
  expect(lastInterval).toBeGreaterThanOrEqual(1000)
})
