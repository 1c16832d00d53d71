import type { Departure, InstanceIncarnation } from './Types.js'

/**
 * Most instances of one VM whose departures are remembered. One runs there at a time; a report of an earlier one is
 * under way for seconds, in which no more than a few can have started.
 */
export const MAX_DEPARTURES = 16

/**
 * Departures of the instances of one VM: which incarnations get no more calls. An incarnation is told by its start, so
 * a later start under the same id is not affected.
 *
 * Memory: the ids and starts of `MAX_DEPARTURES` instances, those that left last.
 */
export class DepartureTable {
  /** Latest start of an incarnation that has left, by id, in the order in which they left. */
  private readonly _bornMs = new Map<string, number>()

  /** All departures, the oldest first. */
  public get departures (): Departure[] {
    return [...this._bornMs].map(([id, bornMs]) => ({ id, bornMs }))
  }

  /** Records a departure and returns whether it was new. */
  public record ({ id, bornMs }: Departure): boolean {
    if (this.covers({ id, bornMs })) return false
    this._bornMs.delete(id)
    this._bornMs.set(id, bornMs)
    if (this._bornMs.size > MAX_DEPARTURES) this._bornMs.delete(this._bornMs.keys().next().value as string)
    return true
  }

  /**
   * Returns whether an incarnation has left. One whose start is only assumed counts as the one that has left, since
   * its first report tells soon whether it is a later one.
   */
  public covers ({ id, bornMs, isBornAssumed }: InstanceIncarnation): boolean {
    const leftBornMs = this._bornMs.get(id)
    return leftBornMs !== undefined && (isBornAssumed === true || bornMs <= leftBornMs)
  }
}
