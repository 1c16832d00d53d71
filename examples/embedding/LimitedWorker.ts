/** How a service that is not part of a mesh embeds one part: it limits its own work by the admission controller. */
import { setTimeout as delay } from 'node:timers/promises'
import { AdmissionController } from 'sassafraslead/admission'
import type { Random } from 'sassafraslead/types'

type Action = ReturnType<AdmissionController['step']>[number]
type Refusal = Extract<Action, { type: 'refuse' }>

/** Outcome of one piece of work. */
export type WorkOutcome<T> =
  | { readonly type: 'done', readonly value: T }
  /** Not run; worth trying again after `retryAfterMs`. */
  | { readonly type: 'refused', readonly reason: string, readonly retryAfterMs: number }

/**
 * Runs work at a limited rate. The part is pure: this class gives it the time, calls it on each event and does
 * what its actions say.
 */
export class LimitedWorker {
  private readonly _admission: AdmissionController
  private readonly _queued = new Map<number, (refusal: Refusal | undefined) => void>()
  private _timer: NodeJS.Timeout | undefined
  private _nextCall = 1

  /**
   * @param slots Pieces of work that run at once.
   * @param random Source of random numbers, for spreading retries.
   */
  public constructor (slots: number, random: Random) {
    this._admission = new AdmissionController(random, { slots })
    this._handle(this._admission.step({ type: 'capacity', slots }, performance.now()))
  }

  /**
   * Runs a piece of work when there is room for it before its deadline.
   * @param work What to run.
   * @param deadlineMs Time that it may take in all, its wait included.
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
/** One piece each millisecond: more than 4 slots of 5 ms can do. */
const ARRIVAL_INTERVAL_MS = 1

const worker = new LimitedWorker(SLOTS, { next: Math.random })
const pieces = Array.from({ length: PIECES }, async (_, index) => {
  await delay(index * ARRIVAL_INTERVAL_MS)
  return await worker.run(async () => await delay(WORK_MS), DEADLINE_MS)
})
const outcomes = await Promise.all(pieces)
const done = outcomes.filter(outcome => outcome.type === 'done').length
process.stdout.write(`${JSON.stringify({ pieces: PIECES, done, refused: PIECES - done })}\n`)
