import { expect, test } from 'vitest'
import { SharedRetryBudget } from './SharedRetryBudget.js'

const LIMITS = { ratio: 0.2, slack: 60, windowMs: 10_000 }

test('retries of one purpose leave a part of the budget to others, and a refunded retry can be withdrawn again', () => {
  const budget = new SharedRetryBudget({ ratio: 0, slack: 10, windowMs: 10_000 })
  const withdrawAll = (maxShare: number): number => {
    let withdrawn = 0
    while (budget.tryWithdraw(1, 0, maxShare)) withdrawn++
    return withdrawn
  }
  expect(withdrawAll(0.5)).toBe(3)
  expect(withdrawAll(1)).toBe(4)
  budget.refund()
  expect(withdrawAll(1)).toBe(1)
})

test('the retries of all nodes together stay within the bound in every window', () => {
  const nodeCount = 12
  const budgets = Array.from({ length: nodeCount }, () => new SharedRetryBudget(LIMITS))
  const retriesAtMs: number[] = []
  const requestsAtMs: number[] = []
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    const budget = budgets[nowMs / 10 % nodeCount] as SharedRetryBudget
    budget.countRequest(nowMs)
    requestsAtMs.push(nowMs)
    for (let i = 0; i < 3; i++) if (budget.tryWithdraw(nodeCount, nowMs)) retriesAtMs.push(nowMs)
  }
  for (let endMs = 10_000; endMs <= 60_000; endMs += 500) {
    const inWindow = (atMs: number): boolean => atMs > endMs - 10_000 && atMs <= endMs
    const allowed = LIMITS.ratio * requestsAtMs.filter(inWindow).length + LIMITS.slack
    expect(retriesAtMs.filter(inWindow).length).toBeLessThanOrEqual(allowed)
  }
  expect(retriesAtMs.length).toBeGreaterThan(0)
})
