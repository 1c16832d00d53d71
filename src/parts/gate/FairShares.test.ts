import { expect, test } from 'vitest'
import {
  CAPACITY_PER_S, type LoadOutcome, type LoadPlan, type LoadWorkspace, OBJECTIVE_MS, playLoad
} from '../../../test/support/WorkspaceLoad.js'

const WORKSPACES = 86
const ZIPF_EXPONENT = 1.2
const HOT_FACTOR = 7
const MEASURED_MS = 60_000
const SEEDS = [1, 2, 3]
/** Usual traffic uses this share of a quota. */
const QUOTA_USE = 5 / 8
/** Workspaces that should get fewer answers than this in the measured time are judged together. */
const MIN_ANSWERS = 10
const ROUTES = [{ share: 1, priority: 1, workMs: 100 }]
/** The largest workspace, with more than a quarter of the usual traffic, and one with a fiftieth. */
const LARGEST = 0
const MIDDLE = 9

/** Changes of a load from its default: one gate, one node, no quotas, callers that do not repeat. */
interface LoadChanges extends Partial<LoadPlan> {
  readonly hot?: number
  readonly hasQuotas?: boolean
  readonly change?: (workspace: LoadWorkspace, index: number) => LoadWorkspace
}

/** Builds a load whose requests, those of the hot workspace included, are a multiple of what the gates serve. */
function makePlan (overload: number, changes: LoadChanges = {}): LoadPlan {
  const { hot, hasQuotas = false, change = workspace => workspace, gates = 1, ...rest } = changes
  const sizes = Array.from({ length: WORKSPACES }, (_, index) => (index + 1) ** -ZIPF_EXPONENT)
  const factor = (index: number): number => index === hot ? HOT_FACTOR : 1
  const total = sizes.reduce((sum, size, index) => sum + size * factor(index), 0)
  const workspaces = sizes.map((size, index) => {
    const usualPerS = overload * CAPACITY_PER_S * gates * size / total
    return change({
      name: `w${index}`,
      perS: usualPerS * factor(index),
      usualPerS,
      repeats: 'never',
      workspacePriority: 0,
      quotaPerS: hasQuotas ? usualPerS / QUOTA_USE : undefined
    }, index)
  })
  return {
    seed: 1,
    gates,
    nodes: 1,
    workspaces,
    order: 'shares',
    warmUpMs: 60_000,
    measuredMs: MEASURED_MS,
    routes: ROUTES,
    ...rest
  }
}

function sumOf (outcomes: readonly LoadOutcome[], read: (outcome: LoadOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + read(outcome), 0)
}

/** Share of the requests that were answered. */
function answeredShare (outcomes: readonly LoadOutcome[]): number {
  return sumOf(outcomes, ({ answered }) => answered) / sumOf(outcomes, ({ requests }) => requests)
}

function without (outcomes: readonly LoadOutcome[], index: number): LoadOutcome[] {
  return outcomes.filter((_, other) => other !== index)
}

/** Least share that is answered, over the workspaces with enough requests and all others together. */
function leastAnsweredShare (outcomes: readonly LoadOutcome[]): number {
  const minRequests = MIN_ANSWERS / answeredShare(outcomes)
  const large = outcomes.filter(({ requests }) => requests >= minRequests)
  const small = outcomes.filter(({ requests }) => requests < minRequests)
  const shares = large.map(outcome => answeredShare([outcome]))
  return Math.min(...shares, ...(small.length === 0 ? [] : [answeredShare(small)]))
}

/** Share of the refusals that were told only after an eighth of the objective. */
function lateRefusalShare (outcomes: readonly LoadOutcome[]): number {
  const waits = outcomes.flatMap(({ refusedAfterMs }) => refusedAfterMs)
  return waits.filter(ms => ms > OBJECTIVE_MS / 8).length / waits.length
}

/** The same load while the hot workspace sends what it usually does. */
function calmDown (plan: LoadPlan): LoadPlan {
  return { ...plan, workspaces: plan.workspaces.map(workspace => ({ ...workspace, perS: workspace.usualPerS })) }
}

function expectFairShares (plan: LoadPlan, hot: number): void {
  const outcomes = playLoad(plan)
  const all = answeredShare(outcomes)
  const others = without(outcomes, hot)
  expect(answeredShare(others)).toBeGreaterThan(0.9 * answeredShare(without(playLoad(calmDown(plan)), hot)))
  expect(leastAnsweredShare(others)).toBeGreaterThan(all / 4)
  // Of its usual requests, the hot workspace still gets its part.
  expect(HOT_FACTOR * answeredShare([outcomes[hot]!])).toBeGreaterThan(all / 4)
  const answered = sumOf(outcomes, ({ answered }) => answered)
  expect(answered).toBeGreaterThan(0.9 * plan.gates * CAPACITY_PER_S * MEASURED_MS / 1000)
  expect(lateRefusalShare(outcomes)).toBeLessThan(0.25)
}

// Guards against a customer whose surge is paid for by all others, and against one that is starved.
for (const hasQuotas of [false, true]) {
  for (const overload of [1.3, 2]) {
    const load = `${overload} times the capacity, ${hasQuotas ? 'with' : 'without'} quotas`
    test(`a hot workspace takes only what the others leave, at ${load}`, () => {
      for (const hot of [LARGEST, MIDDLE]) expectFairShares(makePlan(overload, { hot, hasQuotas }), hot)
    })
  }
}

// Each node sees a part of the requests only, and each gate a part of the calls.
test('a hot workspace takes only what the others leave, with several gates and nodes', () => {
  for (const overload of [1.3, 2]) expectFairShares(makePlan(overload, { hot: LARGEST, gates: 4, nodes: 4 }), LARGEST)
})

