import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { type FormationNotice, GroupFormation, makeReplicaId, nameOf } from './GroupFormation.js'
import { Replica } from './Replica.js'
import type { LogEntry } from './Types.js'

const SEED = 5
const NAMES = ['c1', 'c2', 'c3']
const QUORUM = 2

type Step =
  /** Told and delivered at once. */
  | { readonly op: 'reach', readonly from: number, readonly to: number }
  /** Told, and delivered at some later time. */
  | { readonly op: 'tell', readonly from: number, readonly to: number }
  | { readonly op: 'deliver', readonly pick: number }
  | { readonly op: 'wipe', readonly slot: number }

const slot = fc.nat({ max: 2 })
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ op: fc.constant('reach' as const), from: slot, to: slot }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('tell' as const), from: slot, to: slot }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('wipe' as const), slot }) }
), { minLength: 10, maxLength: 80, size: 'max' })

/** Forms a group as soon as all others have told that they belong to none, whatever they have heard themselves. */
class Credulous extends GroupFormation {
  private readonly _notices = new Map<string, FormationNotice>()

  public constructor (private readonly _self: string, names: readonly string[]) {
    super(_self, names)
  }

  public override hear (notice: FormationNotice): readonly string[] | undefined {
    if (notice.members.includes(this._self)) return notice.members
    this._notices.set(nameOf(notice.replica), notice)
    const others = [...this._notices.values()]
    const free = others.length === NAMES.length - 1 && others.every(({ members }) => members.length === 0)
    return free ? [this._self, ...others.map(({ replica }) => replica)].sort() : undefined
  }
}

interface Station {
  readonly id: string
  readonly formation: GroupFormation
  members: readonly string[]
}

function take (station: Station, notice: FormationNotice): void {
  if (station.members.length === 0) station.members = station.formation.hear(notice, 0) ?? []
}

function noticeOf ({ id, members, formation }: Station): FormationNotice {
  return { replica: id, members, heard: formation.heard(0) }
}

/** Lists of members that at some time had a quorum of live replicas. */
function groupsFormed (list: readonly Step[], Formation: typeof GroupFormation): Set<string> {
  const build = (name: string, life: number): Station => {
    const id = makeReplicaId(name, String(life))
    return { id, formation: new Formation(id, NAMES), members: [] }
  }
  const stations = NAMES.map(name => build(name, 0))
  const formed = new Set<string>()
  let bag: Array<{ readonly to: number, readonly notice: FormationNotice }> = []
  let lives = 0
  let lossesAfter = 0
  for (const step of list) {
    if (step.op === 'reach') {
      if (step.from !== step.to) take(stations[step.to]!, noticeOf(stations[step.from]!))
    } else if (step.op === 'tell') {
      if (step.from !== step.to) bag.push({ to: step.to, notice: noticeOf(stations[step.from]!) })
    } else if (step.op === 'deliver') {
      const [sent] = bag.splice(step.pick % Math.max(1, bag.length), 1)
      if (sent !== undefined) take(stations[sent.to]!, sent.notice)
    } else if (formed.size === 0 || ++lossesAfter < QUORUM) {
      stations[step.slot] = build(NAMES[step.slot]!, ++lives)
      // What was on its way to the process that is gone does not reach the next one.
      bag = bag.filter(({ to }) => to !== step.slot)
    }
    const lists = stations.map(({ members }) => members.join())
    lists.filter(text => text !== '' && lists.filter(other => other === text).length >= QUORUM)
      .forEach(text => formed.add(text))
  }
  return formed
}

function oneGroup (Formation: typeof GroupFormation): fc.IProperty<[Step[]]> {
  return fc.property(steps, list => { expect(groupsFormed(list, Formation).size).toBeLessThanOrEqual(1) })
}

test('disks lost while forming never lead to two groups', () => {
  fc.assert(oneGroup(GroupFormation), { seed: SEED, numRuns: 6000 })
})

test('replicas that hear each other form a group', () => {
  const round = [0, 1, 2].flatMap(from => [0, 1, 2].map((to): Step => ({ op: 'reach', from, to })))
  expect([...groupsFormed([...round, ...round, ...round], GroupFormation)]).toEqual(['c1~0,c2~0,c3~0'])
})

test('found: old notices taken for agreement', () => {
  expect(fc.check(oneGroup(Credulous), { seed: SEED, numRuns: 6000, endOnFailure: true }).failed).toBe(true)
})

test('a replica that took entries before the notice joins the group', () => {
  const empty = { index: 0, term: 0, members: [], data: new Uint8Array(0) }
  const recovered = { hard: { term: 0, votedFor: undefined }, snapshot: empty, entries: [] }
  const replica = new Replica({ id: 'c', random: new SeededRandom(1), recovered })
  const append = (prevIndex: number, commit: number, entries: readonly LogEntry[]) => ({
    type: 'append', term: 1, prevIndex, prevTerm: prevIndex === 0 ? 0 : 1, entries, commit, round: 1, sentAtMs: 1
  }) as const
  const first = { index: 1, term: 1, kind: 'empty', data: new Uint8Array(0) } as const
  const heard = replica.step({ type: 'message', from: 'a', message: append(0, 0, [first]) }, 1)
  const persist = heard.find(action => action.type === 'persist')
  if (persist?.type === 'persist') replica.step({ type: 'persisted', sequence: persist.sequence }, 2)
  replica.step({ type: 'form', members: ['a', 'b', 'c'] }, 3)
  expect(replica.view).toMatchObject({ role: 'follower', members: ['a', 'b', 'c'] })
  const later = replica.step({ type: 'message', from: 'a', message: append(1, 1, []) }, 4)
  expect(later.some(action => action.type === 'commit' && action.entry.index === 1)).toBe(true)
})
