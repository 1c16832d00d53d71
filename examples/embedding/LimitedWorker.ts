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
  private readonly admission: AdmissionController
  private readonly waiting = new Map<number, (refusal: Refusal | undefined) => void>()
  private timer: NodeJS.Timeout | undefined
  private nextCall = 1

  /**
   * @param slots Pieces of work that run at once.
   * @param random Source of random numbers, for spreading retries.
   */
  public constructor (slots: number, random: Random) {
    this.admission = new AdmissionController(random, { slots })
    this.handle(this.admission.step({ type: 'capacity', slots }, performance.now()))
  }

  /**
   * Runs a piece of work when there is room for it before its deadline.
   * @param work What to run.
   * @param deadlineMs Time that it may take in all, its wait included.
   */
  public async run<T> (work: () => Promise<T>, deadlineMs: number): Promise<WorkOutcome<T>> {
    const call = this.nextCall++
    const refusal = await this.arrive(call, deadlineMs)
    if (refusal !== undefined) return { type: 'refused', reason: refusal.reason, retryAfterMs: refusal.retryAfterMs }
    const startedAtMs = performance.now()
    try {
      return { type: 'done', value: await work() }
    } finally {
      const nowMs = performance.now()
      const finish = { type: 'finish', call, outcome: 'ok', serviceMs: nowMs - startedAtMs } as const
      this.handle(this.admission.step(finish, nowMs))
    }
  }

  private async arrive (call: number, deadlineMs: number): Promise<Refusal | undefined> {
    return await new Promise(resolve => {
      this.waiting.set(call, resolve)
      const nowMs = performance.now()
      const arrive = { type: 'arrive', call, kind: 'lookup', deadlineAtMs: nowMs + deadlineMs } as const
      this.handle(this.admission.step(arrive, nowMs))
    })
  }

  private handle (actions: readonly Action[]): void {
    for (const action of actions) {
      if (action.type === 'start') this.settle(action.call, undefined)
      if (action.type === 'refuse') this.settle(action.call, action)
      if (action.type === 'wake') this.wakeAt(action.atMs)
    }
  }

  private settle (call: number, refusal: Refusal | undefined): void {
    this.waiting.get(call)?.(refusal)
    this.waiting.delete(call)
  }

  private wakeAt (atMs: number): void {
    clearTimeout(this.timer)
    const tick = (): void => { this.handle(this.admission.step({ type: 'tick' }, performance.now())) }
    this.timer = setTimeout(tick, Math.max(0, atMs - performance.now()))
  }
}

const PIECES = 200
const SLOTS = 4
const WORK_MS = 5
const DEADLINE_MS = 100
/** One piece each millisecond: more than 4 slots of 5 ms can do. */
const GAP_MS = 1

const worker = new LimitedWorker(SLOTS, { next: Math.random })
const pieces = Array.from({ length: PIECES }, async (_, index) => {
  await delay(index * GAP_MS)
  return await worker.run(async () => await delay(WORK_MS), DEADLINE_MS)
})
const outcomes = await Promise.all(pieces)
const done = outcomes.filter(outcome => outcome.type === 'done').length
process.stdout.write(`${JSON.stringify({ pieces: PIECES, done, refused: PIECES - done })}\n`)
