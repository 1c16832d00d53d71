/**
 * Measures processor time and memory per decision of each part (a pure state machine of the library).
 * Each repetition uses a newly built part.
 */
import { writeReport } from './BenchReport.js'
import { INGRESS_CASES } from './parts/IngressCases.js'
import { measure } from './parts/Measure.js'
import type { PartCost } from './parts/Measure.js'
import { STATE_CASES } from './parts/StateCases.js'
import { UPSTREAM_CASES } from './parts/UpstreamCases.js'

/** Maximum median processor time of a choice among `LIMITED_SIZE` instances. */
const DECISION_LIMIT_NS = 5000

const LIMITED_SIZE = 200

function printRow (cost: PartCost): void {
  const { part, decision, size, nanosecondsPerDecision: ns, bytesPerDecision: bytes, heapBytes } = cost
  console.log(`${part} | ${decision} | ${size} | ${ns.median} ns [${ns.min}, ${ns.max}] | ${bytes.median} bytes | heap ${heapBytes.median}`)
}

/** With a command-line argument only the parts whose name contains it are measured, and no report is written. */
const NAME_FILTER = process.argv[2] ?? ''

const cases = [...INGRESS_CASES, ...UPSTREAM_CASES, ...STATE_CASES].filter(({ part }) => part.includes(NAME_FILTER))

const costs = cases.map(partCase => {
  const cost = measure(partCase)
  printRow(cost)
  return cost
})

if (NAME_FILTER === '') {
  const choice = costs.find(cost => cost.decision === 'choose and answered' && cost.size === LIMITED_SIZE)
  const choiceNs = choice?.nanosecondsPerDecision.median ?? Infinity
  console.log(`choice among ${LIMITED_SIZE}: median ${choiceNs} ns, limit ${DECISION_LIMIT_NS} ns`)

  writeReport('parts', {
    limitNs: DECISION_LIMIT_NS, met: choiceNs <= DECISION_LIMIT_NS, costs
  })
}
