import { InstanceGate } from '../../src/parts/gate/InstanceGate.js'
import type { GateAction, GateCall } from '../../src/parts/gate/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { KeyTable } from '../../src/parts/workspaces/KeyTable.js'
import { WorkspaceCounts } from '../../src/parts/workspaces/WorkspaceCounts.js'
import { WorkspaceUsage } from '../../src/parts/workspaces/WorkspaceUsage.js'
import { computeKeyDigest } from '../../src/runtime/Digest.js'
import type { PartCase } from './Measure.js'

const SIZES = [100, 10_000, 100_000]

const SEED = 5

const ZIPF_EXPONENT = 1.2

/** Precomputed workspaces of requests; the cases repeat them. */
const DRAWS = 1 << 16

/** Slots of the instance and its run time in milliseconds; it is offered twice what it serves. */
const SLOTS = 6
const WORK_MS = 100
const CALL_GAP_MS = WORK_MS / SLOTS / 2

/** Time between two requests at a node with 1,000 requests a second. */
const REQUEST_GAP_MS = 1

/** Draws the workspaces of requests by Zipf's law. */
function drawIndexes (size: number): Uint32Array {
  const random = new SeededRandom(SEED)
  const cumulative = new Float64Array(size)
  let sum = 0
  for (let index = 0; index < size; index++) cumulative[index] = sum += (index + 1) ** -ZIPF_EXPONENT
  return Uint32Array.from({ length: DRAWS }, () => {
    const drawn = random.next() * sum
    let low = 0
    let high = size - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (cumulative[middle]! < drawn) low = middle + 1
      else high = middle
    }
    return low
  })
}

function makeNames (size: number): string[] {
  return Array.from({ length: size }, (_, index) => `workspace-${index}`)
}

function lookupCase (size: number): PartCase {
  return {
    part: 'KeyTable',
    decision: 'digest and find a key',
    size,
    build: () => {
      const names = makeNames(size)
      const table = new KeyTable(names.map(name => ({ name, keys: [computeKeyDigest(`key of ${name}`)] })))
      const draws = drawIndexes(size)
      return decision => table.find(computeKeyDigest(`key of workspace-${draws[decision % DRAWS]!}`))
    }
  }
}

function usageCase (size: number): PartCase {
  return {
    part: 'WorkspaceUsage',
    decision: 'take, and give back every second time',
    size,
    build: () => {
      const names = makeNames(size)
      const draws = drawIndexes(size)
      const usage = new WorkspaceUsage()
      return decision => {
        const name = names[draws[decision % DRAWS]!]!
        const nowMs = decision * REQUEST_GAP_MS
        usage.take(name, undefined, nowMs)
        if (decision % 2 === 0) usage.giveBack(name, nowMs, nowMs)
      }
    }
  }
}

function countsCase (size: number): PartCase {
  return {
    part: 'WorkspaceCounts',
    decision: 'count a request',
    size,
    build: () => {
      const names = makeNames(size)
      const draws = drawIndexes(size)
      const counts = new WorkspaceCounts()
      return decision => counts.countRequest(names[draws[decision % DRAWS]!]!, 0.5, decision * REQUEST_GAP_MS)
    }
  }
}

/** An arriving call and, every second time, the end of a run, at twice the capacity. */
function choiceCase (size: number): PartCase {
  return {
    part: 'InstanceGate',
    decision: 'offer by share used, and finish every second time, at twice the capacity',
    size,
    build: () => {
      const draws = drawIndexes(size)
      const gate = new InstanceGate()
      const running: number[] = []
      const record = (actions: readonly GateAction[]): void => {
        for (const action of actions) if (action.type === 'start') running.push(action.call.id)
      }
      gate.step({ type: 'slots', slots: SLOTS }, 0)
      return decision => {
        const nowMs = decision * CALL_GAP_MS
        record(gate.step({ type: 'offer', call: makeCall(decision, draws[decision % DRAWS]!, nowMs) }, nowMs))
        const ended = decision % 2 === 0 ? undefined : running.shift()
        if (ended !== undefined) record(gate.step({ type: 'finished', id: ended, workMs: WORK_MS }, nowMs))
      }
    }
  }
}

function makeCall (id: number, workspace: number, nowMs: number): GateCall {
  return {
    id,
    work: 'route',
    nested: false,
    requestRank: 0.5,
    priority: 1,
    workspacePriority: workspace % 3,
    shareUsed: (workspace % 9) / 8,
    objectiveAtMs: nowMs + 400,
    deadlineAtMs: nowMs + 1000,
    moveMs: undefined,
    isHedge: false
  }
}

/** Cases of the decisions for each request of a workspace; that of its quota belongs here too. */
export const WORKSPACE_CASES: readonly PartCase[] =
  [lookupCase, usageCase, countsCase, choiceCase].flatMap(makeCase => SIZES.map(makeCase))
