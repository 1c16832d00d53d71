import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { OutlierDetector } from '../detection/OutlierDetector.js'
import { SeededRandom } from '../SeededRandom.js'
import type { InstanceId, LoadEvidence, Part } from '../Types.js'
import { SUBSET_SIZE } from './Constants.js'
import { SubsetSelector } from './SubsetSelector.js'
import type { AttemptOutcome, Candidate, CandidateState, ChoiceAction, ChoiceEvent } from './Types.js'
import { UpstreamChooser } from './UpstreamChooser.js'

type Chooser = Part<ChoiceEvent, ChoiceAction>

const PLACE = { region: 'kyushu', zone: 'fukuoka' }
const OTHER_PLACE = { region: 'kyushu', zone: 'kumamoto' }
const INSTANCE_COUNT = 5

type Command =
  | { readonly act: 'members', readonly states: ReadonlyArray<CandidateState | 'absent'> }
  | { readonly act: 'choose', readonly excluded: readonly number[] }
  | { readonly act: 'answer', readonly pick: number, readonly outcome: AttemptOutcome, readonly evidence?: LoadEvidence }
  | { readonly act: 'linkDown' | 'linkUp', readonly pick: number }
  | { readonly act: 'wait', readonly ms: number }

const evidence = fc.record<LoadEvidence>({
  inFlight: fc.nat(50), queued: fc.nat(50), limit: fc.nat(9), serviceMs: fc.double({ min: 0, max: 1000, noNaN: true })
})

const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ act: fc.constant('members' as const), states: fc.array(fc.constantFrom<CandidateState | 'absent'>('serving', 'serving', 'serving', 'draining', 'starting', 'absent'), { minLength: INSTANCE_COUNT, maxLength: INSTANCE_COUNT }) }) },
  { weight: 8, arbitrary: fc.record({ act: fc.constant('choose' as const), excluded: fc.uniqueArray(fc.nat(INSTANCE_COUNT - 1), { maxLength: 3 }) }) },
  { weight: 6, arbitrary: fc.record({ act: fc.constant('answer' as const), pick: fc.nat(99), outcome: fc.constantFrom<AttemptOutcome>('ok', 'ok', 'error', 'refused', 'unreachable', 'cancelled'), evidence }) },
  { weight: 1, arbitrary: fc.record({ act: fc.constantFrom('linkDown' as const, 'linkUp' as const), pick: fc.nat(INSTANCE_COUNT - 1) }) },
  { weight: 3, arbitrary: fc.record({ act: fc.constant('wait' as const), ms: fc.double({ min: 0, max: 2000, noNaN: true }) }) }
)

function instanceId (index: number): InstanceId {
  return `dies/${index}`
}

function makeCandidate (index: number, state: CandidateState): Candidate {
  return { instance: instanceId(index), place: index % 2 === 0 ? PLACE : OTHER_PLACE, state, slots: 6 }
}

/** Hosts a chooser as an ingress node does, and checks every choice. */
class Host {
  private readonly _serving = new Set<InstanceId>()
  private readonly _withLinkDown = new Set<InstanceId>()
  private readonly _openCalls: Array<{ call: number, instance: InstanceId, sentMs: number }> = []
  private _nowMs = 0
  private _calls = 0

  public constructor (private readonly _chooser: Chooser) {}

  public run (command: Command): void {
    if (command.act === 'members') {
      this._members(command.states)
    } else if (command.act === 'choose') {
      this._choose(command.excluded.map(instanceId))
    } else if (command.act === 'answer') {
      this._answer(command.pick, command.outcome, command.evidence)
    } else if (command.act === 'wait') {
      this._nowMs += command.ms
      this._chooser.step({ type: 'tick' }, this._nowMs)
    } else {
      this._link(command.act, instanceId(command.pick))
    }
  }

  private _members (states: ReadonlyArray<CandidateState | 'absent'>): void {
    const candidates = states.flatMap((state, index) => state === 'absent' ? [] : [makeCandidate(index, state)])
    this._serving.clear()
    for (const candidate of candidates) {
      if (candidate.state === 'serving') {
        this._serving.add(candidate.instance)
      }
    }
    this._forgetRemovedLinks(candidates)
    this._chooser.step({ type: 'members', candidates }, this._nowMs)
  }

