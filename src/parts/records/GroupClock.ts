/**
 * Time of a replica group: it advances only by the monotonic clock of whoever leads and never goes back, also when
 * the leader changes or wall clocks jump. It stands still while no replica runs, so that what expires by it is kept
 * too long rather than too short.
 *
 * Every replica observes the time of each entry that it applies; the leader stamps new entries with `stamp`.
 */
export class GroupClock {
  private _lastMs = 0
  private _observedAtMs: number | undefined

  /**
   * Takes note of the time of an applied entry, or of a restored snapshot.
   * @param atMs Group time of the entry in milliseconds.
   * @param nowMs This replica's monotonic time in milliseconds.
   */
  public observe (atMs: number, nowMs: number): void {
    if (this._observedAtMs === undefined || atMs > this.stamp(nowMs)) {
      this._lastMs = Math.max(this._lastMs, atMs)
      this._observedAtMs = nowMs
    }
  }

  /**
   * Returns the group time for a new entry.
   * @param nowMs This replica's monotonic time in milliseconds.
   */
  public stamp (nowMs: number): number {
    if (this._observedAtMs === undefined) {
      this._observedAtMs = nowMs
    }
    return this._lastMs + Math.max(0, nowMs - this._observedAtMs)
  }
}
