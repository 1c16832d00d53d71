/**
 * Clock of a replica group. Group time advances by the monotonic clock of the current leader and never goes back, also
 * when the leader changes or wall clocks jump. It stops while no replica runs, so what expires by it is kept too long
 * rather than too short.
 *
 * Every replica calls `observe` with the time of each entry that it applies; the leader calls `stamp` for new entries.
 */
export class GroupClock {
  private _lastMs = 0
  private _observedAtMs: number | undefined

  /**
   * Records the time of an applied entry or of a restored snapshot.
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
   * Returns the group time for a new entry. The first call, without an observed entry, starts the clock at 0.
   * @param nowMs This replica's monotonic time in milliseconds.
   */
  public stamp (nowMs: number): number {
    if (this._observedAtMs === undefined) {
      this._observedAtMs = nowMs
    }
    return this._lastMs + Math.max(0, nowMs - this._observedAtMs)
  }
}
