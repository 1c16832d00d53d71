import { expect, test } from 'vitest'
import { MAX_TRACKED_WORKSPACES } from './Constants.js'
import { WorkspaceUsage } from './WorkspaceUsage.js'

const USUAL = 5 / 8

/** Counts requests at a rate and returns the last share. */
function play (usage: WorkspaceUsage, workspace: string, perS: number, fromMs: number, untilMs: number): number {
  let share = 0
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 1000 / perS) share = usage.take(workspace, undefined, nowMs)
  return share
}

test('a steady workspace has the usual share, and one that sends seven times as much all of it within seconds', () => {
  for (const perS of [3, 40]) {
    const usage = new WorkspaceUsage()
    expect(play(usage, 'w', perS, 0, 60_000)).toBe(USUAL)
    expect(play(usage, 'w', 7 * perS, 60_000, 70_000)).toBe(1)
  }
})

// With counts that cover less than their windows, each workspace would seem hot to a node that has just started.
test('soon after a start, a steady workspace has the usual share', () => {
  expect(play(new WorkspaceUsage(), 'w', 20, 0, 1500)).toBe(USUAL)
})

test('a few requests in a row do not make a small workspace hot', () => {
  const usage = new WorkspaceUsage()
  play(usage, 'other', 1, 0, 300_000)
  for (let i = 0; i < 3; i++) expect(usage.take('small', undefined, 300_000 + 100 * i)).toBeLessThanOrEqual(USUAL + 1 / 8)
})

test('a surge counts as usual after minutes, and a workspace that gets less has a lower share', () => {
  const usage = new WorkspaceUsage()
  play(usage, 'w', 5, 0, 60_000)
  expect(play(usage, 'w', 35, 60_000, 360_000)).toBe(USUAL)
  expect(play(usage, 'w', 5, 360_000, 380_000)).toBeLessThan(USUAL)
})

test('a refused request does not count as used', () => {
  const usage = new WorkspaceUsage()
  play(usage, 'w', 10, 0, 60_000)
  for (let nowMs = 60_000; nowMs < 70_000; nowMs += 100) {
    usage.take('w', undefined, nowMs)
    if (nowMs % 200 === 0) usage.giveBack('w', nowMs, nowMs + 50)
  }
  expect(usage.take('w', undefined, 70_000)).toBe(USUAL - 1 / 8)
})

test('many refusals for each served request raise the share of a quota by a step', () => {
  const usage = new WorkspaceUsage()
  play(usage, 'w', 1, 0, 60_000)
  expect(usage.take('w', 0.25, 60_000)).toBe(0.25)
  for (let nowMs = 60_000; nowMs < 70_000; nowMs += 20) {
    usage.take('w', undefined, nowMs)
    if (nowMs % 1000 !== 0) usage.giveBack('w', nowMs, nowMs)
  }
  expect(usage.take('w', 0.25, 70_000)).toBe(0.375)
})

test('memory is bounded with any number of workspaces, and those in use are kept', () => {
  const usage = new WorkspaceUsage()
  play(usage, 'busy', 10, 0, 60_000)
  for (let i = 0; i < 100_000; i++) {
    usage.take(`w${i}`, undefined, 60_000 + i / 10)
    if (i % 1000 === 0) usage.take('busy', undefined, 60_000 + i / 10)
  }
  expect(usage.size).toBeLessThanOrEqual(MAX_TRACKED_WORKSPACES)
  expect(play(usage, 'busy', 70, 70_000, 75_000)).toBe(1)
})
