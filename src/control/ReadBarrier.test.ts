import { expect, test } from 'vitest'
import { ReadBarrier } from './ReadBarrier.js'
import type { ReplicaToReplica } from './Types.js'

const FIRST_REQUEST_ID = 1000

/** A follower's view of its group, moved on by hand. */
class Follower {
  public readonly id = 'c2~b'
  public readonly requestIds: number[] = []
  public index = 0
  public knownLeader: string | undefined = 'c1~a'

  public async confirmReadIndex (): Promise<number | undefined> {
    return undefined
  }

  public leader (): string | undefined {
    return this.knownLeader
  }

  public appliedIndex (): number {
    return this.index
  }

  public send (_to: string, frame: ReplicaToReplica): void {
    if (frame.type === 'readIndex') this.requestIds.push(frame.id)
  }
}

/** Tells whether a promise is settled, after all that is due now has run. */
async function isSettled (promise: Promise<unknown>): Promise<boolean> {
  const pending = Symbol('open')
  await new Promise(resolve => setImmediate(resolve))
  return await Promise.race([promise, Promise.resolve(pending)]) !== pending
}

test('a follower waits until it has applied the confirmed index', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const read = barrier.wait()
  barrier.receiveReply(follower.requestIds[0]!, 5)
  follower.index = 4
  barrier.notifyApplied()
  expect(await isSettled(read)).toBe(false)
  follower.index = 5
  barrier.notifyApplied()
  expect(await read).toBe(true)
})

test('who comes during a round shares the next one', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const first = barrier.wait()
  const later = [barrier.wait(), barrier.wait()]
  expect(follower.requestIds).toHaveLength(1)
  barrier.receiveReply(follower.requestIds[0]!, 0)
  expect(await first).toBe(true)
  expect(await isSettled(Promise.all(later))).toBe(false)
  // A repeated answer to the first question says nothing of the second.
  barrier.receiveReply(follower.requestIds[0]!, 0)
  expect(await isSettled(later[0]!)).toBe(false)
  barrier.receiveReply(follower.requestIds[1]!, 0)
  expect(await Promise.all(later)).toEqual([true, true])
})

test('an answer to an earlier run confirms nothing', async () => {
  const follower = new Follower()
  const earlierBarrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const earlierRead = earlierBarrier.wait()
  earlierBarrier.dispose()
  expect(await earlierRead).toBe(false)
  const barrier = new ReadBarrier(follower, 2 * FIRST_REQUEST_ID)
  const read = barrier.wait()
  barrier.receiveReply(follower.requestIds[0]!, 0)
  expect(await isSettled(read)).toBe(false)
  barrier.dispose()
})

test('without a leader nothing is confirmed', async () => {
  const follower = new Follower()
  follower.knownLeader = undefined
  expect(await new ReadBarrier(follower, FIRST_REQUEST_ID).wait()).toBe(false)
  follower.knownLeader = 'c1~a'
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const read = barrier.wait()
  barrier.receiveReply(follower.requestIds[0]!, undefined)
  expect(await read).toBe(false)
})
