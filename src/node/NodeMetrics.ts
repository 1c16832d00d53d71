import type { MetricLine } from '../runtime/Metrics.js'

/** Metrics of a node by their names in the code. */
export type NodeMetric =
  | 'callsEnded' | 'callDuration' | 'callAttempts' | 'answersNotRun' | 'answersUnknown' | 'answersQuarantined'
  | 'upstreamRunning' | 'upstreamQueued' | 'configurationVersion' | 'measuringBytes'

/** All metrics of a node with their units; docs/METRICS.md has the same table. */
export const NODE_METRICS: Readonly<Record<NodeMetric, MetricLine>> = {
  callsEnded: { name: 'calls.ended', unit: 'count', meaning: 'calls of callers that got their answer or went away' },
  callDuration: { name: 'calls.duration', unit: 'ms', meaning: 'time from the read request to the end of its answer' },
  callAttempts: { name: 'calls.attempts', unit: 'count', meaning: 'attempts of ended calls, retries and hedges among them' },
  answersNotRun: { name: 'answers.not_run', unit: 'count', meaning: 'answers made by the system that say not-run' },
  answersUnknown: { name: 'answers.unknown', unit: 'count', meaning: 'answers made by the system that say unknown' },
  answersQuarantined: { name: 'answers.quarantined', unit: 'count', meaning: 'answers that say quarantined' },
  upstreamRunning: { name: 'upstream.running', unit: 'level', meaning: 'calls running at the local upstream' },
  upstreamQueued: { name: 'upstream.queued', unit: 'level', meaning: 'calls waiting for the local upstream' },
  configurationVersion: { name: 'configuration.version', unit: 'level', meaning: 'version in force at this node' },
  measuringBytes: { name: 'measuring.bytes', unit: 'level', meaning: 'bytes spent on measuring in the last second' }
}
