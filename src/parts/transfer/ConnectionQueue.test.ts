import { expect, test } from 'vitest'
import { computeConnectionLimit, ConnectionQueue } from './ConnectionQueue.js'

test('connections of callers may take half of the descriptors', () => {
  expect([4100, undefined, 1].map(computeConnectionLimit)).toEqual([2050, 2048, 1])
})

test('unfinished heads give way first, then idle connections, then unfinished bodies, the oldest first', () => {
  const queue = new ConnectionQueue<string>()
  queue.set('body', 'receiving')
  queue.set('idle-1', 'idle')
  queue.set('idle-2', 'idle')
  queue.set('head', 'waiting')
  queue.set('run', 'working')
  queue.set('idle-1', 'idle')
  const order = []
  for (let next = queue.findFirst(); next !== undefined; next = queue.findFirst()) {
    order.push(next)
    queue.delete(next)
  }
  expect([order, queue.size]).toEqual([['head', 'idle-2', 'idle-1', 'body'], 1])
})

// The request of such a connection may run, and its answer would be lost.
test('a connection with a request that has arrived completely does not give way', () => {
  const queue = new ConnectionQueue<string>()
  queue.set('run', 'receiving')
  queue.set('run', 'working')
  expect(queue.findFirst()).toBe(undefined)
})
