/** Why a request got no slot. */
export type SlotRefusal = 'full' | 'aborted'

interface QueuedRequest {
  readonly resolve: (refusal: SlotRefusal | undefined) => void
  readonly signal: AbortSignal
  readonly abort: () => void
}

/** Limits how many requests run at once. Further requests wait in a bounded FIFO queue. */
export class SlotPool {
  private readonly _slots: number
  private readonly _maxQueue: number
  private _slotsInUse = 0
  private _queue: QueuedRequest[] = []

  /**
   * @param slots Limit of requests that run at once.
   * @param maxQueue Limit of queued requests.
   */
  public constructor (slots: number, maxQueue: number) {
    this._slots = slots
    this._maxQueue = maxQueue
  }

  /** Number of requests that run. */
  public get inFlight (): number {
    return this._slotsInUse
  }

  /** Number of queued requests. */
  public get queued (): number {
    return this._queue.length
  }

  /**
   * Takes a slot; waits in the queue when all are in use.
   * @param signal Ends the wait.
   * @returns Undefined when a slot was taken, which must be released; otherwise why there is none.
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

  /** Releases a slot and gives it to the oldest queued request. */
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
