import { InstanceGate } from '../../src/parts/gate/InstanceGate.js'
import type { GateAction, GateCall } from '../../src/parts/gate/Types.js'

let lastId = 0

/** Builds a call that a gate may keep. */
export function makeCall (changes: Partial<GateCall> = {}): GateCall {
  return {
    id: ++lastId,
    work: 'route',
    nested: false,
    requestRank: 0.5,
    priority: 1,
    objectiveAtMs: 300,
    deadlineAtMs: 1000,
    moveMs: undefined,
    isHedge: false,
    ...changes
  }
}

/** Makes a gate of an instance with so many slots. */
export function makeGate (slots: number): InstanceGate {
  const gate = new InstanceGate()
  gate.step({ type: 'slots', slots }, 0)
  return gate
}

/** Types of actions, in their order. */
export function actionTypes (actions: readonly GateAction[]): string[] {
  return actions.map(action => action.type)
}

/** Offers so many calls to a gate. */
export function fill (gate: InstanceGate, count: number): GateCall[] {
  return Array.from({ length: count }, () => {
    const call = makeCall()
    gate.step({ type: 'offer', call }, 0)
    return call
  })
}

/** Ids of the calls that are started. */
export function startedIds (actions: readonly GateAction[]): number[] {
  return actions.flatMap(action => action.type === 'start' ? [action.call.id] : [])
}
