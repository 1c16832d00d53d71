import { QUOTA_STEP_MS, QUOTA_WINDOW_MS } from './Constants.js'
import { SlidingCounter } from './SlidingCounter.js'
import type { QuotaAsk, QuotaReport, QuotaUse } from './Types.js'

/** Requests of a workspace at a time. */
interface TimedUse {
  readonly workspace: string
  readonly count: number
  readonly atMs: number
}

/** A report that was sent and not acknowledged yet. */
interface UnacknowledgedReport {
  readonly id: number
  readonly uses: readonly TimedUse[]
  readonly returns: readonly TimedUse[]
  readonly allowances?: readonly QuotaAsk[]
}

/**
 * Reports of a node to the ledger. One report at a time is on its way, and is repeated until it is acknowledged; what
 * happens meanwhile goes into the next one.
 *
 * Memory: a counter for each workspace with uses or returns within the window, and one report.
 */
export class ReportOutbox {
  private _lastId = 0
  private _sent: UnacknowledgedReport | undefined
  private _uses = new Map<string, SlidingCounter>()
  private _returns = new Map<string, SlidingCounter>()

  /** True when the next message must hold a report. */
  public get isPending (): boolean {
    return this._sent !== undefined || this._uses.size > 0 || this._returns.size > 0
  }

  /** Records requests that began without a credit. */
  public addUse (workspace: string, atMs: number): void {
    add(this._uses, workspace, 1, atMs)
  }

  /** Records credits that were not used; `atMs` is when they were granted or used. */
  public addReturns (workspace: string, count: number, atMs: number): void {
    add(this._returns, workspace, count, atMs)
  }

  /** Replaces all that is pending by a full report. */
  public startFull (uses: readonly TimedUse[], allowances: readonly QuotaAsk[]): void {
    this._uses.clear()
    this._returns.clear()
    this._sent = { id: ++this._lastId, uses, returns: [], allowances }
  }

  /** Ends the repetition of a report that was acknowledged. */
  public acknowledge (id: number | undefined): void {
    if (this._sent?.id === id) this._sent = undefined
  }

  /** Returns the report for the next message; undefined without any. */
  public next (nowMs: number, upMs: number): QuotaReport | undefined {
    if (this._sent === undefined) this._startNext(nowMs)
    if (this._sent === undefined) return undefined
    const { id, uses, returns, allowances } = this._sent
    // Ages that are too short only make the ledger count a use for longer.
    const report = { id, uses: toAges(uses, nowMs - QUOTA_STEP_MS), returns: toAges(returns, nowMs) }
    return allowances === undefined ? report : { ...report, allowances, upMs }
  }

  private _startNext (nowMs: number): void {
    const uses = take(this._uses, nowMs)
    const returns = take(this._returns, nowMs)
    if (uses.length + returns.length > 0) this._sent = { id: ++this._lastId, uses, returns }
  }
}

function add (counters: Map<string, SlidingCounter>, workspace: string, count: number, atMs: number): void {
  const counter = counters.get(workspace) ?? new SlidingCounter()
  counters.set(workspace, counter)
  counter.add(count, atMs)
}

function take (counters: Map<string, SlidingCounter>, nowMs: number): TimedUse[] {
  const uses: TimedUse[] = []
  for (const [workspace, counter] of counters) {
    counter.sum(nowMs)
    uses.push(...counter.entries().map(entry => ({ workspace, ...entry })))
  }
  counters.clear()
  return uses
}

function toAges (uses: readonly TimedUse[], nowMs: number): QuotaUse[] {
  return uses
    .filter(({ atMs }) => nowMs - atMs < 2 * QUOTA_WINDOW_MS)
    .map(({ workspace, count, atMs }) => ({ workspace, count, ageMs: Math.max(0, Math.floor(nowMs - atMs)) }))
}
