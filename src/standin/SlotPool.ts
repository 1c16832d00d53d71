/** Why a request got no slot. */
export type SlotRefusal = 'full' | 'aborted'

interface Waiter {
  readonly resolve: (refusal: SlotRefusal | undefined) => void
  readonly signal: AbortSignal
  readonly abort: () => void
}

/** Slots of a service with a bounded queue, first come first served. */
export class SlotPool {
  private readonly slots: number
  private readonly maxQueue: number
  private taken = 0
  private waiters: Waiter[] = []

  /**
   * @param slots Requests that run at once.
   * @param maxQueue Requests that may wait.
   */
  public constructor (slots: number, maxQueue: number) {
    this.slots = slots
    this.maxQueue = maxQueue
  }

  /** Requests that run now. */
  public get inFlight (): number {
    return this.taken
  }

  /** Requests that wait now. */
  public get queued (): number {
    return this.waiters.length
  }

  /**
   * Takes a slot, waiting for one when all are taken.
   * @param signal Ends the wait.
   * @returns Why there is no slot, or undefined when the slot is held and must be released.
   */
  public async acquire (signal: AbortSignal): Promise<SlotRefusal | undefined> {
    if (signal.aborted) return 'aborted'
    if (this.taken < this.slots) {
      this.taken++
      return undefined
    }
    if (this.waiters.length >= this.maxQueue) return 'full'
    return await new Promise(resolve => {
      const waiter: Waiter = { resolve, signal, abort: () => { this.dropWaiter(waiter) } }
      this.waiters.push(waiter)
      signal.addEventListener('abort', waiter.abort, { once: true })
    })
  }

  /** Gives a slot back; the oldest waiter gets it. */
  public release (): void {
    const waiter = this.waiters.shift()
    if (waiter === undefined) {
      this.taken--
      return
    }
    waiter.signal.removeEventListener('abort', waiter.abort)
    waiter.resolve(undefined)
  }

  private dropWaiter (waiter: Waiter): void {
    this.waiters = this.waiters.filter(other => other !== waiter)
    waiter.resolve('aborted')
  }
}
