/** Why a request got no slot. */
export type SlotRefusal = 'full' | 'aborted'

interface Waiter {
  readonly resolve: (refusal: SlotRefusal | undefined) => void
  readonly signal: AbortSignal
  readonly abort: () => void
}

/** Slots of a service with a bounded queue, first come first served. */
export class SlotPool {
  private readonly _slots: number
  private readonly _maxQueue: number
  private _taken = 0
  private _waiters: Waiter[] = []

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
    return this._taken
  }

  /** Requests that wait now. */
  public get queued (): number {
    return this._waiters.length
  }

  /**
   * Takes a slot, waiting for one when all are taken.
   * @param signal Ends the wait.
   * @returns Why there is no slot, or undefined when the slot is held and must be released.
   */
  public async acquire (signal: AbortSignal): Promise<SlotRefusal | undefined> {
    if (signal.aborted) return 'aborted'
    if (this._taken < this._slots) {
      this._taken++
      return undefined
    }
    if (this._waiters.length >= this._maxQueue) return 'full'
    return await new Promise(resolve => {
      const waiter: Waiter = { resolve, signal, abort: () => { this._dropWaiter(waiter) } }
      this._waiters.push(waiter)
      signal.addEventListener('abort', waiter.abort, { once: true })
    })
  }

  /** Gives a slot back; the oldest waiter gets it. */
  public release (): void {
    const waiter = this._waiters.shift()
    if (waiter === undefined) {
      this._taken--
      return
    }
    waiter.signal.removeEventListener('abort', waiter.abort)
    waiter.resolve(undefined)
  }

  private _dropWaiter (waiter: Waiter): void {
    this._waiters = this._waiters.filter(other => other !== waiter)
    waiter.resolve('aborted')
  }
}
