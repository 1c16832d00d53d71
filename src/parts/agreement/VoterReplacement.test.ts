import fc from 'fast-check'
import { expect, test } from 'vitest'
import { quorumSize } from './Members.js'
import { VoterContact } from './VoterContact.js'
import { VoterPlanner } from './VoterPlanner.js'

const TICK_MS = 100
const JOIN_INTERVAL_MS = 300

/** Time after the start of a successor from which the next machine may be lost: `CatchUp` of the platform, in ms. */
const CATCH_UP_MS = 4000

/** Time from a start to the first request to join, and from the loss of a leader to the next one, in milliseconds. */
const START_MS = 800
const ELECTION_MS = 1000

/** Time from the loss of a voter, which may lead, until its successor has its vote, in milliseconds. */
const REPLACED_MS = ELECTION_MS + 500

/** One replacement: times are in milliseconds. */
interface Replacement {
  readonly isPlanned: boolean
  /** Which of the machines is removed. */
  readonly pick: number
  /** From the removal to the start of the successor; below 0, the successor starts first. */
  readonly successorAfterMs: number
  /** Beyond the time after which the next machine may be lost. */
  readonly pauseMs: number
}

const replacements = fc.array(fc.record({
  isPlanned: fc.boolean(),
  pick: fc.nat({ max: 4 }),
  successorAfterMs: fc.integer({ min: -60, max: 20 }).map(ticks => ticks * TICK_MS),
  pauseMs: fc.integer({ min: 0, max: 20 }).map(ticks => ticks * TICK_MS)
}), { minLength: 1, maxLength: 8 })

interface Machine {
  readonly id: string
  readonly startedMs: number
  readonly contact: VoterContact
  endedMs: number
  isLeaving: boolean
}

/** A group in virtual time whose leader changes the voters as its planner says; each change takes one tick. */
class Group {
  private readonly _planner: VoterPlanner
  private readonly _machines: Machine[] = []
  private _members: readonly string[]
  private _nowMs = 0
  private _leader: Machine
  private _leaderSinceMs = -Infinity

  public constructor (size: number) {
    this._planner = new VoterPlanner(size)
    for (let i = 0; i < size; i++) this.start(-START_MS)
    this._members = this._machines.map(({ id }) => id)
    this._leader = this._machines[0]!
  }

  public get nowMs (): number {
    return this._nowMs
  }

  public start (atMs = this._nowMs): void {
    const contact = new VoterContact(atMs)
    const id = `m${this._machines.length}:1~1`
    this._machines.push({ id, contact, startedMs: atMs, endedMs: Infinity, isLeaving: false })
  }

  public remove (pick: number, isPlanned: boolean): Machine {
    const running = this._machines.filter(machine => this._isRunning(machine) && this._members.includes(machine.id))
    const machine = running[pick % running.length]!
    if (!isPlanned) machine.endedMs = this._nowMs
    machine.isLeaving = isPlanned
    return machine
  }

  public runUntil (isOver: () => boolean): void {
    while (!isOver()) {
      this._nowMs += TICK_MS
      this._tick()
    }
  }

  /** Voters that run, less those that are needed for a decision. */
  public get spareVotes (): number {
    const running = this._machines.filter(machine => this._isRunning(machine) && this._members.includes(machine.id))
    return running.length - quorumSize(this._members)
  }

  public isMember ({ id }: Machine): boolean {
    return this._members.includes(id)
  }

  private _isRunning ({ startedMs, endedMs }: Machine): boolean {
    return startedMs <= this._nowMs && endedMs > this._nowMs
  }

  private _tick (): void {
    this._elect()
    for (const machine of this._machines) if (this._isRunning(machine)) this._ask(machine)
    this._exchangeFrames()
    if (this._leaderSinceMs > this._nowMs || this.spareVotes < 0) return
    const { id: self, contact } = this._leader
    const silenceMs = (member: string): number => contact.silenceMs(member, this._nowMs)
    // A machine that is removed without a process that refuses connections only falls silent.
    const view = { self, members: this._members, isGone: () => false, silenceMs }
    const change = this._planner.nextChange(view, this._nowMs)
    if (change !== undefined) this._members = change.members
  }

  /** Followers hear the leader, and the leader hears its followers; during an election nobody is heard. */
  private _exchangeFrames (): void {
    const isLed = this._leaderSinceMs <= this._nowMs
    const running = this._machines.filter(machine => this._isRunning(machine))
    for (const machine of running) {
      const isLeader = isLed && machine === this._leader
      const heard = isLeader ? running : [this._leader]
      const nowMs = this._nowMs
      if (isLed) heard.forEach(({ id }) => machine.contact.recordFrame(id, nowMs))
      machine.contact.check(machine.id, isLeader ? 'leader' : 'follower', isLed ? this._leader.id : undefined, nowMs)
    }
  }

