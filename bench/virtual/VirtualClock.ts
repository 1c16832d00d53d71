/** An event that is due at a moment of virtual time. */
export interface Timer {
  readonly atMs: number
  readonly sequence: number
  run: (() => void) | undefined
}

/** Virtual time: a heap of events, run in order of time and then of their making. */
export class VirtualClock {
  private readonly _heap: Timer[] = []
  private _sequence = 0
  private _currentMs = 0

  /** Virtual milliseconds since the start. */
  public get nowMs (): number {
    return this._currentMs
  }

  /**
   * @param delayMs From now; not below 0.
   * @param run What happens then.
   */
  public after (delayMs: number, run: () => void): Timer {
    return this.at(this._currentMs + delayMs, run)
  }

  /**
   * @param atMs Virtual time, exact; a time in the past is now.
   * @param run What happens then.
   */
  public at (atMs: number, run: () => void): Timer {
    const timer = { atMs: Math.max(this._currentMs, atMs), sequence: this._sequence++, run }
    this._heap.push(timer)
    this._siftUp(this._heap.length - 1)
    return timer
  }

  /** @param timer Event that must not happen. */
  public cancel (timer: Timer): void {
    timer.run = undefined
  }

  /** @param untilMs Virtual time at which to stop. */
  public run (untilMs: number): void {
    let next = this._heap[0]
    while (next !== undefined && next.atMs <= untilMs) {
      this._pop()
      this._currentMs = next.atMs
      next.run?.()
      next = this._heap[0]
    }
    this._currentMs = untilMs
  }

  private _pop (): void {
    const last = this._heap.pop()
    if (last !== undefined && this._heap.length > 0) {
      this._heap[0] = last
      this._siftDown()
    }
  }

  private _siftUp (from: number): void {
    const timer = this._heap[from] as Timer
    let index = from
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = this._heap[parentIndex] as Timer
      if (!isBefore(timer, parent)) {
        break
      }
      this._heap[index] = parent
      index = parentIndex
    }
    this._heap[index] = timer
  }

  private _siftDown (): void {
    const timer = this._heap[0] as Timer
    let index = 0
    for (;;) {
      let childIndex = 2 * index + 1
      if (childIndex >= this._heap.length) {
        break
      }
      const right = this._heap[childIndex + 1]
      if (right !== undefined && isBefore(right, this._heap[childIndex] as Timer)) {
        childIndex += 1
      }
      const child = this._heap[childIndex] as Timer
      if (!isBefore(child, timer)) {
        break
      }
      this._heap[index] = child
      index = childIndex
    }
    this._heap[index] = timer
  }
}

function isBefore (first: Timer, second: Timer): boolean {
  return first.atMs < second.atMs || (first.atMs === second.atMs && first.sequence < second.sequence)
}
