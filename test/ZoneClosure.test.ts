import { afterEach, beforeEach, expect, test } from 'vitest'
import { ProxiedInstance } from './support/ProxiedInstance.js'

let instance: ProxiedInstance
let isZoneClosed = false

beforeEach(async () => {
  isZoneClosed = false
  instance = await ProxiedInstance.start({ isZoneClosed: () => isZoneClosed })
})

afterEach(() => instance.dispose())

// Operators take the power off a zone that gets no requests any more.
test('a gate that closes hands queued calls back, admits none, and lets running ones finish', async () => {
  const running = instance.offer('r-1')
  await instance.awaitRuns(1)
  const queued = instance.offer('r-2')
  isZoneClosed = true
  instance.proxy.applyZoneClosure()
  expect([await queued, await instance.offer('r-3')]).toEqual(['no-slots', 'no-slots'])
  instance.answer(0)
  expect([await running, instance.ran]).toEqual(['200', ['r-1']])
  isZoneClosed = false
  instance.proxy.applyZoneClosure()
  const later = instance.offer('r-4')
  await instance.awaitRuns(2)
  instance.answer(1)
  expect(await later).toBe('200')
})

test('a queued call does not start when the timer that closes the gate is late', async () => {
  const running = instance.offer('r-1')
  await instance.awaitRuns(1)
  const queued = instance.offer('r-2')
  isZoneClosed = true
  instance.answer(0)
  expect([await running, await queued, instance.ran]).toEqual(['200', 'no-slots', ['r-1']])
})

// The instance may have closed a kept connection, on which the call is usually sent once more.
test('a call whose kept connection breaks is sent once more only while the zone is open', async () => {
  for (const closes of [false, true]) {
    const before = instance.ran.length
    const first = instance.offer('r-1')
    await instance.awaitRuns(before + 1)
    instance.answer(before)
    expect(await first).toBe('200')
    const second = instance.offer('r-2')
    await instance.awaitRuns(before + 2)
    isZoneClosed = closes
    instance.pending[before + 1]!.response.destroy()
    if (closes) expect(await second).toBe('unknown instance-lost')
    else {
      await instance.awaitRuns(before + 3)
      instance.answer(before + 2)
      expect(await second).toBe('200')
    }
    expect(instance.ran.length).toBe(before + (closes ? 2 : 3))
  }
})