  private _elect (): void {
    if (this._isRunning(this._leader) && this.isMember(this._leader)) return
    this._leaderSinceMs = this._nowMs + ELECTION_MS
    this._leader = this._machines.find(machine => this._isRunning(machine) && this.isMember(machine))!
  }

  private _ask (machine: Machine): void {
    const isMember = this.isMember(machine)
    if (machine.isLeaving) {
      this._planner.recordLeaveRequest(machine.id, this._nowMs)
      if (!isMember || !this._planner.canReplace(this._members, this._nowMs)) machine.endedMs = this._nowMs
    } else if (!isMember && this._nowMs >= machine.startedMs + START_MS && this._nowMs % JOIN_INTERVAL_MS === 0) {
      this._planner.recordJoinRequest(machine.id, this._nowMs)
    }
  }
}

/** Returns what is wrong when the next machine may be lost, or an empty list. */
function play (size: number, list: readonly Replacement[]): string[] {
  const group = new Group(size)
  const problems: string[] = []
  group.runUntil(() => group.nowMs >= 3000)
  for (const { isPlanned, pick, successorAfterMs, pauseMs } of list) {
    if (successorAfterMs < 0) group.start()
    const beforeMs = group.nowMs
    group.runUntil(() => group.nowMs >= beforeMs - Math.min(0, successorAfterMs))
    const removed = group.remove(pick, isPlanned)
    const removedMs = group.nowMs
    group.runUntil(() => group.nowMs >= removedMs + Math.max(0, successorAfterMs))
    if (successorAfterMs >= 0) group.start()
    const startedMs = successorAfterMs < 0 ? removedMs + successorAfterMs : group.nowMs
    // A machine that gets SIGTERM counts until its process has ended; one that is just gone, for CatchUp from then on.
    const countsUntilMs = isPlanned ? startedMs + CATCH_UP_MS : Math.max(startedMs, removedMs) + CATCH_UP_MS
    group.runUntil(() => removed.endedMs <= group.nowMs && group.nowMs >= countsUntilMs + pauseMs)
    if (group.isMember(removed)) problems.push(`${removed.id} is still a voter at ${group.nowMs}`)
    if (group.spareVotes < (size - 1) / 2) problems.push(`${group.spareVotes} losses are tolerated at ${group.nowMs}`)
  }
  return problems
}

for (const size of [3, 5]) {
  test(`a group of ${size} tolerates its losses again when the next machine may be lost`, () => {
    fc.assert(fc.property(replacements, list => { expect(play(size, list)).toEqual([]) }), { seed: 3, numRuns: 1000 })
  })
}

for (const size of [3, 5]) {
  // A machine that is removed stops counting once its successor has run for CatchUp: the tolerated losses come on top.
  test(`a group of ${size} with two ready successors keeps a quorum when one voter more than it tolerates is lost`, () => {
    const removed = fc.array(fc.nat({ max: 6 }), { minLength: (size + 1) / 2, maxLength: (size + 1) / 2 })
    fc.assert(fc.property(removed, picks => {
      const group = new Group(size)
      group.runUntil(() => group.nowMs >= 3000)
      group.start()
      group.start()
      group.runUntil(() => group.nowMs >= 3000 + CATCH_UP_MS)
      picks.forEach(pick => group.remove(pick, false))
      expect(group.spareVotes).toBe(0)
      group.runUntil(() => group.nowMs >= 3000 + 2 * CATCH_UP_MS)
      expect(group.spareVotes).toBe(1)
    }), { seed: 3, numRuns: 300 })
  })
}

for (const size of [3, 5]) {
  // A hung voter was replaced too late for the next loss, although a successor had been ready for longer than CatchUp.
  test(`a group of ${size} with a ready successor bears its losses again ${REPLACED_MS} ms after a voter was lost`, () => {
    const lossCount = (size + 1) / 2
    const lost = fc.array(fc.nat({ max: 6 }), { minLength: lossCount, maxLength: lossCount })
    fc.assert(fc.property(lost, fc.nat({ max: 30 }), ([first, ...others], pause) => {
      const group = new Group(size)
      group.runUntil(() => group.nowMs >= 3000)
      group.start()
      group.runUntil(() => group.nowMs >= 3000 + CATCH_UP_MS)
      const removed = group.remove(first!, false)
      const lostMs = group.nowMs
      group.runUntil(() => group.nowMs >= lostMs + REPLACED_MS + pause * TICK_MS)
      expect(group.isMember(removed)).toBe(false)
      others.forEach(pick => group.remove(pick, false))
      expect(group.spareVotes).toBe(0)
    }), { seed: 3, numRuns: 300 })
  })
}
