/** An event that is due at a moment of virtual time. */
export interface Timer {
  readonly atMs: number
  readonly sequence: number
  run: (() => void) | undefined
}

/** Virtual time: a heap of events, run in order of time and then of their making. */
export class VirtualClock {
  private readonly heap: Timer[] = []
  private sequence = 0
  private currentMs = 0

  /** Virtual milliseconds since the start. */
  public get nowMs (): number {
    return this.currentMs
  }

  /**
   * @param delayMs From now; not below 0.
   * @param run What happens then.
   */
  public after (delayMs: number, run: () => void): Timer {
    return this.at(this.currentMs + delayMs, run)
  }

  /**
   * @param atMs Virtual time, exact; a time in the past is now.
   * @param run What happens then.
   */
  public at (atMs: number, run: () => void): Timer {
    const timer = { atMs: Math.max(this.currentMs, atMs), sequence: this.sequence++, run }
    this.heap.push(timer)
    this.siftUp(this.heap.length - 1)
    return timer
  }

  /** @param timer Event that must not happen. */
  public cancel (timer: Timer): void {
    timer.run = undefined
  }

  /** @param untilMs Virtual time at which to stop. */
  public run (untilMs: number): void {
    let next = this.heap[0]
    while (next !== undefined && next.atMs <= untilMs) {
      this.pop()
      this.currentMs = next.atMs
      next.run?.()
      next = this.heap[0]
    }
    this.currentMs = untilMs
  }

  private pop (): void {
    const last = this.heap.pop()
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last
      this.siftDown()
    }
  }

  private siftUp (from: number): void {
    const timer = this.heap[from] as Timer
    let index = from
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = this.heap[parentIndex] as Timer
      if (!isBefore(timer, parent)) {
        break
      }
      this.heap[index] = parent
      index = parentIndex
    }
    this.heap[index] = timer
  }

  private siftDown (): void {
    const timer = this.heap[0] as Timer
    let index = 0
    for (;;) {
      let childIndex = 2 * index + 1
      if (childIndex >= this.heap.length) {
        break
      }
      const right = this.heap[childIndex + 1]
      if (right !== undefined && isBefore(right, this.heap[childIndex] as Timer)) {
        childIndex += 1
      }
      const child = this.heap[childIndex] as Timer
      if (!isBefore(child, timer)) {
        break
      }
      this.heap[index] = child
      index = childIndex
    }
    this.heap[index] = timer
  }
}

function isBefore (first: Timer, second: Timer): boolean {
  return first.atMs < second.atMs || (first.atMs === second.atMs && first.sequence < second.sequence)
}
