import xxhash from 'xxhash-wasm'
import type { RecordKey } from './Types.js'

const hasher = await xxhash()

/**
 * Assigns record keys to the replica groups that store them, by rendezvous hashing: a new group takes over its share of
 * the keys, and all other keys stay where they are. A key must not move within its retention time (`horizonMs` of the
 * ledger), so after a change of groups both the old and the new map must be consulted for one retention time before new
 * keys follow the new map alone.
 */
export class ShardMap {
  private readonly _groups: readonly string[]

  /**
   * @param groups Names of the groups in any order.
   * @throws RangeError when there is no group.
   */
  public constructor (groups: readonly string[]) {
    if (groups.length === 0) {
      throw new RangeError('a shard map needs at least one group')
    }
    this._groups = [...groups].sort()
  }

  /**
   * Returns the name of the group that stores a key.
   * @param record Service and key.
   */
  public findGroup (record: RecordKey): string {
    const text = `${record.service}\n${record.key}`
    let best = this._groups[0] as string
    let bestScore = -1
    for (const group of this._groups) {
      const score = hasher.h32(`${group}\n${text}`)
      if (score > bestScore) {
        best = group
        bestScore = score
      }
    }
    return best
  }
}
