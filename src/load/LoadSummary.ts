/** Summary of a load run, which is printed as JSON. */
import type { ChangeResult } from './BehaviourSchedule.js'
import type { LoadPlan, LoadStream } from './LoadPlan.js'
import { LatencyRecorder } from './LatencyRecorder.js'
import type { LatencySummary } from './LatencyRecorder.js'
import type { AuditCounts, CallEnd, CallResult } from './Types.js'

/** Summary of the calls of one stream, or of all streams. */
export interface StreamSummary {
  readonly sent: number
  readonly ends: Readonly<Record<CallEnd, number>>
  readonly attempts: number
  /** Number of calls by `END: REASON`, without those that ended `ok`. */
  readonly reasons: Readonly<Record<string, number>>
  /** Latency, from the due time, of calls that ended `ok` and were due after the warm-up. */
  readonly latency: LatencySummary
}

/** Summary of a load run. */
export interface LoadSummary {
  readonly seed: number
  readonly durationMs: number
  readonly all: StreamSummary
  readonly streams: ReadonlyArray<StreamSummary & { readonly service: string, readonly kind: LoadStream['kind'] }>
  /** How late the load tool sent its calls; when this is high, latencies are those of the tool and not of the mesh. */
  readonly lateMs: LatencySummary
  /** Calls that were still queued at the end of the run and never sent. */
  readonly unsent: number
  /** Results of the behaviour changes of the plan. */
  readonly changes: readonly ChangeResult[]
  /** Undefined when the plan names no journals. */
  readonly audit: AuditCounts | undefined
}

/**
 * Summarizes calls.
 * @param results Results of the calls.
 * @param plan Gives the durations of the run and of its warm-up.
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
