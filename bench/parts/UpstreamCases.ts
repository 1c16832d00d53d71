import { AdmissionController } from '../../src/parts/admission/AdmissionController.js'
import { QuarantineTable } from '../../src/parts/quarantine/QuarantineTable.js'
import { RequestFingerprint } from '../../src/parts/quarantine/RequestFingerprint.js'
import { computeSha1 } from '../../src/runtime/Digest.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import type { PartCase } from './Measure.js'

const SEED = 5

/** Virtual time between two calls. */
const CALL_GAP_MS = 0.05

const INSTANCE = 'dies/n1'

const fingerprints = new RequestFingerprint(computeSha1)

const BODY = new Uint8Array(200).fill(7)

const ADMIT: PartCase = {
  part: 'AdmissionController',
  decision: 'arrive, start and finish',
  size: 6,
  build: () => {
    const admission = new AdmissionController(new SeededRandom(SEED), { slots: 6 })
    return call => {
      const nowMs = call * CALL_GAP_MS
      admission.step({ type: 'arrive', call, kind: 'lookup', deadlineAtMs: nowMs + 500 }, nowMs)
      admission.step({ type: 'finish', call, outcome: 'ok', serviceMs: 5 }, nowMs)
    }
  }
}

const OVERLOADED: PartCase = {
  part: 'AdmissionController',
  decision: 'arrive and finish or refuse, queue full',
  size: 6,
  build: () => {
    const admission = new AdmissionController(new SeededRandom(SEED), { slots: 6 })
    const running: number[] = []
    return call => {
      const nowMs = call * CALL_GAP_MS
      for (const action of admission.step({ type: 'arrive', call, kind: 'lookup', deadlineAtMs: nowMs + 500 }, nowMs)) {
        if (action.type === 'start') {
          running.push(action.call)
        }
      }
      const ended = call % 3 === 0 ? undefined : running.shift()
      if (ended !== undefined) {
        for (const action of admission.step({ type: 'finish', call: ended, outcome: 'ok', serviceMs: 5 }, nowMs)) {
          if (action.type === 'start') {
            running.push(action.call)
          }
        }
      }
    }
  }
}

function quarantineCase (size: number): PartCase {
  return {
    part: 'QuarantineTable',
    decision: 'ask, dispatched and finished',
    size,
    build: () => {
      const table = new QuarantineTable({ node: 'n1', incarnation: 1 })
      for (let sequence = 1; sequence <= size; sequence++) {
        const report = { fingerprint: `suspect-${sequence}`, node: 'n2', incarnation: 1, sequence }
        table.step({ type: 'reported', report }, 0)
      }
      return call => {
        const fingerprint = `fine-${call % 100}`
        table.step({ type: 'ask', call, fingerprint }, call * CALL_GAP_MS)
        table.step({ type: 'dispatched', call, instance: INSTANCE, fingerprint }, call * CALL_GAP_MS)
        table.step({ type: 'finished', call }, call * CALL_GAP_MS)
      }
    }
  }
}

const FINGERPRINT: PartCase = {
  part: 'RequestFingerprint',
  decision: 'of a 200 byte body',
  size: 1,
  build: () => call => fingerprints.of('dies', 'POST', `/checkouts/${call % 100}`, BODY, BODY.length)
}

/** Cases of the parts that take decisions for each call at the node beside the upstream. */
export const UPSTREAM_CASES: readonly PartCase[] = [
  ADMIT, OVERLOADED, quarantineCase(0), quarantineCase(4096), FINGERPRINT
]
