/** Example of a service outside a mesh that embeds the admission controller to limit its own concurrency. */
import { setTimeout as delay } from 'node:timers/promises'
import { AdmissionController } from 'sassafraslead/admission'
import type { Random } from 'sassafraslead/types'

type Action = ReturnType<AdmissionController['step']>[number]
type Refusal = Extract<Action, { type: 'refuse' }>

/** Outcome of a unit of work. */
export type WorkOutcome<T> =
  | { readonly type: 'done', readonly value: T }
  /** The work was not run and may be retried after `retryAfterMs`. */
  | { readonly type: 'refused', readonly reason: string, readonly retryAfterMs: number }

/**
 * Runs units of work under a concurrency limit with a queue. The admission controller is a pure state machine: this
 * class passes it the time and each event, and carries out the actions that it returns.
 */
export class LimitedWorker {
  private readonly _admission: AdmissionController
  private readonly _queued = new Map<number, (refusal: Refusal | undefined) => void>()
  private _timer: NodeJS.Timeout | undefined
  private _nextCall = 1

  /**
   * @param slots Limit of units of work that run at once.
   * @param random Random numbers for the jitter of retries.
   */
  public constructor (slots: number, random: Random) {
    this._admission = new AdmissionController(random, { slots })
    this._handle(this._admission.step({ type: 'capacity', slots }, performance.now()))
  }

  /**
   * Runs a unit of work when it gets a slot early enough before its deadline.
   * @param work The work.
   * @param deadlineMs Milliseconds until its deadline; its time in the queue counts.
   */
  public async run<T> (work: () => Promise<T>, deadlineMs: number): Promise<WorkOutcome<T>> {
    const call = this._nextCall++
    const refusal = await this._waitForSlot(call, deadlineMs)
    if (refusal !== undefined) return { type: 'refused', reason: refusal.reason, retryAfterMs: refusal.retryAfterMs }
    const startedAtMs = performance.now()
    try {
      return { type: 'done', value: await work() }
    } finally {
      const nowMs = performance.now()
      const finish = { type: 'finish', call, outcome: 'ok', serviceMs: nowMs - startedAtMs } as const
      this._handle(this._admission.step(finish, nowMs))
    }
  }

  private async _waitForSlot (call: number, deadlineMs: number): Promise<Refusal | undefined> {
    return await new Promise(resolve => {
      this._queued.set(call, resolve)
      const nowMs = performance.now()
      const arrive = { type: 'arrive', call, kind: 'lookup', deadlineAtMs: nowMs + deadlineMs } as const
      this._handle(this._admission.step(arrive, nowMs))
    })
  }

  private _handle (actions: readonly Action[]): void {
    for (const action of actions) {
      if (action.type === 'start') this._settle(action.call, undefined)
      if (action.type === 'refuse') this._settle(action.call, action)
      if (action.type === 'wake') this._wakeAt(action.atMs)
    }
  }

  private _settle (call: number, refusal: Refusal | undefined): void {
    this._queued.get(call)?.(refusal)
    this._queued.delete(call)
  }

  private _wakeAt (atMs: number): void {
    clearTimeout(this._timer)
    const tick = (): void => { this._handle(this._admission.step({ type: 'tick' }, performance.now())) }
    this._timer = setTimeout(tick, Math.max(0, atMs - performance.now()))
  }
}

const PIECES = 200
const SLOTS = 4
const WORK_MS = 5
const DEADLINE_MS = 100
/** One unit of work each millisecond, which is more than 4 slots can complete at 5 ms each. */
const ARRIVAL_INTERVAL_MS = 1

const worker = new LimitedWorker(SLOTS, { next: Math.random })
const pieces = Array.from({ length: PIECES }, async (_, index) => {
  await delay(index * ARRIVAL_INTERVAL_MS)
  return await worker.run(async () => await delay(WORK_MS), DEADLINE_MS)
})
const outcomes = await Promise.all(pieces)
const done = outcomes.filter(outcome => outcome.type === 'done').length
process.stdout.write(`${JSON.stringify({ pieces: PIECES, done, refused: PIECES - done })}\n`)
