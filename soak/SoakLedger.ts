import { BUDGET, DRAIN_MS } from './Constants.js'
import type { Rule, Violation } from './Types.js'

interface Entry {
  readonly once: boolean
  readonly runs: Array<{ readonly atMs: number, readonly instance: string }>
  notRun: boolean
}

/** Body that the instance gives for a request; its length differs from request to request. */
export function bodyOf (id: string): string {
  const length = 50 + (id.charCodeAt(id.length - 1) * 37) % 900
  return `${id}|`.repeat(Math.ceil(length / (id.length + 1))).slice(0, length)
}

/** What callers asked for and instances ran, and the promises that follow from the two. */
export class SoakLedger {
  public readonly violations: Violation[] = []
  private readonly _entries = new Map<string, Entry>()
  private readonly _drainedAtMs = new Map<string, number>()

  /**
   * @param _nowMs Milliseconds since the start of the soak.
   */
  public constructor (private readonly _nowMs: () => number) {}

  /** Runs over all requests. */
  public get runs (): number {
    return [...this._entries.values()].reduce((sum, { runs }) => sum + runs.length, 0)
  }

  /** Notes a broken promise. */
  public report (rule: Rule, detail: string): void {
    this.violations.push({ rule, atMs: Math.round(this._nowMs()), detail })
  }

  /** A caller is about to send a request. */
  public ask (id: string, once: boolean): void {
    this._entries.set(id, { once, runs: [], notRun: false })
  }

  /** An instance began to work on a request. */
  public run (id: string, instance: string): void {
    const nowMs = this._nowMs()
    const entry = this._entries.get(id)
    if (entry === undefined) return this.report('whole-own-answer', `${instance} ran ${id}, which nobody sent`)
    entry.runs.push({ atMs: nowMs, instance })
    if (entry.once && entry.runs.length > 1) this.report('at-most-once', `${id} ran at ${entry.runs.map(run => run.instance).join()}`)
    if (entry.notRun) this.report('true-not-run', `${id} ran at ${instance} after it was refused`)
    const drainedAtMs = this._drainedAtMs.get(instance)
    if (drainedAtMs !== undefined && nowMs > drainedAtMs + DRAIN_MS) {
      this.report('no-run-after-drain', `${id} at ${instance}, ${Math.round(nowMs - drainedAtMs)} ms after its drain`)
    }
  }

  /** A node acknowledged that an instance leaves. */
  public drained (instance: string): void {
    if (!this._drainedAtMs.has(instance)) this._drainedAtMs.set(instance, this._nowMs())
  }

  /** A caller was told that a request has not run. */
  public refused (id: string): void {
    const entry = this._entries.get(id)
    if (entry === undefined) return
    entry.notRun = true
    if (entry.runs.length > 0) this.report('true-not-run', `${id} was refused and had run at ${entry.runs[0]?.instance ?? ''}`)
  }

  /** A caller got a success. */
  public answered (id: string, body: string, echoed: string | undefined, signed: boolean): void {
    const expected = bodyOf(id)
    if (echoed !== id || !signed || body !== expected) {
      this.report('whole-own-answer', `${id} got ${body.length} of ${expected.length} bytes, id ${String(echoed)}, signed ${String(signed)}`)
    }
  }

  /** Looks for windows with more repeats than the budget. */
  public checkBudget (): void {
    const runs = [...this._entries.values()].map(entry => entry.runs.map(({ atMs }) => atMs))
    const firsts = runs.flatMap(times => times.slice(0, 1))
    const repeats = runs.flatMap(times => times.slice(1))
    for (const endMs of repeats) {
      const inWindow = (atMs: number): boolean => atMs > endMs - BUDGET.windowMs && atMs <= endMs
      const count = repeats.filter(inWindow).length
      const allowed = BUDGET.ratio * firsts.filter(inWindow).length + BUDGET.slack
      if (count > allowed) return this.report('budget', `${count} repeats in a window that allows ${Math.floor(allowed)}`)
    }
  }
}
