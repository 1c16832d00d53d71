import { MeasuringBudget } from '../../src/parts/budget/MeasuringBudget.js'
import type { Candidate } from '../../src/parts/choice/Types.js'
import { UpstreamChooser } from '../../src/parts/choice/UpstreamChooser.js'
import { RetryPolicy } from '../../src/parts/retry/RetryPolicy.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import type { PartCase } from './Measure.js'

const SEED = 5

const ZONES = 7

const REGIONS = 3

/** Virtual time between two calls. */
const CALL_GAP_MS = 0.05

const NO_EXCLUSIONS: readonly string[] = []

function candidates (count: number): Candidate[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: `dies/n${index}`,
    place: { region: `r${index % REGIONS}`, zone: `z${index % ZONES}` },
    state: 'serving',
    slots: 6
  }))
}

function chooserCase (size: number): PartCase {
  return {
    part: 'UpstreamChooser',
    decision: 'choose and answered',
    size,
    build: () => {
      const chooser = new UpstreamChooser({ region: 'r0', zone: 'z0' }, new SeededRandom(SEED))
      chooser.step({ type: 'members', candidates: candidates(size) }, 0)
      const evidence = { inFlight: 3, queued: 0, limit: 6, serviceMs: 5 }
      return call => {
        const nowMs = call * CALL_GAP_MS
        const chosen = chooser.step({ type: 'choose', call, excluded: NO_EXCLUSIONS }, nowMs)[0]
        if (chosen?.type === 'chosen') {
          const { instance } = chosen
          chooser.step({ type: 'answered', call, instance, outcome: 'ok', latencyMs: 6, evidence }, nowMs)
        }
      }
    }
  }
}

function membersCase (size: number): PartCase {
  return {
    part: 'UpstreamChooser',
    decision: 'members',
    size,
    build: () => {
      const chooser = new UpstreamChooser({ region: 'r0', zone: 'z0' }, new SeededRandom(SEED))
      const memberLists = [candidates(size), candidates(size).slice(1)]
      return call => chooser.step({ type: 'members', candidates: memberLists[call % 2] ?? [] }, call)
    }
  }
}

const RETRY: PartCase = {
  part: 'RetryPolicy',
  decision: 'begin and succeeded, 1 in 100 refused first',
  size: 1,
  build: () => {
    const policy = new RetryPolicy()
    return call => {
      const nowMs = call * CALL_GAP_MS
      policy.step({ type: 'begin', call, idempotent: true, deadlineAtMs: nowMs + 500, retriesAbove: false }, nowMs)
      if (call % 100 === 0) {
        policy.step({
          type: 'failed', call, disposition: 'not-run', reason: 'draining', retryAfterMs: 1, responseStarted: false
        }, nowMs)
        policy.step({ type: 'tick' }, nowMs)
      }
      policy.step({ type: 'succeeded', call, latencyMs: 5 + call % 7 }, nowMs)
    }
  }
}

const BUDGET: PartCase = {
  part: 'MeasuringBudget',
  decision: 'served and request',
  size: 1,
  build: () => {
    const budget = new MeasuringBudget({ bytesPerSecond: 12_000, messagesPerCall: 0.01 })
    return id => {
      budget.step({ type: 'served', calls: 1 }, id * CALL_GAP_MS)
      budget.step({ type: 'request', id, kind: 'probe', bytes: 60 }, id * CALL_GAP_MS)
    }
  }
}

/** Cases of the parts that take decisions for each call at its ingress node. */
export const INGRESS_CASES: readonly PartCase[] = [
  chooserCase(3), chooserCase(200), chooserCase(2200), membersCase(3), membersCase(200), RETRY, BUDGET
]
