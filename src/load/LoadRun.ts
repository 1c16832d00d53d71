import { setImmediate as yieldToEventLoop, setTimeout as delay } from 'node:timers/promises'
import { Caller } from './Caller.js'
import { BehaviourSchedule } from './BehaviourSchedule.js'
import type { ChangeResult } from './BehaviourSchedule.js'
import { JournalAudit } from './JournalAudit.js'
import { LatencyRecorder } from './LatencyRecorder.js'
import type { LoadPlan } from './LoadPlan.js'
import { summarize } from './LoadSummary.js'
import type { LoadSummary } from './LoadSummary.js'
import { ArrivalSchedule } from './ArrivalSchedule.js'
import type { CallResult, PlannedCall } from './Types.js'

const MAX_SLEEP_MS = 50
/** Timers may fire this late, so a precise run busy-waits for the last part of each sleep. */
const TIMER_LATENESS_MS = 2

/**
 * Runs a load plan. Sends open-loop load: calls are sent when they are due, regardless of earlier answers. Holds the
 * results of all calls in memory until the end; their number is bounded by the rates and the duration of the plan.
 */
export class LoadRun {
  private readonly _plan: LoadPlan
  private readonly _schedule: ArrivalSchedule
  private readonly _caller: Caller
  private readonly _results: CallResult[] = []
  private readonly _queued: PlannedCall[] = []
  private readonly _inFlight = new Set<Promise<void>>()
  private _startedAtMs = 0

  /**
   * @param plan Streams, targets and limits.
   * @param runName Prefix of the id of each call; must differ between runs against the same upstreams.
   */
  public constructor (plan: LoadPlan, runName: string) {
    this._plan = plan
    this._schedule = new ArrivalSchedule(plan, runName)
    this._caller = new Caller(plan)
  }

  /** Sends all calls when they are due, waits until they have ended and returns the summary. */
  public async run (): Promise<LoadSummary> {
    this._startedAtMs = performance.now()
    const changes = new BehaviourSchedule(this._plan.changes).run()
    for (let dueMs = this._schedule.nextDueMs; dueMs !== undefined; dueMs = this._schedule.nextDueMs) {
      await this._sleepUntil(dueMs)
      this._queued.push(this._schedule.take())
      this._sendQueued()
    }
    while (this._inFlight.size > 0) await Promise.race(this._inFlight)
    this._caller.dispose()
    return this._summary(await changes)
  }

  /** Returns the latencies of all calls that ended `ok` and were due after the warm-up, for a plot. */
  public latencies (): LatencyRecorder {
    const recorder = new LatencyRecorder(this._plan.durationMs)
    for (const { call, end, latencyMs } of this._results) {
      if (end === 'ok' && call.dueMs >= this._plan.warmupMs) recorder.record(call.dueMs, latencyMs)
    }
    return recorder
  }

  private async _sleepUntil (dueMs: number): Promise<void> {
    const spinMs = this._plan.precise ? TIMER_LATENESS_MS : 0
    let leftMs = this._startedAtMs + dueMs - performance.now()
    while (leftMs > 0) {
      if (leftMs <= spinMs) await yieldToEventLoop()
      else await delay(Math.min(leftMs - spinMs, MAX_SLEEP_MS))
      leftMs = this._startedAtMs + dueMs - performance.now()
    }
  }

  private _sendQueued (): void {
    while (this._inFlight.size < this._plan.maxInFlight) {
      const call = this._queued.shift()
      if (call === undefined) return
      const completion: Promise<void> = this._send(call).finally(() => {
        this._inFlight.delete(completion)
        this._sendQueued()
      })
      this._inFlight.add(completion)
    }
  }

  private async _send (call: PlannedCall): Promise<void> {
    const copies = [this._caller.call(call, this._startedAtMs)]
    if (call.sentTwice) copies.push(this._caller.call({ ...call, target: call.target + 1 }, this._startedAtMs))
    this._results.push(...await Promise.all(copies))
  }

  private _summary (changes: readonly ChangeResult[]): LoadSummary {
    const { _plan: plan, _results: results } = this
    const sendDelays = new LatencyRecorder(plan.durationMs)
    for (const { call, lateMs } of results) {
      if (call.dueMs >= plan.warmupMs) sendDelays.record(call.dueMs, lateMs)
    }
    return {
      seed: plan.seed,
      durationMs: plan.durationMs,
      all: summarize(results, plan),
      streams: plan.streams.map(stream => {
        const streamResults = results.filter(result => result.call.stream === stream)
        return { service: stream.service, kind: stream.kind, ...summarize(streamResults, plan) }
      }),
      lateMs: sendDelays.summary(),
      unsent: this._queued.length,
      changes,
      audit: plan.journals.length === 0 ? undefined : JournalAudit.fromFiles(plan.journals).count(results)
    }
  }
}
