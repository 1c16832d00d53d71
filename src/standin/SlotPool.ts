/** Why a request got no slot. */
export type SlotRefusal = 'full' | 'aborted'

interface QueuedRequest {
  readonly resolve: (refusal: SlotRefusal | undefined) => void
  readonly signal: AbortSignal
  readonly abort: () => void
}

/** Slots of a service with a bounded queue, first come first served. */
export class SlotPool {
  private readonly _slots: number
  private readonly _maxQueue: number
  private _slotsInUse = 0
  private _queue: QueuedRequest[] = []

  /**
   * @param slots Requests that run at once.
   * @param maxQueue Requests that may wait.
   */
  public constructor (slots: number, maxQueue: number) {
    this._slots = slots
    this._maxQueue = maxQueue
  }

  /** Requests that run now. */
  public get inFlight (): number {
    return this._slotsInUse
  }

  /** Requests that wait now. */
  public get queued (): number {
    return this._queue.length
  }

  /**
   * Takes a slot, waiting for one when all are taken.
   * @param signal Ends the wait.
   * @returns Why there is no slot, or undefined when the slot is held and must be released.
   */
  public async acquire (signal: AbortSignal): Promise<SlotRefusal | undefined> {
    if (signal.aborted) return 'aborted'
    if (this._slotsInUse < this._slots) {
      this._slotsInUse++
      return undefined
    }
    if (this._queue.length >= this._maxQueue) return 'full'
    return await new Promise(resolve => {
      const queuedRequest: QueuedRequest = { resolve, signal, abort: () => { this._abortWait(queuedRequest) } }
      this._queue.push(queuedRequest)
      signal.addEventListener('abort', queuedRequest.abort, { once: true })
    })
  }

  /** Gives a slot back; the oldest queuedRequest gets it. */
  public release (): void {
    const queuedRequest = this._queue.shift()
    if (queuedRequest === undefined) {
      this._slotsInUse--
      return
    }
    queuedRequest.signal.removeEventListener('abort', queuedRequest.abort)
    queuedRequest.resolve(undefined)
  }

  private _abortWait (queuedRequest: QueuedRequest): void {
    this._queue = this._queue.filter(other => other !== queuedRequest)
    queuedRequest.resolve('aborted')
  }
}
