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
  /** Sends a notice that is delivered at once. */
  | { readonly op: 'notify', readonly from: number, readonly to: number }
  /** Sends a notice that is delivered later or never. */
  | { readonly op: 'notifyLater', readonly from: number, readonly to: number }
  | { readonly op: 'deliver', readonly pick: number }
  /** Starts the replica again with an empty disk; with `bootstrap` as at the first start of the whole system. */
  | { readonly op: 'wipe', readonly slot: number, readonly bootstrap: boolean }
  /** Starts the replica again with its disk. */
  | { readonly op: 'restart', readonly slot: number }

const slot = fc.nat({ max: 2 })
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ op: fc.constant('notify' as const), from: slot, to: slot }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('notifyLater' as const), from: slot, to: slot }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('wipe' as const), slot, bootstrap: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('restart' as const), slot }) }
), { minLength: 10, maxLength: 80, size: 'max' })

/** Faulty: forms a group once all others have announced that they belong to none, whatever group they would form. */
class UnconfirmedFormation extends GroupFormation {
  private readonly _notices = new Map<string, FormationNotice>()

  public constructor (private readonly _self: string, names: readonly string[], isReplacement: boolean) {
    super(_self, names, isReplacement)
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
  readonly isReplacement: boolean
  formation: GroupFormation
  members: readonly string[]
}

function receiveNotice (replica: TestReplica, notice: FormationNotice): void {
  if (replica.members.length === 0) replica.members = replica.formation.receive(notice, 0) ?? []
}

function makeNotice ({ members, formation }: TestReplica): FormationNotice {
  return formation.makeNotice(members, 0)
}

/** Returns the member lists that a quorum of live replicas shared at some time. */
function groupsFormed (list: readonly Step[], Formation: typeof GroupFormation): Set<string> {
  const build = (name: string, generation: number, isReplacement: boolean): TestReplica => {
    const id = makeReplicaId(name, String(generation))
    return { id, isReplacement, formation: new Formation(id, NAMES, isReplacement), members: [] }
  }
  const replicas = NAMES.map(name => build(name, 0, false))
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
    } else if (step.op === 'restart') {
      const replica = replicas[step.slot]!
      replica.formation = new Formation(replica.id, NAMES, replica.isReplacement)
      inFlight = inFlight.filter(({ to }) => to !== step.slot)
    } else if (formed.size === 0 || ++lossesAfterForming < QUORUM) {
      replicas[step.slot] = build(NAMES[step.slot]!, ++generations, !step.bootstrap)
      // Notices in flight to the old process do not reach its successor.
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

// Outdated notices could let replicas with new disks form a second group beside the first.
test('disks lost during formation never lead to two groups', () => {
  fc.assert(atMostOneGroup(GroupFormation), { seed: SEED, numRuns: 6000 })
})

test('replicas that receive notices from each other form a group', () => {
  const round = [0, 1, 2].flatMap(from => [0, 1, 2].map((to): Step => ({ op: 'notify', from, to })))
  expect([...groupsFormed([...round, ...round, ...round], GroupFormation)]).toEqual(['c1~0,c2~0,c3~0'])
})

function startWith (lost: number): Step[] {
  return [0, 1, 2].slice(0, lost).map((slot): Step => ({ op: 'wipe', slot, bootstrap: false }))
}

// Without it the others would wait for this seed for good.
test('a seed whose disk is lost before the group forms takes part as a replacement', () => {
  const round = [0, 1, 2].flatMap(from => [0, 1, 2].map((to): Step => ({ op: 'notify', from, to })))
  const group = groupsFormed([...startWith(1), ...round, ...round, ...round], GroupFormation)
  expect([...group]).toEqual(['c1~1,c2~0,c3~0'])
})

// Replicas that were added to a group later may be named as each other's seeds; they must not form a second group.
test('replacements that are the majority form no group', () => {
  const round = [0, 1, 2].flatMap(from => [0, 1, 2].map((to): Step => ({ op: 'notify', from, to })))
  for (const lost of [2, 3]) {
    expect([...groupsFormed([...startWith(lost), ...round, ...round, ...round], GroupFormation)]).toEqual([])
  }
})

test('detects outdated notices that count as agreement', () => {
  expect(
    fc.check(atMostOneGroup(UnconfirmedFormation), { seed: SEED, numRuns: 6000, endOnFailure: true }).failed
  ).toBe(true)
})

// The other members may elect a leader first, whose entries then arrive before the replica knows the group.
test('a replica that received entries before the form event joins the group', () => {
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
