import { SlidingCounter, type TimedCount } from './SlidingCounter.js'

/** Credits that a ledger counts for one workspace over all nodes. */
export class WorkspaceTotal {
  /** Uses of the nodes with contact. */
  public readonly uses = new SlidingCounter()
  /** Credits in advance, counted while nodes may hold them. */
  public readonly advances: SlidingCounter
  /** What the nodes without contact may use in any window. */
  public held = 0

  /**
   * @param advanceMs Time for which a credit in advance is counted as held by a node, in milliseconds.
   */
  public constructor (advanceMs: number) {
    this.advances = new SlidingCounter(advanceMs)
  }

  /** Returns the requests of a window as far as they can't be excluded. */
  public count (nowMs: number): number {
    return this.uses.sum(nowMs) + this.held
  }
}

/**
 * What a ledger knows of one node. While the node has no contact, its uses don't leave the window: the node admits as
 * many again without asking.
 *
 * Memory: a counter for each workspace that the node used within the window, or before it lost contact.
 */
export class LedgerRow {
  public incarnation = 0
  /** Id of the last report of this incarnation. */
  public lastReport = 0
  /** When everything that the node used within a window is known; Infinity before its report. */
  public completeAtMs = Infinity
  /** Send time of the last answer that the node is known to have received. */
  public heardMs: number
  /** What is held of each workspace; undefined while the node has contact. */
  private _held: Map<string, number> | undefined = new Map()
  private readonly _counters = new Map<string, SlidingCounter>()

  /**
   * @param _total Returns the total of a workspace.
   */
  public constructor (private readonly _total: (workspace: string) => WorkspaceTotal, nowMs: number) {
    this.heardMs = nowMs
  }

  /** True while the node has no contact. */
  public get isHeld (): boolean {
    return this._held !== undefined
  }

  /** True when the node has reported its use. */
  public get isReported (): boolean {
    return this.completeAtMs !== Infinity
  }

  /** True while uses of the node are counted. */
  public get isUsed (): boolean {
    return this._counters.size > 0 || (this._held?.size ?? 0) > 0
  }

  /** Number of buckets in memory. */
  public get size (): number {
    return [...this._counters.values()].reduce((sum, { size }) => sum + size, 0)
  }

  /** Returns the uses of a workspace since a time. */
  public usesFrom (workspace: string, fromMs: number): number {
    return this._counters.get(workspace)?.sumFrom(fromMs) ?? 0
  }

  /** Counts uses at a time. */
  public add (workspace: string, count: number, atMs: number): void {
    let counter = this._counters.get(workspace)
    if (counter === undefined) this._counters.set(workspace, counter = new SlidingCounter())
    counter.add(count, atMs)
    if (this._held === undefined) this._total(workspace).uses.add(count, atMs)
    else this._addHeld(workspace, count)
  }

  /** Stops counting up to `count` uses between two times. */
  public remove (workspace: string, count: number, fromMs: number, toMs: number): void {
    const removed = this._counters.get(workspace)?.remove(count, fromMs, toMs) ?? []
    for (const entry of removed) {
      if (this._held === undefined) removeEntry(this._total(workspace).uses, entry)
      else this._addHeld(workspace, -entry.count)
    }
  }

  /** Raises what is held of a workspace to what the node may use of it without asking. */
  public holdAtLeast (workspace: string, count: number): void {
    const missing = count - (this._held?.get(workspace) ?? 0)
    if (this._held !== undefined && missing > 0) this._addHeld(workspace, missing)
  }

  /**
   * The node has lost contact: its uses are counted until `release`.
   * @param asOfMs Time as of which uses had left the window.
   */
  public hold (asOfMs: number): void {
    this.removeExpired(asOfMs)
    if (this._counters.size === 0) return
    this._held = new Map()
    for (const [workspace, counter] of this._counters) {
      const count = counter.sum(asOfMs)
      counter.entries().forEach(entry => removeEntry(this._total(workspace).uses, entry))
      this._addHeld(workspace, count)
    }
  }

  /** The node has contact again, and its uses leave the window as usual. */
  public release (nowMs: number): void {
    this.drop()
    this._held = undefined
    for (const [workspace, counter] of this._counters) {
      counter.sum(nowMs)
      counter.entries().forEach(({ count, atMs }) => this._total(workspace).uses.add(count, atMs))
    }
  }

  /**
   * The node was started anew: what its earlier run may have used without asking is counted for one more window, and
   * the ledger knows all else.
   */
  public restart (incarnation: number, nowMs: number): void {
    this.incarnation = incarnation
    this.lastReport = 0
    for (const [workspace, count] of this._held ?? []) {
      const unknown = count - (this._counters.get(workspace)?.sum(nowMs) ?? 0)
      if (unknown > 0) this.add(workspace, unknown, nowMs)
    }
  }

  /** Stops counting what is held. */
  public drop (): void {
    for (const [workspace, count] of this._held ?? []) this._total(workspace).held -= count
    this._held?.clear()
  }

  /** Removes what has left the window. */
  public removeExpired (nowMs: number): void {
    for (const [workspace, counter] of this._counters) {
      if (counter.sum(nowMs) === 0) this._counters.delete(workspace)
    }
  }

  private _addHeld (workspace: string, count: number): void {
    const held = this._held!
    held.set(workspace, (held.get(workspace) ?? 0) + count)
    this._total(workspace).held += count
  }
}

function removeEntry (counter: SlidingCounter, { atMs, count }: TimedCount): void {
  counter.remove(count, atMs, atMs)
}
