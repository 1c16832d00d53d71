/** A callback scheduled for a virtual time. */
interface ScheduledEvent {
  readonly atMs: number
  /** Keeps events of the same time in the order of their creation. */
  readonly order: number
  readonly run: () => void
}

/** A virtual clock: runs events in order of time, and its time jumps from one event to the next. */
export class EventQueue {
  private readonly _heap: ScheduledEvent[] = []
  private _order = 0
  private _nowMs = 0

  /** Virtual time in milliseconds. */
  public get nowMs (): number {
    return this._nowMs
  }

  /**
   * Schedules an event.
   * @param atMs Virtual time; a time in the past counts as now.
   * @param run Called at that time.
   */
  public at (atMs: number, run: () => void): void {
    const entry = { atMs: Math.max(atMs, this._nowMs), order: this._order++, run }
    let index = this._heap.length
    this._heap.push(entry)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, this._heap[parent] as ScheduledEvent)) {
        break
      }
      this._heap[index] = this._heap[parent] as ScheduledEvent
      index = parent
    }
    this._heap[index] = entry
  }

  /** @param untilMs Runs all events up to this virtual time, including those that they schedule. */
  public runUntil (untilMs: number): void {
    let next = this._heap[0]
    while (next !== undefined && next.atMs <= untilMs) {
      this._removeFirst()
      this._nowMs = next.atMs
      next.run()
      next = this._heap[0]
    }
    this._nowMs = untilMs
  }

  private _removeFirst (): void {
    const last = this._heap.pop() as ScheduledEvent
    const size = this._heap.length
    if (size === 0) {
      return
    }
    let index = 0
    for (let child = 1; child < size; child = 2 * index + 1) {
      if (child + 1 < size && isBefore(this._heap[child + 1] as ScheduledEvent, this._heap[child] as ScheduledEvent)) {
        child++
      }
      if (!isBefore(this._heap[child] as ScheduledEvent, last)) {
        break
      }
      this._heap[index] = this._heap[child] as ScheduledEvent
      index = child
    }
    this._heap[index] = last
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}
