import { existsSync, readdirSync } from 'node:fs'
import { createServer } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { PORTS } from '../soak/Constants.js'
import { type ControlMachine, ControlMachines, pause } from './support/ControlMachines.js'

/** Longest time until a group has formed and acknowledges a change, in milliseconds: `Recover` of the platform. */
const FORMED_MS = 15_000

/** Pause between two looks at a file, in milliseconds. */
const POLL_MS = 2

const groups: ControlMachines[] = []

afterEach(async () => {
  await Promise.all(groups.splice(0).map(async group => await group.dispose()))
})

function makeGroup (): ControlMachines {
  const group = new ControlMachines()
  groups.push(group)
  return group
}

/** Waits until a replica has started to write a segment of its log; it starts the second when it forms the group. */
async function awaitSegment ({ disk }: ControlMachine, number: number): Promise<void> {
  const isSegment = (file: string): boolean => new RegExp(`^log-0*${number}(\\.tmp)?$`).test(file)
  while (!existsSync(disk) || !readdirSync(disk).some(isSegment)) await pause(POLL_MS)
}

/** Starts replicas again with their disks, and returns the members that each of them finds in its log. */
async function restart (group: ControlMachines, seeds: readonly ControlMachine[]): Promise<string[][]> {
  const readOpened = (machine: ControlMachine): string[][] =>
    group.readLog(machine, 'log opened').map(line => line.members as string[])
  await Promise.all(seeds.map(async ({ process }) => await process.kill()))
  const before = seeds.map(machine => readOpened(machine).length)
  seeds.forEach(machine => group.start(machine, { seeds, bootstrap: false }))
  while (seeds.some((machine, index) => readOpened(machine).length === before[index])) await pause(POLL_MS)
  return seeds.map(machine => readOpened(machine).at(-1)!)
}

/** Expects that all replicas have formed one group: after a restart all of them name the same members. */
async function expectOneGroup (group: ControlMachines, seeds: readonly ControlMachine[]): Promise<void> {
  expect(await group.change(FORMED_MS)).toBe(true)
  // Time in which a replica with a lost disk becomes a voter: `CatchUp` of the platform.
  await pause(4000)
  const members = await restart(group, seeds)
  expect(new Set(members.map(list => [...list].sort().join())).size).toBe(1)
  expect(members[0]).toHaveLength(3)
  expect(await group.change(FORMED_MS)).toBe(true)
}

for (const bootstrap of [true, false]) {
  for (const disk of ['kept', 'lost']) {
    // The others can't form the group without this seed.
    test(`a seed killed before the group forms, disk ${disk}, restarted with Bootstrap ${bootstrap}, is waited for`, async () => {
      const group = makeGroup()
      const seeds = group.add(3)
      const [killed, second, third] = seeds as [ControlMachine, ControlMachine, ControlMachine]
      group.start(killed, { seeds, bootstrap: true })
      group.start(second, { seeds, bootstrap: true })
      await awaitSegment(killed, 1)
      await killed.process.kill()
      if (disk === 'lost') group.wipe(killed)
      group.start(third, { seeds, bootstrap: true })
      group.start(killed, { seeds, bootstrap })
      await expectOneGroup(group, seeds)
    })
  }
}

for (const disk of ['kept', 'lost']) {
  test(`a seed killed as it forms the group, disk ${disk}, does not lead to two groups`, async () => {
    const group = makeGroup()
    const seeds = group.add(3)
    seeds.forEach(machine => group.start(machine, { seeds, bootstrap: true }))
    const killed = await Promise.race(seeds.map(async machine => {
      await awaitSegment(machine, 2)
      return machine
    }))
    await killed.process.kill()
    if (disk === 'lost') group.wipe(killed)
    group.start(killed, { seeds, bootstrap: false })
    await expectOneGroup(group, seeds)
  })
}

test('seeds that start seconds apart form one group', async () => {
  const group = makeGroup()
  const seeds = group.add(3)
  for (const seed of seeds) {
    group.start(seed, { seeds, bootstrap: true })
    await pause(2500)
  }
  await expectOneGroup(group, seeds)
})

// Two processes that write to one disk would damage the log.
test('a replica whose port is still in use waits for it before it opens its disk', async () => {
  const group = makeGroup()
  const seeds = group.add(3)
  const [late] = seeds as [ControlMachine]
  const former = createServer(socket => socket.destroy())
  await new Promise<void>(resolve => former.listen(PORTS.replicas, late.host, resolve))
  seeds.forEach(machine => group.start(machine, { seeds, bootstrap: true }))
  await pause(1500)
  expect(late.process.isRunning).toBe(true)
  expect(group.readLog(late, 'log opened')).toEqual([])
  await new Promise(resolve => former.close(resolve))
  await expectOneGroup(group, seeds)
})
