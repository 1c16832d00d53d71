import type { AdmissionAction, AdmissionEvent } from '../../src/parts/admission/Types.js'
import type { CallId, Part } from '../../src/parts/Types.js'

/** Baseline admission policy: an unbounded FIFO queue that ignores deadlines and kinds of work. */
export class UnboundedQueue implements Part<AdmissionEvent, AdmissionAction> {
  private readonly _slots: number
  private readonly _queue: CallId[] = []
  private _running = 0

  /** @param slots Concurrency limit. */
  public constructor (slots: number) {
    this._slots = slots
  }

  /** @inheritdoc */
  public step (event: AdmissionEvent): AdmissionAction[] {
    if (event.type === 'arrive') {
      this._queue.push(event.call)
    } else if (event.type === 'finish') {
      this._running--
    }
    const actions: AdmissionAction[] = []
    while (this._running < this._slots && this._queue.length > 0) {
      this._running++
      actions.push({ type: 'start', call: this._queue.shift() as CallId })
    }
    return actions
  }
}
