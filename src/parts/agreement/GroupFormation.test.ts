import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { type FormationNotice, GroupFormation, makeReplicaId, replicaName } from './GroupFormation.js'
import { Replica } from './Replica.js'
import type { LogEntry } from './Types.js'

const SEED = 5
const NAMES = ['c1', 'c2', 'c3']
const QUORUM = 2

type Step =
  /** Told and delivered at once. */
  | { readonly op: 'notify', readonly from: number, readonly to: number }
  /** Told, and delivered at some later time. */
  | { readonly op: 'notifyLater', readonly from: number, readonly to: number }
  | { readonly op: 'deliver', readonly pick: number }
  | { readonly op: 'wipe', readonly slot: number }

const slot = fc.nat({ max: 2 })
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ op: fc.constant('notify' as const), from: slot, to: slot }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('notifyLater' as const), from: slot, to: slot }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('wipe' as const), slot }) }
), { minLength: 10, maxLength: 80, size: 'max' })

/** Forms a group as soon as all others have told that they belong to none, whatever they have heard themselves. */
class UnconfirmedFormation extends GroupFormation {
  private readonly _notices = new Map<string, FormationNotice>()

  public constructor (private readonly _self: string, names: readonly string[]) {
    super(_self, names)
  }

  public override receive (notice: FormationNotice): readonly string[] | undefined {
    if (notice.members.includes(this._self)) return notice.members
    this._notices.set(replicaName(notice.replica), notice)
    const others = [...this._notices.values()]
    const allFree = others.length === NAMES.length - 1 && others.every(({ members }) => members.length === 0)
    return allFree ? [this._self, ...others.map(({ replica }) => replica)].sort() : undefined
  }
}

interface TestReplica {
  readonly id: string
  readonly formation: GroupFormation
  members: readonly string[]
}

function receiveNotice (replica: TestReplica, notice: FormationNotice): void {
  if (replica.members.length === 0) replica.members = replica.formation.receive(notice, 0) ?? []
}

function makeNotice ({ id, members, formation }: TestReplica): FormationNotice {
  return { replica: id, members, heard: formation.proposedGroup(0) }
}

/** Lists of members that at some time had a quorum of live replicas. */
function groupsFormed (list: readonly Step[], Formation: typeof GroupFormation): Set<string> {
  const build = (name: string, generation: number): TestReplica => {
    const id = makeReplicaId(name, String(generation))
    return { id, formation: new Formation(id, NAMES), members: [] }
  }
  const replicas = NAMES.map(name => build(name, 0))
  const formed = new Set<string>()
  let inFlight: Array<{ readonly to: number, readonly notice: FormationNotice }> = []
  let generations = 0
  let lossesAfterForming = 0
  for (const step of list) {
    if (step.op === 'notify') {
      if (step.from !== step.to) receiveNotice(replicas[step.to]!, makeNotice(replicas[step.from]!))
    } else if (step.op === 'notifyLater') {
      if (step.from !== step.to) inFlight.push({ to: step.to, notice: makeNotice(replicas[step.from]!) })
    } else if (step.op === 'deliver') {
      const [sent] = inFlight.splice(step.pick % Math.max(1, inFlight.length), 1)
      if (sent !== undefined) receiveNotice(replicas[sent.to]!, sent.notice)
    } else if (formed.size === 0 || ++lossesAfterForming < QUORUM) {
      replicas[step.slot] = build(NAMES[step.slot]!, ++generations)
      // What was on its way to the process that is gone does not reach the next one.
      inFlight = inFlight.filter(({ to }) => to !== step.slot)
    }
    const lists = replicas.map(({ members }) => members.join())
    lists.filter(text => text !== '' && lists.filter(other => other === text).length >= QUORUM)
      .forEach(text => formed.add(text))
  }
  return formed
}

function atMostOneGroup (Formation: typeof GroupFormation): fc.IProperty<[Step[]]> {
  return fc.property(steps, list => { expect(groupsFormed(list, Formation).size).toBeLessThanOrEqual(1) })
}

test('disks lost while forming never lead to two groups', () => {
  fc.assert(atMostOneGroup(GroupFormation), { seed: SEED, numRuns: 6000 })
})

test('replicas that hear each other form a group', () => {
  const round = [0, 1, 2].flatMap(from => [0, 1, 2].map((to): Step => ({ op: 'notify', from, to })))
  expect([...groupsFormed([...round, ...round, ...round], GroupFormation)]).toEqual(['c1~0,c2~0,c3~0'])
})

test('found: old notices taken for agreement', () => {
  expect(
    fc.check(atMostOneGroup(UnconfirmedFormation), { seed: SEED, numRuns: 6000, endOnFailure: true }).failed
  ).toBe(true)
})

test('a replica that took entries before the notice joins the group', () => {
  const empty = { index: 0, term: 0, members: [], data: new Uint8Array(0) }
  const recovered = { hard: { term: 0, votedFor: undefined }, snapshot: empty, entries: [] }
  const replica = new Replica({ id: 'c', random: new SeededRandom(1), recovered })
  const append = (prevIndex: number, commit: number, entries: readonly LogEntry[]) => ({
    type: 'append', term: 1, prevIndex, prevTerm: prevIndex === 0 ? 0 : 1, entries, commit, round: 1, sentAtMs: 1
  }) as const
  const first = { index: 1, term: 1, kind: 'empty', data: new Uint8Array(0) } as const
  const actions = replica.step({ type: 'message', from: 'a', message: append(0, 0, [first]) }, 1)
  const persist = actions.find(action => action.type === 'persist')
  if (persist?.type === 'persist') replica.step({ type: 'persisted', sequence: persist.sequence }, 2)
  replica.step({ type: 'form', members: ['a', 'b', 'c'] }, 3)
  expect(replica.view).toMatchObject({ role: 'follower', members: ['a', 'b', 'c'] })
  const later = replica.step({ type: 'message', from: 'a', message: append(1, 1, []) }, 4)
  expect(later.some(action => action.type === 'commit' && action.entry.index === 1)).toBe(true)
})