  /** An instance that left and joins again has a new link, which is up until the host reports that it is down. */
  private _forgetRemovedLinks (candidates: readonly Candidate[]): void {
    const known = new Set(candidates.filter(each => each.state !== 'starting').map(each => each.instance))
    for (const instance of this._withLinkDown) {
      if (!known.has(instance)) {
        this._withLinkDown.delete(instance)
      }
    }
  }

  private _choose (excluded: readonly InstanceId[]): void {
    const call = ++this._calls
    const actions = this._chooser.step({ type: 'choose', call, excluded }, this._nowMs)
    expect(actions).toHaveLength(1)
    const eligible = [...this._serving].filter(name => !this._withLinkDown.has(name) && !excluded.includes(name))
    const action = actions[0]
    if (eligible.length === 0) {
      expect(action).toMatchObject({ type: 'noneAvailable', call })
      return
    }
    expect(action).toMatchObject({ type: 'chosen', call })
    if (action?.type === 'chosen') {
      expect(eligible).toContain(action.instance)
      this._openCalls.push({ call, instance: action.instance, sentMs: this._nowMs })
    }
  }

  private _answer (pick: number, outcome: AttemptOutcome, evidence?: LoadEvidence): void {
    const [sent] = this._openCalls.splice(pick % Math.max(1, this._openCalls.length), 1)
    if (sent === undefined) {
      return
    }
    const latencyMs = this._nowMs - sent.sentMs
    const event = { type: 'answered', call: sent.call, instance: sent.instance, outcome, latencyMs } as const
    this._chooser.step(evidence === undefined ? event : { ...event, evidence }, this._nowMs)
  }

  private _link (act: 'linkDown' | 'linkUp', instance: InstanceId): void {
    // A link belongs to a member; the chooser discards the links of instances that left.
    if (this._serving.has(instance)) {
      this._chooser.step({ type: act, instance }, this._nowMs)
      if (act === 'linkDown') {
        this._withLinkDown.add(instance)
      } else {
        this._withLinkDown.delete(instance)
      }
    }
  }
}

function checkChoices (make: () => Chooser): fc.RunDetails<[Command[]]> {
  return fc.check(fc.property(fc.array(command, { maxLength: 120, size: 'max' }), commands => {
    const host = new Host(make())
    host.run({ act: 'members', states: Array.from({ length: INSTANCE_COUNT }, () => 'serving' as const) })
    commands.forEach(each => host.run(each))
  }), { seed: 20_263, numRuns: 400 })
}

test('each choice gives one action at once, for an instance that serves, is linked and is not excluded', () => {
  const result = checkChoices(() => new UpstreamChooser(PLACE, new SeededRandom(1)))
  expect(result.counterexample).toBeNull()
})

/** Makes a chooser whose events are altered before it receives them. */
function withAlteredEvents (change: (event: ChoiceEvent) => ChoiceEvent): () => Chooser {
  return () => {
    const chooser = new UpstreamChooser(PLACE, new SeededRandom(1))
    return { step: (event, nowMs) => chooser.step(change(event), nowMs) }
  }
}

test('the property detects choosers that ignore draining, exclusion or lost links', () => {
  const serving = (candidate: Candidate): Candidate => ({ ...candidate, state: 'serving' })
  const faults = [
    withAlteredEvents(event => event.type === 'members' ? { ...event, candidates: event.candidates.map(serving) } : event),
    withAlteredEvents(event => event.type === 'choose' ? { ...event, excluded: [] } : event),
    withAlteredEvents(event => event.type === 'linkDown' ? { type: 'tick' } : event)
  ]
  expect(faults.map(fault => checkChoices(fault).failed)).toEqual([true, true, true])
})

test('instance records are bounded by the subset size', () => {
  const chooser = new UpstreamChooser(PLACE, new SeededRandom(5))
  const loads = Reflect.get(chooser, '_byInstance') as Map<InstanceId, unknown>
  for (let generation = 0; generation < 30; generation++) {
    const candidates = Array.from({ length: 500 }, (_none, index) => makeCandidate(generation * 500 + index, 'serving'))
    chooser.step({ type: 'members', candidates }, generation)
    for (let call = 0; call < 50; call++) {
      chooser.step({ type: 'choose', call, excluded: [] }, generation)
    }
    expect(loads.size).toBe(SUBSET_SIZE)
  }
})

