import { RETRY_BUDGET, DRAIN_GRACE_MS } from './Constants.js'
import type { Rule, Violation } from './Types.js'

interface RequestRecord {
  readonly once: boolean
  readonly runs: Array<{ readonly atMs: number, readonly instance: string }>
  notRun: boolean
}

/** Body that the instance gives for a request; its length differs from request to request. */
export function expectedBody (id: string): string {
  const length = 50 + (id.charCodeAt(id.length - 1) * 37) % 900
  return `${id}|`.repeat(Math.ceil(length / (id.length + 1))).slice(0, length)
}

/** What callers asked for and instances ran, and the promises that follow from the two. */
export class SoakLedger {
  public readonly violations: Violation[] = []
  private readonly _requests = new Map<string, RequestRecord>()
  private readonly _drainedAtMs = new Map<string, number>()

  /**
   * @param _nowMs Milliseconds since the start of the soak.
   */
  public constructor (private readonly _nowMs: () => number) {}

  /** Runs over all requests. */
  public get runCount (): number {
    return [...this._requests.values()].reduce((sum, { runs }) => sum + runs.length, 0)
  }

  /** Notes a broken promise. */
  public recordViolation (rule: Rule, detail: string): void {
    this.violations.push({ rule, atMs: Math.round(this._nowMs()), detail })
  }

  /** A caller is about to send a request. */
  public recordRequest (id: string, once: boolean): void {
    this._requests.set(id, { once, runs: [], notRun: false })
  }

  /** An instance began to work on a request. */
  public recordRun (id: string, instance: string): void {
    const nowMs = this._nowMs()
    const request = this._requests.get(id)
    if (request === undefined) return this.recordViolation('whole-own-answer', `${instance} ran ${id}, which nobody sent`)
    request.runs.push({ atMs: nowMs, instance })
    if (request.once && request.runs.length > 1) this.recordViolation('at-most-once', `${id} ran at ${request.runs.map(run => run.instance).join()}`)
    if (request.notRun) this.recordViolation('true-not-run', `${id} ran at ${instance} after it was refused`)
    const drainedAtMs = this._drainedAtMs.get(instance)
    if (drainedAtMs !== undefined && nowMs > drainedAtMs + DRAIN_GRACE_MS) {
      this.recordViolation('no-run-after-drain', `${id} at ${instance}, ${Math.round(nowMs - drainedAtMs)} ms after its drain`)
    }
  }

  /** A node acknowledged that an instance leaves. */
  public recordDrain (instance: string): void {
    if (!this._drainedAtMs.has(instance)) this._drainedAtMs.set(instance, this._nowMs())
  }

  /** A caller was told that a request has not run. */
  public recordRefusal (id: string): void {
    const request = this._requests.get(id)
    if (request === undefined) return
    request.notRun = true
    if (request.runs.length > 0) this.recordViolation('true-not-run', `${id} was refused and had run at ${request.runs[0]?.instance ?? ''}`)
  }

  /** A caller got a success. */
  public recordAnswer (id: string, body: string, echoedId: string | undefined, isSigned: boolean): void {
    const expected = expectedBody(id)
    if (echoedId !== id || !isSigned || body !== expected) {
      this.recordViolation('whole-own-answer', `${id} got ${body.length} of ${expected.length} bytes, id ${String(echoedId)}, signed ${String(isSigned)}`)
    }
  }

  /** Looks for windows with more repeats than the budget. */
  public checkRetryBudget (): void {
    const runTimes = [...this._requests.values()].map(entry => entry.runs.map(({ atMs }) => atMs))
    const firstRuns = runTimes.flatMap(times => times.slice(0, 1))
    const extraRuns = runTimes.flatMap(times => times.slice(1))
    for (const endMs of extraRuns) {
      const inWindow = (atMs: number): boolean => atMs > endMs - RETRY_BUDGET.windowMs && atMs <= endMs
      const count = extraRuns.filter(inWindow).length
      const allowed = RETRY_BUDGET.ratio * firstRuns.filter(inWindow).length + RETRY_BUDGET.slack
      if (count > allowed) return this.recordViolation('budget', `${count} repeats in a window that allows ${Math.floor(allowed)}`)
    }
  }
}
