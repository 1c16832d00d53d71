import { setImmediate as turn, setTimeout as delay } from 'node:timers/promises'
import { Caller } from './Caller.js'
import { ChangeSchedule } from './ChangeSchedule.js'
import type { ChangeResult } from './ChangeSchedule.js'
import { JournalAudit } from './JournalAudit.js'
import { LatencyRecorder } from './LatencyRecorder.js'
import type { LoadPlan } from './LoadPlan.js'
import { summarize } from './LoadSummary.js'
import type { LoadSummary } from './LoadSummary.js'
import { Schedule } from './Schedule.js'
import type { CallResult, PlannedCall } from './Types.js'

const LONGEST_SLEEP_MS = 50
/** Timers fire up to this much late. */
const TIMER_STEP_MS = 2

/** One load run. Results of all calls are kept until its end; the plan bounds their number. */
export class LoadRun {
  private readonly plan: LoadPlan
  private readonly schedule: Schedule
  private readonly caller: Caller
  private readonly results: CallResult[] = []
  private readonly waiting: PlannedCall[] = []
  private readonly open = new Set<Promise<void>>()
  private startedAtMs = 0

  /**
   * @param plan What to send.
   * @param runName Starts the id of each call; must differ between runs against the same upstreams.
   */
  public constructor (plan: LoadPlan, runName: string) {
    this.plan = plan
    this.schedule = new Schedule(plan, runName)
    this.caller = new Caller(plan)
  }

  /** Sends all calls when they are due, waits for their ends and sums up. */
  public async run (): Promise<LoadSummary> {
    this.startedAtMs = performance.now()
    const changes = new ChangeSchedule(this.plan.changes).run()
    for (let dueMs = this.schedule.nextDueMs; dueMs !== undefined; dueMs = this.schedule.nextDueMs) {
      await this.sleepUntil(dueMs)
      this.waiting.push(this.schedule.take())
      this.sendWaiting()
    }
    while (this.open.size > 0) await Promise.race(this.open)
    this.caller.dispose()
    return this.summary(await changes)
  }

  /** Latencies of all calls that were answered, for a plot. */
  public latencies (): LatencyRecorder {
    const recorder = new LatencyRecorder(this.plan.durationMs)
    for (const { call, end, latencyMs } of this.results) {
      if (end === 'ok' && call.dueMs >= this.plan.warmupMs) recorder.record(call.dueMs, latencyMs)
    }
    return recorder
  }

  private async sleepUntil (dueMs: number): Promise<void> {
    const spinMs = this.plan.precise ? TIMER_STEP_MS : 0
    let leftMs = this.startedAtMs + dueMs - performance.now()
    while (leftMs > 0) {
      if (leftMs <= spinMs) await turn()
      else await delay(Math.min(leftMs - spinMs, LONGEST_SLEEP_MS))
      leftMs = this.startedAtMs + dueMs - performance.now()
    }
  }

  private sendWaiting (): void {
    while (this.open.size < this.plan.maxInFlight) {
      const call = this.waiting.shift()
      if (call === undefined) return
      const ended: Promise<void> = this.send(call).finally(() => {
        this.open.delete(ended)
        this.sendWaiting()
      })
      this.open.add(ended)
    }
  }

  private async send (call: PlannedCall): Promise<void> {
    const copies = [this.caller.call(call, this.startedAtMs)]
    if (call.repeated) copies.push(this.caller.call({ ...call, target: call.target + 1 }, this.startedAtMs))
    this.results.push(...await Promise.all(copies))
  }

  private summary (changes: readonly ChangeResult[]): LoadSummary {
    const { plan, results } = this
    const late = new LatencyRecorder(plan.durationMs)
    for (const { call, lateMs } of results) {
      if (call.dueMs >= plan.warmupMs) late.record(call.dueMs, lateMs)
    }
    return {
      seed: plan.seed,
      durationMs: plan.durationMs,
      all: summarize(results, plan),
      streams: plan.streams.map(stream => {
        const own = results.filter(result => result.call.stream === stream)
        return { service: stream.service, kind: stream.kind, ...summarize(own, plan) }
      }),
      lateMs: late.summary(),
      unsent: this.waiting.length,
      changes,
      audit: plan.journals.length === 0 ? undefined : JournalAudit.ofFiles(plan.journals).count(results)
    }
  }
}
