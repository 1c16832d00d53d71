import { expect, test } from 'vitest'
import { ReadBarrier } from './ReadBarrier.js'
import type { ReplicaToReplica } from './Types.js'

const FIRST_REQUEST_ID = 1000

/** A follower's view of its group, set by the tests. */
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

/** Returns whether a promise is settled after one iteration of the event loop. */
async function isSettled (promise: Promise<unknown>): Promise<boolean> {
  const pending = Symbol('open')
  await new Promise(resolve => setImmediate(resolve))
  return await Promise.race([promise, Promise.resolve(pending)]) !== pending
}

// A follower that read before it has applied the confirmed index would return data older than a committed change.
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

// The index of the current round may have been confirmed before a later caller began, so that the round could miss a
// change that was committed in between.
test('reads that begin during a round share the next one', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const first = barrier.wait()
  const later = [barrier.wait(), barrier.wait()]
  expect(follower.requestIds).toHaveLength(1)
  barrier.receiveReply(follower.requestIds[0]!, 0)
  expect(await first).toBe(true)
  expect(await isSettled(Promise.all(later))).toBe(false)
  // A duplicate reply to the first request must not confirm the second.
  barrier.receiveReply(follower.requestIds[0]!, 0)
  expect(await isSettled(later[0]!)).toBe(false)
  barrier.receiveReply(follower.requestIds[1]!, 0)
  expect(await Promise.all(later)).toEqual([true, true])
})

// A late reply to a request of the process's earlier run must not match a request of the present run.
test('a reply to an earlier run of the process confirms nothing', async () => {
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

test('a read fails without a leader or a confirmed index', async () => {
  const follower = new Follower()
  follower.knownLeader = undefined
  expect(await new ReadBarrier(follower, FIRST_REQUEST_ID).wait()).toBe(false)
  follower.knownLeader = 'c1~a'
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const read = barrier.wait()
  barrier.receiveReply(follower.requestIds[0]!, undefined)
  expect(await read).toBe(false)
})

// The request to a leader that has failed is lost; a node that connects meanwhile would be welcomed seconds later.
test('a read during which the leader changes asks the new leader', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const read = barrier.wait()
  follower.knownLeader = undefined
  barrier.notifyLeader()
  expect(await isSettled(read)).toBe(false)
  follower.knownLeader = 'c3~a'
  barrier.notifyLeader()
  expect(follower.requestIds).toHaveLength(2)
  barrier.receiveReply(follower.requestIds[0]!, 0)
  expect(await isSettled(read)).toBe(false)
  barrier.receiveReply(follower.requestIds[1]!, 0)
  expect(await read).toBe(true)
})

test('a read whose index is confirmed does not begin anew when the leader changes', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_REQUEST_ID)
  const read = barrier.wait()
  barrier.receiveReply(follower.requestIds[0]!, 5)
  follower.knownLeader = 'c3~a'
  barrier.notifyLeader()
  expect(follower.requestIds).toHaveLength(1)
  follower.index = 5
  barrier.notifyApplied()
  expect(await read).toBe(true)
})
