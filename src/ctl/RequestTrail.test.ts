import { expect, test } from 'vitest'
import { findTrail } from './RequestTrail.js'

const NODE_A = [
  '{"level":30,"time":"2026-01-01T00:00:01.200Z","process":"sassafras-node","id":"a","requestId":"r1","sends":1,"msg":"not answered"}',
  '{"level":30,"time":"2026-01-01T00:00:01.300Z","process":"sassafras-node","id":"a","requestId":"r12","msg":"not answered"}',
  'not JSON r1',
  '{"level":30,"time":"2026-01-01T00:00:00.000Z","process":"sassafras-node","id":"a","msg":"started r1"}'
].join('\n')

const NODE_B = [
  '  1.1 node-b {"level":30,"time":"2026-01-01T00:00:01.100Z","process":"sassafras-node","id":"b","requestId":"r1.x","reason":"timeout","msg":"run failed"}'
].join('\n')

test('the lines of a request and of its nested calls are ordered by time', () => {
  const trail = findTrail('r1', [NODE_A, NODE_B])
  expect(trail.map(({ process, message }) => [process, message])).toEqual([['b', 'run failed'], ['a', 'not answered']])
  expect(trail[0]?.fields).toEqual({ requestId: 'r1.x', reason: 'timeout' })
})

test('a request that no log mentions has an empty trail', () => {
  expect(findTrail('r9', [NODE_A, NODE_B])).toEqual([])
})

test('a line about several requests belongs to the trail of each', () => {
  const judged = '{"time":"2026-01-01T00:00:02.000Z","process":"sassafras-node","id":"a","requests":["r1","r2"],"msg":"lost connection judged"}'
  expect(findTrail('r2', [judged]).map(({ message }) => message)).toEqual(['lost connection judged'])
})
