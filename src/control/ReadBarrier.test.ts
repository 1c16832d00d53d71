import { expect, test } from 'vitest'
import { ReadBarrier } from './ReadBarrier.js'
import type { ReplicaToReplica } from './Types.js'

const FIRST_ID = 1000

/** A follower's view of its group, moved on by hand. */
class Follower {
  public readonly id = 'c2~b'
  public readonly asked: number[] = []
  public index = 0
  public known: string | undefined = 'c1~a'

  public async read (): Promise<number | undefined> {
    return undefined
  }

  public leader (): string | undefined {
    return this.known
  }

  public applied (): number {
    return this.index
  }

  public send (_to: string, frame: ReplicaToReplica): void {
    if (frame.type === 'readIndex') this.asked.push(frame.id)
  }
}

/** Tells whether a promise is settled, after all that is due now has run. */
async function isSettled (promise: Promise<unknown>): Promise<boolean> {
  const open = Symbol('open')
  await new Promise(resolve => setImmediate(resolve))
  return await Promise.race([promise, Promise.resolve(open)]) !== open
}

test('a follower waits until it has applied the confirmed index', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_ID)
  const pass = barrier.pass()
  barrier.take(follower.asked[0]!, 5)
  follower.index = 4
  barrier.applied()
  expect(await isSettled(pass)).toBe(false)
  follower.index = 5
  barrier.applied()
  expect(await pass).toBe(true)
})

test('who comes during a round shares the next one', async () => {
  const follower = new Follower()
  const barrier = new ReadBarrier(follower, FIRST_ID)
  const first = barrier.pass()
  const later = [barrier.pass(), barrier.pass()]
  expect(follower.asked).toHaveLength(1)
  barrier.take(follower.asked[0]!, 0)
  expect(await first).toBe(true)
  expect(await isSettled(Promise.all(later))).toBe(false)
  // A repeated answer to the first question says nothing of the second.
  barrier.take(follower.asked[0]!, 0)
  expect(await isSettled(later[0]!)).toBe(false)
  barrier.take(follower.asked[1]!, 0)
  expect(await Promise.all(later)).toEqual([true, true])
})

test('an answer to an earlier run confirms nothing', async () => {
  const follower = new Follower()
  const earlier = new ReadBarrier(follower, FIRST_ID)
  const lost = earlier.pass()
  earlier.dispose()
  expect(await lost).toBe(false)
  const barrier = new ReadBarrier(follower, 2 * FIRST_ID)
  const pass = barrier.pass()
  barrier.take(follower.asked[0]!, 0)
  expect(await isSettled(pass)).toBe(false)
  barrier.dispose()
})

test('without a leader nothing is confirmed', async () => {
  const follower = new Follower()
  follower.known = undefined
  expect(await new ReadBarrier(follower, FIRST_ID).pass()).toBe(false)
  follower.known = 'c1~a'
  const barrier = new ReadBarrier(follower, FIRST_ID)
  const pass = barrier.pass()
  barrier.take(follower.asked[0]!, undefined)
  expect(await pass).toBe(false)
})
