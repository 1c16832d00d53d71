import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { NO_WORKSPACE, OTHER_WORKSPACES, WorkspaceCounts } from './WorkspaceCounts.js'

function sumOfRequests ({ rows }: WorkspaceCounts): number {
  return rows.reduce((sum, { requests }) => sum + requests, 0)
}

// Labels without a bound make the metrics of a node grow with its customers.
test('the largest of many workspaces have rows of their own, the rest is summed', () => {
  const counts = new WorkspaceCounts()
  const random = new SeededRandom(1)
  for (let i = 0; i < 100_000; i++) {
    // Ten workspaces send a third of the requests, 10,000 the rest.
    const index = random.next() < 0.33 ? Math.floor(10 * random.next()) : 10 + Math.floor(10_000 * random.next())
    counts.countRequest(`w${index}`, 0.5, i)
  }
  expect(counts.rows.length).toBeLessThanOrEqual(20)
  const names = counts.rows.map(({ workspace }) => workspace)
  for (let index = 0; index < 10; index++) expect(names).toContain(`w${index}`)
  expect(sumOfRequests(counts)).toBe(100_000)
})

test('a workspace that grows replaces the smallest one, whose counts are kept in the sum', () => {
  const counts = new WorkspaceCounts()
  for (let i = 0; i < 18; i++) {
    counts.countRequest(`w${i}`, 0.5, i)
    counts.countRefusal(`w${i}`, 'share')
  }
  for (let i = 0; i < 20; i++) counts.countRequest('new', 0.75, 20)
  expect(counts.rows.find(({ workspace }) => workspace === 'new')).toMatchObject({ shareUsed: 0.75 })
  expect(counts.rows.find(({ workspace }) => workspace === OTHER_WORKSPACES)?.refusals.share).toBe(1)
  expect(sumOfRequests(counts)).toBe(38)
})

test('requests without a key in force are counted without a name', () => {
  const counts = new WorkspaceCounts()
  counts.countRefusal(undefined, 'key')
  const row = counts.rows.find(({ workspace }) => workspace === NO_WORKSPACE)
  expect(row).toMatchObject({ requests: 1, refusals: { key: 1 } })
})
