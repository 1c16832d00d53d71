/** What a load run has shown, as JSON. */
import type { ChangeResult } from './BehaviourSchedule.js'
import type { LoadPlan, LoadStream } from './LoadPlan.js'
import { LatencyRecorder } from './LatencyRecorder.js'
import type { LatencySummary } from './LatencyRecorder.js'
import type { AuditCounts, CallEnd, CallResult } from './Types.js'

/** Calls of one stream or of all. */
export interface StreamSummary {
  readonly sent: number
  readonly ends: Readonly<Record<CallEnd, number>>
  readonly attempts: number
  /** Reasons of all ends but `ok`, with how often each was given. */
  readonly reasons: Readonly<Record<string, number>>
  /** Calls that ended `ok` and were due after the warm-up, from the time that they were due. */
  readonly latency: LatencySummary
}

/** The summary of a run. */
export interface LoadSummary {
  readonly seed: number
  readonly durationMs: number
  readonly all: StreamSummary
  readonly streams: ReadonlyArray<StreamSummary & { readonly service: string, readonly kind: LoadStream['kind'] }>
  /** How late the load tool itself sent calls; when high, latencies show the tool and not the mesh. */
  readonly lateMs: LatencySummary
  /** Calls still waiting at the end of the run and not sent. */
  readonly unsent: number
  /** How the changes of the plan went. */
  readonly changes: readonly ChangeResult[]
  /** Undefined without journals. */
  readonly audit: AuditCounts | undefined
}

/**
 * Sums up calls.
 * @param results The calls.
 * @param plan Length of the run and of its warm-up.
 */
export function summarize (results: readonly CallResult[], plan: LoadPlan): StreamSummary {
  const ends: Record<CallEnd, number> = { ok: 0, wrong: 0, error: 0, failed: 0, 'not-run': 0, unknown: 0, quarantined: 0 }
  const reasons: Record<string, number> = {}
  const recorder = new LatencyRecorder(plan.durationMs)
  let attempts = 0
  for (const { call, end, reason, attempts: callAttempts, latencyMs } of results) {
    ends[end]++
    attempts += callAttempts
    if (end === 'ok') {
      if (call.dueMs >= plan.warmupMs) recorder.record(call.dueMs, latencyMs)
    } else reasons[`${end}: ${reason}`] = (reasons[`${end}: ${reason}`] ?? 0) + 1
  }
  return { sent: results.length, ends, attempts, reasons, latency: recorder.summary() }
}
