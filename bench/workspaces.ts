/**
 * Measures processor time and memory of the decisions that are taken for each request of a workspace, by the number of
 * workspaces.
 */
import { writeReport } from './BenchReport.js'
import { measure } from './parts/Measure.js'
import { WORKSPACE_CASES } from './parts/WorkspaceCases.js'

const costs = WORKSPACE_CASES.map(partCase => {
  const cost = measure(partCase)
  const { part, decision, size, nanosecondsPerDecision: ns, bytesPerDecision: bytes, heapBytes } = cost
  console.log(`${part} | ${decision} | ${size} | ${ns.median} ns [${ns.min}, ${ns.max}] | ${bytes.median} bytes | heap ${heapBytes.median}`)
  return cost
})

writeReport('workspaces', { costs })