// Without this, the tests above could pass because the load does no harm.
test('in the order without workspaces, the others pay for a hot workspace', () => {
  for (const overload of [1.3, 2]) {
    const plan = makePlan(overload, { hot: LARGEST, order: 'today' })
    const calmShare = answeredShare(without(playLoad(calmDown(plan)), LARGEST))
    expect(answeredShare(without(playLoad(plan), LARGEST))).toBeLessThan(0.9 * calmShare)
  }
})

function ofPriorityZero (workspaces: readonly LoadWorkspace[]): LoadWorkspace[] {
  return workspaces.filter(({ workspacePriority }) => workspacePriority === 0)
}

/** Workspaces of all sizes whose callers repeat at once. */
const EAGER = new Set([1, 3, 6, 10, 15, 25, 40])

/** Returns what the workspaces in `EAGER` get from their repeating at once, as a factor. */
function gainOfRepeats (overload: number, changes: LoadChanges): number {
  const share = (repeats: LoadWorkspace['repeats']): number => {
    const change = (workspace: LoadWorkspace, index: number): LoadWorkspace => {
      // The usual traffic fits the capacity.
      const usualPerS = workspace.perS * 0.8 / overload
      return { ...workspace, usualPerS, repeats: EAGER.has(index) ? repeats : 'patient' }
    }
    return answeredShare(playLoad(makePlan(overload, { ...changes, change })).filter((_, index) => EAGER.has(index)))
  }
  return share('eager') / share('patient')
}

// Callers that ignore Retry-After would otherwise be served at the expense of those that heed it.
test('callers that repeat at once and often gain nothing', () => {
  for (const overload of [1.3, 2]) {
    for (const hasQuotas of [false, true]) expect(gainOfRepeats(overload, { hasQuotas })).toBeLessThan(1.02)
  }
  expect(gainOfRepeats(2, { order: 'today' })).toBeGreaterThan(1.02)
})

// A less urgent workspace must not cost a more urgent one its answers; within a priority, shares decide as before.
test('more urgent workspaces are served as if they were alone, and those of one priority alike', () => {
  for (const hasQuotas of [false, true]) {
    for (const overload of [1.3, 2]) {
      const change = (workspace: LoadWorkspace, index: number): LoadWorkspace => {
        return { ...workspace, workspacePriority: index % 3 }
      }
      const plan = makePlan(overload, { change, hasQuotas })
      const ofPriority = (outcomes: readonly LoadOutcome[], priority: number): LoadOutcome[] => {
        return outcomes.filter((_, index) => index % 3 === priority)
      }
      const outcomes = playLoad(plan)
      const [first, second, third] = [0, 1, 2].map(priority => ofPriority(outcomes, priority))
      const alone = playLoad({ ...plan, workspaces: ofPriorityZero(plan.workspaces) })
      expect(answeredShare(first!)).toBeGreaterThan(0.95 * answeredShare(alone))
      expect(answeredShare(second!)).toBeGreaterThan(answeredShare(third!))
      // The third priority gets nearly nothing at twice the capacity.
      for (const alike of [first!, second!]) expect(leastAnsweredShare(alike)).toBeGreaterThan(answeredShare(alike) / 4)
    }
  }
})

// Requests of one route take longer than the others, so the estimates of the gate for the rest must not suffer.
test('a burst of one kind of request by one workspace leaves the others their answers', () => {
  const routes = [{ share: 0.8, priority: 1, workMs: 90 }, { share: 0.2, priority: 1, workMs: 140 }]
  const change = (workspace: LoadWorkspace): LoadWorkspace => ({ ...workspace, surgeRoute: 1 })
  const plan = makePlan(1.3, { hot: LARGEST, change, routes })
  const others = without(playLoad(plan), LARGEST)
  expect(answeredShare(others)).toBeGreaterThan(0.9 * answeredShare(without(playLoad(calmDown(plan)), LARGEST)))
  expect(leastAnsweredShare(others)).toBeGreaterThan(answeredShare(others) / 4)
})

/** Share of the requests of several loads that are refused. */
function refusedShare (load: number, changes: LoadChanges): number {
  return 1 - answeredShare(SEEDS.flatMap(seed => playLoad(makePlan(load, { seed, ...changes }))))
}

// Ordering calls by chance differences between usual loads makes the last ones miss their objective.
test('while the load can be served, shares cost no answers', () => {
  for (const hasQuotas of [false, true]) {
    expect(refusedShare(0.8, { hasQuotas })).toBeLessThan(0.002)
    expect(refusedShare(0.95, { hasQuotas })).toBeLessThan(refusedShare(0.95, { order: 'today' }) + 0.03)
  }
})

// There is no queue at a request limit, so a hot workspace would take whatever becomes available.
test('at the request limits of instances, a hot workspace leaves requests to the others', () => {
  for (const overload of [1.3, 2]) {
    const requestLimitPerS = CAPACITY_PER_S / 3
    const plan = makePlan(overload / 3, { hot: LARGEST, hasQuotas: true, requestLimitPerS })
    const calmShare = answeredShare(without(playLoad(calmDown(plan)), LARGEST))
    const outcomes = playLoad(plan)
    expect(answeredShare(without(outcomes, LARGEST))).toBeGreaterThan(0.9 * calmShare)
    expect(sumOf(outcomes, ({ answered }) => answered)).toBeGreaterThan(0.9 * requestLimitPerS * MEASURED_MS / 1000)
    expect(answeredShare(without(playLoad({ ...plan, order: 'today' }), LARGEST))).toBeLessThan(0.9 * calmShare)
  }
})
