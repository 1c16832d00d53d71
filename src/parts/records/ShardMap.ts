import xxhash from 'xxhash-wasm'
import type { RecordKey } from './Types.js'

const hasher = await xxhash()

/**
 * Assigns record keys to the replica groups that keep them, by rendezvous hashing: when a group is added, only the
 * keys that move to it change place. A key must not move while it is inside its horizon, so a change of groups
 * takes effect for new keys only after both maps have been asked for one horizon.
 */
export class ShardMap {
  private readonly _groups: readonly string[]

  /**
   * @param groups Names of the groups; the order does not matter.
   */
  public constructor (groups: readonly string[]) {
    if (groups.length === 0) {
      throw new RangeError('a shard map needs at least one group')
    }
    this._groups = [...groups].sort()
  }

  /**
   * Returns the group that keeps a key.
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
