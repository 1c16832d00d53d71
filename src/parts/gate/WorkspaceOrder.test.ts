import { expect, test } from 'vitest'
import { MAX_QUEUED_CALLS } from './Constants.js'
import { InstanceGate } from './InstanceGate.js'
import type { GateAction, GateCall } from './Types.js'

let lastId = 0

function makeCall (changes: Partial<GateCall> = {}): GateCall {
  return {
    id: ++lastId,
    work: 'route',
    nested: false,
    requestRank: 0.5,
    priority: 1,
    objectiveAtMs: 2000,
    deadlineAtMs: 4000,
    moveMs: undefined,
    isHedge: false,
    ...changes
  }
}

/** Returns a gate whose slots are full and that is offered more than it serves. */
function makeContendedGate (slots: number): { gate: InstanceGate, running: GateCall[] } {
  const gate = new InstanceGate()
  gate.step({ type: 'slots', slots }, 0)
  const running = Array.from({ length: slots }, () => makeCall())
  running.forEach(call => gate.step({ type: 'offer', call }, 0))
  // Refused at once, since they can't meet their deadline.
  for (let i = 0; i < 20 * slots; i++) gate.step({ type: 'offer', call: makeCall({ deadlineAtMs: 10 }) }, 0)
  return { gate, running }
}

function offer (gate: InstanceGate, changes: Partial<GateCall>, nowMs = 0): { call: GateCall, actions: GateAction[] } {
  const call = makeCall(changes)
  return { call, actions: gate.step({ type: 'offer', call }, nowMs) }
}

/** Finishes the running call and each that starts then, and returns their ids in the order of their starts. */
function runAll (gate: InstanceGate, running: GateCall): number[] {
  const ids: number[] = []
  for (let next: GateCall | undefined = running; next !== undefined;) {
    const actions = gate.step({ type: 'finished', id: next.id, workMs: 50 }, 1)
    next = actions.flatMap(action => action.type === 'start' ? [action.call] : [])[0]
    if (next !== undefined) ids.push(next.id)
  }
  return ids
}

function declines (actions: readonly GateAction[]): Array<[number, string]> {
  return actions.flatMap(action => action.type === 'decline' ? [[action.call.id, action.reason] as [number, string]] : [])
}

test('calls start by the priority of their workspace, then of their route, then by the share used, then by age', () => {
  const { gate, running } = makeContendedGate(1)
  const inOrder = [
    { nested: true, workspacePriority: 9, shareUsed: 1 },
    { workspacePriority: 0, priority: 1, shareUsed: 0.25 },
    { workspacePriority: 0, priority: 1, shareUsed: 0.75 },
    { priority: 1, shareUsed: 0.75 },
    { workspacePriority: 0, priority: 2, shareUsed: 0 },
    { workspacePriority: 1, priority: 0, shareUsed: 0 },
    { workspacePriority: 1, priority: 0, shareUsed: 0.125 },
    { objectiveAtMs: -1, workspacePriority: 0, shareUsed: 0 }
  ].map(changes => makeCall(changes))
  // The third and fourth differ in age only.
  const offered = [7, 5, 2, 3, 0, 6, 4, 1].map(index => inOrder[index]!)
  for (const call of offered) expect(declines(gate.step({ type: 'offer', call }, 0))).toEqual([])
  expect(runAll(gate, running[0]!)).toEqual(inOrder.map(({ id }) => id))
})

test('a share that is not known counts as the usual one', () => {
  const { gate, running } = makeContendedGate(1)
  const shares = [{ shareUsed: 1 }, {}, { shareUsed: 0.625 }, { shareUsed: 0.5 }]
  const offered = shares.map(share => offer(gate, share).call.id)
  const [hot, unknown, usual, quiet] = offered
  expect(runAll(gate, running[0]!)).toEqual([quiet, unknown, usual, hot])
})

// Ordering by shares while everything can be served would only make some calls late.
test('shares do not count while calls do not compete for the instance', () => {
  const gate = new InstanceGate()
  gate.step({ type: 'slots', slots: 1 }, 0)
  const [running, hot, quiet] = [0.5, 1, 0].map(shareUsed => offer(gate, { shareUsed }).call)
  expect(runAll(gate, running!)).toEqual([hot!.id, quiet!.id])
})

test('a call that goes first displaces the last one at a request limit, which is told at once', () => {
  const { gate } = makeContendedGate(1)
  gate.step({ type: 'requestLimit', perS: 2 }, 0)
  const [first, last] = [0.5, 0.75].map(shareUsed => offer(gate, { shareUsed }, 1000).call) as [GateCall, GateCall]
  // What was offered before is forgotten by then.
  for (let i = 0; i < 20; i++) gate.step({ type: 'offer', call: makeCall({ deadlineAtMs: 1010 }) }, 1000)
  const late = offer(gate, { shareUsed: 1 }, 1000)
  expect(declines(late.actions)).toEqual([[late.call.id, 'rate-limited']])
  const { call, actions } = offer(gate, { shareUsed: 0.25 }, 1000)
  expect(declines(actions)).toEqual([[last.id, 'rate-limited']])
  const [decline] = actions
  expect(decline?.type === 'decline' && decline.retryAfterMs).toBeGreaterThan(0)
  gate.step({ type: 'cancelled', id: first.id }, 1001)
  expect(gate.load(1001).queued).toBe(1)
  expect(call.id).toBeGreaterThan(last.id)
})

test('a call that goes first displaces the last one of a full queue', () => {
  const { gate } = makeContendedGate(100)
  const far = { objectiveAtMs: 1e6, deadlineAtMs: 2e6 }
  const queued = Array.from({ length: MAX_QUEUED_CALLS }, () => offer(gate, { ...far, shareUsed: 0.75 }).call)
  expect(gate.load(0).queued).toBe(MAX_QUEUED_CALLS)
  const equal = offer(gate, { ...far, shareUsed: 0.75 })
  expect(declines(equal.actions)).toEqual([[equal.call.id, 'too-late']])
  expect(declines(offer(gate, { ...far, shareUsed: 0.5 }).actions)).toEqual([[queued.at(-1)!.id, 'displaced']])
})

// Such a call would otherwise wait in vain until it is late.
test('a call that can no longer start in time since others went first is declined at once', () => {
  const { gate } = makeContendedGate(1)
  const objective = { objectiveAtMs: 220, deadlineAtMs: 240 }
  const [, second, third] = [0.5, 0.75, 0.75].map(shareUsed => offer(gate, { ...objective, shareUsed }).call)
  expect(declines(offer(gate, { ...objective, shareUsed: 0.5 }).actions)).toEqual([[third!.id, 'displaced']])
  expect(declines(offer(gate, { ...objective, shareUsed: 0.25 }).actions)).toEqual([[second!.id, 'displaced']])
})

test('without workspaces, an arriving call displaces none', () => {
  const { gate } = makeContendedGate(1)
  gate.step({ type: 'requestLimit', perS: 1 }, 0)
  offer(gate, { priority: 3 }, 1000)
  const urgent = offer(gate, { priority: 0 }, 1000)
  expect(declines(urgent.actions)).toEqual([[urgent.call.id, 'rate-limited']])
})
