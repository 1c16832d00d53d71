import { expect, test } from 'vitest'
import { Supervisor } from './Supervisor.js'
import type { RestartPolicy } from './Supervisor.js'
import type { Log } from './Types.js'

const SILENT_LOG: Log = { debug () {}, info () {}, warn () {}, error () {} }

async function flushMicrotasks (): Promise<void> {
  for (let i = 0; i < 10; i++) await Promise.resolve()
}

interface Setup {
  readonly starts: () => number
  readonly fail: () => void
  readonly failures: Error[]
}

async function startSupervisor (policy: RestartPolicy): Promise<Setup> {
  const failures: Error[] = []
  let starts = 0
  let failChild: (error: Error) => void = () => {}
  const clock = { nowMs: () => starts, wallMs: () => 0 }
  const options = { name: 'root', maxRestarts: 2, restartWindowMs: 1000 }
  const supervisor = new Supervisor(options, clock, SILENT_LOG, error => { failures.push(error) })
  await supervisor.add({
    name: 'child',
    rule: policy,
    start: fail => {
      starts++
      failChild = fail
      return { stop: () => {} }
    }
  })
  return { starts: () => starts, fail: () => failChild(new Error('broken')), failures }
}

test('a failing child is restarted up to the limit, then the supervisor fails', async () => {
  const { starts, fail, failures } = await startSupervisor('restart')
  for (let round = 1; round <= 2; round++) {
    fail()
    await flushMicrotasks()
    expect(starts()).toBe(round + 1)
  }
  fail()
  await flushMicrotasks()
  expect(starts()).toBe(3)
  expect(failures.map(error => error.message)).toEqual(['broken'])
})

test('a child with the stop-process policy fails the supervisor at its first failure', async () => {
  const { starts, fail, failures } = await startSupervisor('stop-process')
  fail()
  await flushMicrotasks()
  expect(starts()).toBe(1)
  expect(failures).toHaveLength(1)
})

test('children stop in reverse order', async () => {
  const stopped: string[] = []
  const clock = { nowMs: () => 0, wallMs: () => 0 }
  const supervisor = new Supervisor({ name: 'root', maxRestarts: 1, restartWindowMs: 1 }, clock, SILENT_LOG, () => {})
  for (const name of ['first', 'second']) {
    await supervisor.add({ name, rule: 'restart', start: () => ({ stop: () => { stopped.push(name) } }) })
  }
  await supervisor.stop()
  expect(stopped).toEqual(['second', 'first'])
})
