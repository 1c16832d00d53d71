import type { CallId } from '../Types.js'
import type { QueueClass } from './Types.js'

/** A call in the queue. */
export interface QueuedCall {
  readonly call: CallId
  readonly queueClass: QueueClass
  readonly deadlineAtMs: number
  readonly arrivedAtMs: number
  /** Time at which the call is refused if it has not started by then. */
  readonly refuseAtMs: number
}

const QUEUE_CLASSES: readonly QueueClass[] = ['short', 'download']

/** Calls that wait for a slot: one first-in, first-out queue for each class. The controller bounds their number. */
export class QueuedCalls {
  private readonly _queues: { readonly [C in QueueClass]: QueuedCall[] } = { short: [], download: [] }

  /** Queued calls of all classes. */
  public get size (): number {
    return this._queues.short.length + this._queues.download.length
  }

  /**
   * Returns how many calls of a class are queued.
   * @param queueClass Class to count.
   */
  public count (queueClass: QueueClass): number {
    return this._queues[queueClass].length
  }

  /**
   * Returns the oldest queued call of a class, or undefined when there is none.
   * @param queueClass Class of the call.
   */
  public first (queueClass: QueueClass): QueuedCall | undefined {
    return this._queues[queueClass][0]
  }

  /**
   * Adds a call at the end of the queue of its class.
   * @param queued Call to add.
   */
  public add (queued: QueuedCall): void {
    this._queues[queued.queueClass].push(queued)
  }

  /**
   * Removes and returns the oldest queued call of a class, or undefined when there is none.
   * @param queueClass Class of the call.
   */
  public takeFirst (queueClass: QueueClass): QueuedCall | undefined {
    return this._queues[queueClass].shift()
  }

  /**
   * Removes a call from its queue. Returns false when it was not queued.
   * @param call Id of the call.
   */
  public remove (call: CallId): boolean {
    for (const queueClass of QUEUE_CLASSES) {
      const index = this._queues[queueClass].findIndex(queued => queued.call === call)
      if (index >= 0) {
        this._queues[queueClass].splice(index, 1)
        return true
      }
    }
    return false
  }

  /**
   * Removes and returns the calls whose refusal time has come.
   * @param nowMs Monotonic time in milliseconds; Infinity removes all calls.
   */
  public takeOverdue (nowMs: number): QueuedCall[] {
    const overdue: QueuedCall[] = []
    for (const queueClass of QUEUE_CLASSES) {
      const queue = this._queues[queueClass]
      for (let index = 0; index < queue.length;) {
        if ((queue[index] as QueuedCall).refuseAtMs <= nowMs) {
          overdue.push(...queue.splice(index, 1))
        } else {
          index++
        }
      }
    }
    return overdue
  }

  /** Returns the earliest time at which a queued call is to be refused, or Infinity when the queues are empty. */
  public earliestRefusalAtMs (): number {
    let atMs = Infinity
    for (const queueClass of QUEUE_CLASSES) {
      for (const queued of this._queues[queueClass]) {
        atMs = Math.min(atMs, queued.refuseAtMs)
      }
    }
    return atMs
  }
}
