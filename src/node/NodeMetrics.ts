import type { MetricDefinition } from '../runtime/Metrics.js'

/** Metrics of a node by their names in the code. */
export type NodeMetric =
  | 'callsEnded' | 'callDuration' | 'callAttempts' | 'answersNotRun' | 'answersUnknown' | 'answersQuarantined'
  | 'upstreamRunning' | 'upstreamQueued' | 'configurationVersion' | 'measuringBytes'

/** All metrics of a node with their units; docs/METRICS.md has the same table. */
export const NODE_METRICS: Readonly<Record<NodeMetric, MetricDefinition>> = {
  callsEnded: { name: 'calls.ended', unit: 'count', description: 'calls of callers that got their answer or went away' },
  callDuration: { name: 'calls.duration', unit: 'ms', description: 'time from the read request to the end of its answer' },
  callAttempts: { name: 'calls.attempts', unit: 'count', description: 'attempts of ended calls, retries and hedges among them' },
  answersNotRun: { name: 'answers.not_run', unit: 'count', description: 'answers made by the system that say not-run' },
  answersUnknown: { name: 'answers.unknown', unit: 'count', description: 'answers made by the system that say unknown' },
  answersQuarantined: { name: 'answers.quarantined', unit: 'count', description: 'answers that say quarantined' },
  upstreamRunning: { name: 'upstream.running', unit: 'level', description: 'calls running at the local upstream' },
  upstreamQueued: { name: 'upstream.queued', unit: 'level', description: 'calls waiting for the local upstream' },
  configurationVersion: { name: 'configuration.version', unit: 'level', description: 'version in force at this node' },
  measuringBytes: { name: 'measuring.bytes', unit: 'level', description: 'bytes spent on measuring in the last second' }
}
