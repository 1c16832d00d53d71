import { expect, test } from 'vitest'
import { RepeatBudget } from './SharedRetryBudget.js'

const LIMITS = { ratio: 0.2, slack: 60, windowMs: 10_000 }

test('repeats of one purpose leave a part of the budget to others, and one that was given back can be taken again', () => {
  const budget = new RepeatBudget({ ratio: 0, slack: 10, windowMs: 10_000 })
  const take = (share: number): number => {
    let taken = 0
    while (budget.tryRepeat(1, 0, share)) taken++
    return taken
  }
  expect(take(0.5)).toBe(3)
  expect(take(1)).toBe(4)
  budget.refund()
  expect(take(1)).toBe(1)
})

test('all nodes together stay within the bound in every window', () => {
  const nodes = 12
  const budgets = Array.from({ length: nodes }, () => new RepeatBudget(LIMITS))
  const repeats: number[] = []
  const requests: number[] = []
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    const budget = budgets[nowMs / 10 % nodes] as RepeatBudget
    budget.countRequest(nowMs)
    requests.push(nowMs)
    for (let i = 0; i < 3; i++) if (budget.tryRepeat(nodes, nowMs)) repeats.push(nowMs)
  }
  for (let endMs = 10_000; endMs <= 60_000; endMs += 500) {
    const inWindow = (atMs: number): boolean => atMs > endMs - 10_000 && atMs <= endMs
    const allowed = LIMITS.ratio * requests.filter(inWindow).length + LIMITS.slack
    expect(repeats.filter(inWindow).length).toBeLessThanOrEqual(allowed)
  }
  expect(repeats.length).toBeGreaterThan(0)
})
