import { applyContent, findProblem, type ModelState, ROOT_STATE } from './ConfigurationModel.js'
import type { OrderOutcome } from './OrderOutcomes.js'

/** Largest number of states; orders without a clear answer multiply them, and the seeds have a few hundred. */
const MAX_STATES = 20_000

/** The states that may have been in force, given all answers to orders. */
export interface StateTree {
  /** Possible states, the root first, each after its parent. */
  readonly states: readonly ModelState[]
  /** Number of acknowledged orders that no single sequence of states holds; 0 when the answers agree. */
  readonly unexplained: number
}

/**
 * Builds the sequences of states that hold the most acknowledged orders and no refused one. An order without a clear
 * answer may be in force or not.
 */
export function buildStateTree (outcomes: readonly OrderOutcome[]): StateTree {
  const acknowledged = outcomes.filter(({ acknowledgedAtMs }) => acknowledgedAtMs !== undefined)
  const eligible = outcomes.filter(outcome => outcome.refusedAtMs === undefined || acknowledged.includes(outcome))
  const acknowledgedByBase = groupByBase(acknowledged)
  const eligibleByBase = groupByBase(eligible)
  const states: ModelState[] = [ROOT_STATE]
  const parents: number[] = [-1]
  const held: number[] = [0]
  for (let index = 0; index < states.length && states.length < MAX_STATES; index++) {
    const state = states[index] as ModelState
    const base = String(state.version)
    for (const { order, acknowledgedAtMs } of acknowledgedByBase.get(base) ?? eligibleByBase.get(base) ?? []) {
      // What was acknowledged is in force, also where it must not have been: later orders build on it.
      const mayFollow = BigInt(order.version) > state.version
      if (!mayFollow || (acknowledgedAtMs === undefined && findProblem(order, state) !== undefined)) continue
      const document = applyContent(order.content, state.document)
      states.push({ version: BigInt(order.version), order, parent: state, document })
      parents.push(index)
      held.push((held[index] as number) + Number(acknowledgedAtMs !== undefined))
    }
  }
  const best = [...held]
  for (let index = states.length - 1; index > 0; index--) {
    const parent = parents[index] as number
    best[parent] = Math.max(best[parent] as number, best[index] as number)
  }
  const most = best[0] as number
  return { states: states.filter((_, index) => best[index] === most), unexplained: acknowledged.length - most }
}

function groupByBase (outcomes: readonly OrderOutcome[]): Map<string, OrderOutcome[]> {
  const groups = new Map<string, OrderOutcome[]>()
  for (const outcome of outcomes) {
    const base = String(BigInt(outcome.order.base))
    groups.set(base, [...groups.get(base) ?? [], outcome])
  }
  return groups
}
