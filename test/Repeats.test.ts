import { afterEach, expect, test } from 'vitest'
import { SharedRetryBudget } from '../src/parts/budget/SharedRetryBudget.js'
import { ProxiedInstance } from './support/ProxiedInstance.js'
import { pause } from './support/RouteMesh.js'

const FIRST = { id: 'i-1', bornMs: 1 }

let instance: ProxiedInstance

afterEach(() => instance.dispose())

/** Leaves a kept connection behind, and returns the outcome of a call on it that breaks after `change`. */
async function breakKeptConnection (change: () => void): Promise<string> {
  const before = instance.ran.length
  const first = instance.offer('r-1')
  await instance.awaitRuns(before + 1)
  instance.answer(before)
  expect(await first).toBe('200')
  const outcomes: string[] = []
  const second = instance.offer('r-2').then(outcome => outcomes.push(outcome))
  await instance.awaitRuns(before + 2)
  change()
  instance.pending[before + 1]!.response.destroy()
  while (outcomes.length === 0 && instance.ran.length < before + 3) await pause()
  if (outcomes.length === 0) instance.answer(before + 2)
  await second
  return outcomes.join()
}

const ENDS_OF_SERVICE: Readonly<Record<string, () => void>> = {
  drains: () => instance.report(FIRST, 2, 'draining'),
  'has left': () => { instance.proxy.deregister(FIRST.id, FIRST.bornMs) },
  'has been replaced': () => instance.report({ id: 'i-2', bornMs: 2 }, 1, 'ready')
}

for (const [state, change] of Object.entries(ENDS_OF_SERVICE)) {
  test(`a call whose kept connection breaks is not sent again to an instance that ${state}`, async () => {
    instance = await ProxiedInstance.start({})
    expect([await breakKeptConnection(change), instance.ran.length]).toEqual(['unknown instance-lost', 2])
  })
}

test('calls whose kept connections break are sent again only within the retry budget of their service', async () => {
  const budget = new SharedRetryBudget({ ratio: 0, slack: 3, windowMs: 10_000 })
  instance = await ProxiedInstance.start({ withdrawRepeat: service => service === 'svc' && budget.tryWithdraw(1, 0) })
  const outcomes: string[] = []
  for (let call = 0; call < 4; call++) outcomes.push(await breakKeptConnection(() => {}))
  expect(outcomes).toEqual(['200', '200', 'unknown instance-lost', 'unknown instance-lost'])
})