// Nodes that all trust the same old report would overload the one instance that it shows as idle.
test('old load evidence does not send many nodes to the same instance', () => {
  const candidates = Array.from({ length: 6 }, (_none, index) => ({ ...makeCandidate(index, 'serving'), place: PLACE }))
  const countIdlePicks = (atMs: number): number => Array.from({ length: 300 }, (_none, seed) => {
    const chooser = new UpstreamChooser(PLACE, new SeededRandom(seed))
    chooser.step({ type: 'members', candidates }, 0)
    candidates.forEach(({ instance }, index) => {
      const load = { inFlight: index === 0 ? 0 : 6, queued: index === 0 ? 0 : 3, limit: 6, serviceMs: 5 }
      chooser.step({ type: 'evidence', instance, evidence: load }, 0)
    })
    const action = chooser.step({ type: 'choose', call: 1, excluded: [] }, atMs)[0]
    return action?.type === 'chosen' && action.instance === instanceId(0) ? 1 as number : 0
  }).reduce((sum, one) => sum + one, 0)
  // New evidence decides; at an age of ten service times the idle instance gets at most twice its sixth of the choices.
  expect(countIdlePicks(0)).toBe(300)
  expect(countIdlePicks(50)).toBeLessThanOrEqual(100)
})

test('subsets cover every instance and change little when one leaves', () => {
  const candidates = Array.from({ length: 200 }, (_none, index) => makeCandidate(index, 'serving'))
  const subsetsByInstance = new Map<InstanceId, number>()
  let replacedMembers = 0
  for (let salt = 0; salt < 400; salt++) {
    const size = { minSize: SUBSET_SIZE, elsewhereShare: 0.375, ingressNodes: 400 }
    const selector = new SubsetSelector(PLACE, salt * 7919, size)
    const before = selector.select(candidates)
    const after = new Set(selector.select(candidates.slice(1)))
    replacedMembers += before.filter(candidate => !after.has(candidate)).length
    before.forEach(({ instance }) => subsetsByInstance.set(instance, (subsetsByInstance.get(instance) ?? 0) + 1))
  }
  expect(subsetsByInstance.size).toBe(200)
  // In each subset that had the instance that leaves, one other instance replaces it.
  expect(replacedMembers).toBe(subsetsByInstance.get(instanceId(0)))
})

// An instance with calls outstanding and no answer counts as silent, but a download answers only when it ends.
test('a long download does not eject its instance', () => {
  const healthAfter = (kind: 'download' | 'lookup'): string => {
    const chooser = new UpstreamChooser(PLACE, new SeededRandom(3))
    chooser.step({ type: 'members', candidates: [makeCandidate(0, 'serving'), makeCandidate(2, 'serving')] }, 0)
    chooser.step({ type: 'choose', call: 1, excluded: [instanceId(2)], kind }, 0)
    chooser.step({ type: 'tick' }, 60_000)
    return (Reflect.get(chooser, '_detector') as OutlierDetector).health(instanceId(0), 60_000)
  }
  expect(healthAfter('download')).toBe('healthy')
  // As a lookup, the same call ejects it.
  expect(healthAfter('lookup')).toBe('silent')
})

// The node reports a limit of 0 while it drains or has no upstream, before its member entry changes.
test('an instance whose node allows no calls is skipped at once', () => {
  const chooser = new UpstreamChooser(PLACE, new SeededRandom(3))
  chooser.step({ type: 'members', candidates: [makeCandidate(0, 'serving'), makeCandidate(2, 'serving')] }, 0)
  const withoutSlots = { inFlight: 2, queued: 0, limit: 0, serviceMs: 5 }
  chooser.step({ type: 'evidence', instance: instanceId(0), evidence: withoutSlots }, 0)
  const actions = chooser.step({ type: 'choose', call: 1, excluded: [] }, 1)
  expect(actions).toEqual([{ type: 'chosen', call: 1, instance: instanceId(2) }])
})
