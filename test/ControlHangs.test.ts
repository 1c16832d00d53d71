import { afterEach, expect, test } from 'vitest'
import { type ControlMachine, ControlMachines, pause } from './support/ControlMachines.js'

/** Time after the start of a successor from which it counts: `CatchUp` of the platform, in milliseconds. */
const CATCH_UP_MS = 4000

/** `Ack` and `Recover` of the platform, in milliseconds. */
const ACK_MS = 4000
const RECOVER_MS = 15_000

const RESTART_MS = 300

const groups: ControlMachines[] = []

afterEach(async () => {
  await Promise.all(groups.splice(0).map(async group => await group.dispose()))
})

type LossKind = 'hangs' | 'is killed for good' | 'loses its disk'

type Loss = (group: ControlMachines, machine: ControlMachine, seeds: readonly ControlMachine[]) => Promise<void>

const LOSSES: Readonly<Record<LossKind, Loss>> = {
  // A machine without power does not answer, and connections to it hang.
  hangs: async (_group, machine) => { machine.process.signal('SIGSTOP') },
  'is killed for good': async (_group, machine) => { await machine.process.kill() },
  'loses its disk': async (group, machine, seeds) => {
    await machine.process.kill()
    group.wipe(machine)
    await pause(RESTART_MS)
    group.start(machine, { seeds, bootstrap: false })
  }
}

interface Voters {
  readonly leader: ControlMachine
  readonly followers: readonly [ControlMachine, ControlMachine]
}

/** Forms a group of three beside one successor that has run for `CATCH_UP_MS`. */
async function formWithSuccessor (group: ControlMachines): Promise<Voters> {
  const machines = await group.form(3)
  const [successor] = group.add(1) as [ControlMachine]
  group.start(successor, { seeds: machines, bootstrap: false })
  await pause(CATCH_UP_MS)
  expect(await group.change(ACK_MS)).toBe(true)
  const leader = findLeader(group, machines)
  const followers = machines.filter(machine => machine !== leader) as [ControlMachine, ControlMachine]
  return { leader, followers }
}

function findLeader (group: ControlMachines, machines: readonly ControlMachine[]): ControlMachine {
  const termsLed = machines.map(machine => group.readLog(machine, 'role changed')
    .filter(({ role }) => role === 'leader')
    .reduce((newest, { term }) => Math.max(newest, term as number), -1))
  return machines[termsLed.indexOf(Math.max(...termsLed))]!
}

/** Losses of two voters: the first hangs or is killed, and the second is lost `gapMs` later. */
const LOSSES_IN_A_ROW = [
  { first: 'the leader', firstLoss: 'hangs', secondLoss: 'loses its disk', gapMs: 1500 },
  { first: 'the leader', firstLoss: 'hangs', secondLoss: 'is killed for good', gapMs: 1500 },
  { first: 'the leader', firstLoss: 'hangs', secondLoss: 'hangs', gapMs: 1500 },
  { first: 'a follower', firstLoss: 'hangs', secondLoss: 'loses its disk', gapMs: 1200 },
  { first: 'a follower', firstLoss: 'hangs', secondLoss: 'hangs', gapMs: 1200 },
  // Silence alone is noticed too late for this one: its process refuses connections at once.
  { first: 'a follower', firstLoss: 'is killed for good', secondLoss: 'is killed for good', gapMs: 600 }
] as const

for (const { first, firstLoss, secondLoss, gapMs } of LOSSES_IN_A_ROW) {
  // A hung voter was not replaced before the next one was lost, although a successor had long been ready.
  test(`${first} ${firstLoss} and another voter ${secondLoss} ${gapMs} ms later beside a ready successor`, async () => {
    const group = new ControlMachines(1)
    groups.push(group)
    const { leader, followers: [one, other] } = await formWithSuccessor(group)
    const [lost, next] = first === 'the leader' ? [leader, one] : [one, leader]
    await LOSSES[firstLoss](group, lost, [])
    await pause(gapMs)
    await LOSSES[secondLoss](group, next, [other])
    expect(await group.read(RECOVER_MS)).toEqual({ version: group.acknowledged })
    expect(await group.change(RECOVER_MS)).toBe(true)
  })
}
