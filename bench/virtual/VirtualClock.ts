/** An event scheduled for a virtual time. */
export interface Timer {
  readonly atMs: number
  /** Orders timers of the same time by their creation. */
  readonly sequence: number
  /** Undefined once the timer is cancelled. */
  run: (() => void) | undefined
}

/** A virtual clock: a heap of events that run in order of time, and in order of creation at the same time. */
export class VirtualClock {
  private readonly _heap: Timer[] = []
  private _sequence = 0
  private _currentMs = 0

  /** Virtual milliseconds since the start. */
  public get nowMs (): number {
    return this._currentMs
  }

  /**
   * Schedules an event after a delay.
   * @param delayMs Delay from now; not negative.
   * @param run Called at that time.
   */
  public after (delayMs: number, run: () => void): Timer {
    return this.at(this._currentMs + delayMs, run)
  }

  /**
   * Schedules an event at an exact time.
   * @param atMs Virtual time; a time in the past counts as now.
   * @param run Called at that time.
   */
  public at (atMs: number, run: () => void): Timer {
    const timer = { atMs: Math.max(this._currentMs, atMs), sequence: this._sequence++, run }
    this._heap.push(timer)
    this._siftUp(this._heap.length - 1)
    return timer
  }

  /** @param timer Event to cancel. */
  public cancel (timer: Timer): void {
    timer.run = undefined
  }

  /** @param untilMs Runs all events up to this virtual time, including those that they schedule. */
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
