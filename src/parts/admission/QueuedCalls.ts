import type { CallId } from '../Types.js'
import type { QueueClass } from './Types.js'

/** A call that waits for a slot. */
export interface QueuedCall {
  readonly call: CallId
  readonly queueClass: QueueClass
  readonly deadlineAtMs: number
  readonly arrivedAtMs: number
  /** When it is refused if it has not started. */
  readonly refuseAtMs: number
}

const QUEUE_CLASSES: readonly QueueClass[] = ['short', 'download']

/** Calls that wait for a slot, in order of arrival within their lane. */
export class QueuedCalls {
  private readonly _queues: { readonly [C in QueueClass]: QueuedCall[] } = { short: [], download: [] }

  /** Calls that wait, over all lanes. */
  public get size (): number {
    return this._queues.short.length + this._queues.download.length
  }

  /** @param queueClass Lane to count. */
  public count (queueClass: QueueClass): number {
    return this._queues[queueClass].length
  }

  /** @param queueClass Lane whose longest waiting call is returned. */
  public first (queueClass: QueueClass): QueuedCall | undefined {
    return this._queues[queueClass][0]
  }

  /** @param queued Call that joins the end of its lane. */
  public add (waiting: QueuedCall): void {
    this._queues[waiting.queueClass].push(waiting)
  }

  /** @param queueClass Lane whose longest waiting call is taken out. */
  public takeFirst (queueClass: QueueClass): QueuedCall | undefined {
    return this._queues[queueClass].shift()
  }

  /**
   * Takes one call out; returns whether it waited.
   * @param call Number of the call.
   */
  public remove (call: CallId): boolean {
    for (const queueClass of QUEUE_CLASSES) {
      const index = this._queues[queueClass].findIndex(waiting => waiting.call === call)
      if (index >= 0) {
        this._queues[queueClass].splice(index, 1)
        return true
      }
    }
    return false
  }

  /**
   * Takes out the calls that are to be refused by now.
   * @param nowMs Monotonic time; Infinity takes all.
   */
  public takeOverdue (nowMs: number): QueuedCall[] {
    const overdue: QueuedCall[] = []
    for (const queueClass of QUEUE_CLASSES) {
      const waiting = this._queues[queueClass]
      for (let index = 0; index < waiting.length;) {
        if ((waiting[index] as QueuedCall).refuseAtMs <= nowMs) {
          overdue.push(...waiting.splice(index, 1))
        } else {
          index++
        }
      }
    }
    return overdue
  }

  /** Earliest time at which a call is to be refused, Infinity when none waits. */
  public earliestRefusalAtMs (): number {
    let atMs = Infinity
    for (const queueClass of QUEUE_CLASSES) {
      for (const waiting of this._queues[queueClass]) {
        atMs = Math.min(atMs, waiting.refuseAtMs)
      }
    }
    return atMs
  }
}
