import { afterEach, expect, test } from 'vitest'
import { type ControlMachine, ControlMachines, pause } from './support/ControlMachines.js'

/** Time after the start of a successor from which the next machine may be lost: `CatchUp` of the platform, in ms. */
const CATCH_UP_MS = 4000

/** Longest time of a planned stop: `Grace`, in milliseconds. */
const GRACE_MS = 6000

/** Longest time of a stop that finds no leader or no successor, in milliseconds. */
const QUICK_STOP_MS = 2000

/** `Ack` and `Recover` of the platform, in milliseconds. */
const ACK_MS = 4000
const RECOVER_MS = 15_000

const groups: ControlMachines[] = []

afterEach(async () => {
  await Promise.all(groups.splice(0).map(async group => await group.dispose()))
})

function makeGroup (toleratedLosses = 1): ControlMachines {
  const group = new ControlMachines(toleratedLosses)
  groups.push(group)
  return group
}

function startSuccessor (group: ControlMachines, seeds: readonly ControlMachine[]): ControlMachine {
  const [successor] = group.add(1) as [ControlMachine]
  group.start(successor, { seeds: seeds.slice(0, 3), bootstrap: false })
  return successor
}

/** Kills all processes of machines at once, starts them again with their disks, and expects what was acknowledged. */
async function expectKeptAfterKill (group: ControlMachines, machines: readonly ControlMachine[]): Promise<void> {
  await Promise.all(machines.map(async ({ process }) => await process.kill()))
  machines.forEach(machine => group.start(machine, { seeds: machines.slice(0, 3), bootstrap: false }))
  expect(await group.read(RECOVER_MS)).toEqual({ version: group.acknowledged })
  expect(await group.change(ACK_MS)).toBe(true)
}

type Removal = (group: ControlMachines, machine: ControlMachine) => Promise<void>

const REMOVALS: Readonly<Record<'SIGTERM' | 'SIGKILL', Removal>> = {
  SIGTERM: async (group, machine) => { expect(await group.stop(machine)).toBeLessThan(GRACE_MS) },
  SIGKILL: async (_group, machine) => { await machine.process.kill() }
}

/** Groups and how their machines are removed, in this order. */
const REPLACEMENTS = [
  { size: 3, losses: 1, signals: ['SIGTERM', 'SIGTERM', 'SIGTERM'] },
  { size: 3, losses: 1, signals: ['SIGKILL', 'SIGKILL', 'SIGKILL'] },
  { size: 5, losses: 2, signals: ['SIGKILL', 'SIGTERM', 'SIGKILL', 'SIGTERM', 'SIGKILL'] }
] as const

for (const { size, losses, signals } of REPLACEMENTS) {
  // A machine that is removed stops counting when its successor has run for CatchUp; the next one may then be removed.
  test(`a group of ${size} whose machines are replaced by ${signals.join()} one each CatchUp keeps its state`, async () => {
    const group = makeGroup(losses)
    const machines = await group.form(size)
    for (const signal of signals) {
      const removed = machines.shift()!
      const removal = REMOVALS[signal](group, removed)
      const successor = startSuccessor(group, machines)
      await Promise.all([removal, pause(CATCH_UP_MS)])
      machines.push(successor)
      group.wipe(removed)
    }
    expect(await group.read(RECOVER_MS)).toEqual({ version: group.acknowledged })
    expect(await group.change(ACK_MS)).toBe(true)
    await expectKeptAfterKill(group, machines)
  })
}

// A vote that outlives its process by CatchUp leaves no quorum when the next machine is stopped.
test('two planned stops in a row find two successors that count', async () => {
  const group = makeGroup()
  const [first, second, third] = await group.form(3) as [ControlMachine, ControlMachine, ControlMachine]
  const successors = [startSuccessor(group, [second, third]), startSuccessor(group, [second, third])]
  await pause(CATCH_UP_MS)
  expect(await group.stop(first)).toBeLessThan(GRACE_MS)
  expect(await group.stop(second)).toBeLessThan(GRACE_MS)
  expect(await group.change(ACK_MS)).toBe(true)
  await expectKeptAfterKill(group, [third, ...successors])
})

test('a stop without a successor is quick, and the restart with its disk finds its vote', async () => {
  const group = makeGroup()
  const machines = await group.form(3)
  for (const machine of machines) {
    expect(await group.stop(machine)).toBeLessThan(QUICK_STOP_MS)
    group.start(machine, { seeds: machines, bootstrap: false })
    expect(await group.change(ACK_MS)).toBe(true)
  }
  const durations = await Promise.all(machines.map(async machine => await group.stop(machine)))
  expect(Math.max(...durations)).toBeLessThan(QUICK_STOP_MS)
  await expectKeptAfterKill(group, machines)
})

// A spare takes the place of a voter that stands still; the voter must come back as a spare that counts.
test('voters that freeze one after the other beside a spare leave a group that bears the next loss', async () => {
  const group = makeGroup()
  const voters = await group.form(3)
  const machines = [...voters, startSuccessor(group, voters)]
  await pause(CATCH_UP_MS)
  for (const machine of machines.slice(0, 2)) {
    machine.process.signal('SIGSTOP')
    await pause(3000)
    expect(await group.change(ACK_MS)).toBe(true)
    machine.process.signal('SIGCONT')
    await pause(CATCH_UP_MS)
  }
  const [lost, ...others] = machines as [ControlMachine, ...ControlMachine[]]
  await lost.process.kill()
  group.wipe(lost)
  await pause(CATCH_UP_MS)
  await others[0]!.process.kill()
  expect(await group.change(ACK_MS)).toBe(true)
  await expectKeptAfterKill(group, others)
})

/** Numbers of ready successors, and the time between two losses, in milliseconds. */
const LOSSES_BESIDE_SUCCESSORS = [
  { successors: 2, gapMs: 0 }, { successors: 2, gapMs: 1000 }, { successors: 1, gapMs: 2000 }
] as const

for (const { successors, gapMs } of LOSSES_BESIDE_SUCCESSORS) {
  // The successors held neither a vote nor the log until a voter had been silent for some time.
  test(`two voters that are killed for good ${gapMs} ms apart beside ${successors} ready successors leave a quorum`, async () => {
    const group = makeGroup()
    const voters = await group.form(3)
    const ready = Array.from({ length: successors }, () => startSuccessor(group, voters))
    await pause(CATCH_UP_MS)
    expect(await group.change(ACK_MS)).toBe(true)
    const [first, second, ...others] = voters as [ControlMachine, ControlMachine, ...ControlMachine[]]
    await first.process.kill()
    await pause(gapMs)
    await second.process.kill()
    expect(await group.read(RECOVER_MS)).toEqual({ version: group.acknowledged })
    expect(await group.change(ACK_MS)).toBe(true)
    for (const machine of [first, second]) group.wipe(machine)
    await expectKeptAfterKill(group, [...others, ...ready])
  })
}
