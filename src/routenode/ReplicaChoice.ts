import type { Random } from '../parts/Types.js'

/**
 * Chooses the control replica that a node connects to next: the one whose last attempt is longest ago, so that none is
 * tried twice while another has not been tried. Of those that were never tried, members go before addresses that only
 * the settings name; the choice between equals is random, so that the nodes of a lost replica spread over the others.
 *
 * Memory: one number for each address of the last list.
 */
export class ReplicaChoice {
  /** Number of the last attempt by address. */
  private _attempts = new Map<string, number>()
  private _lastAttempt = 0

  public constructor (private readonly _random: Random) {}

  /**
   * Returns the address to connect to next.
   * @param addresses At least one.
   * @param members Those of them that are known to belong to the group.
   */
  public next (addresses: readonly string[], members: readonly string[]): string {
    const entries = addresses.map(address => ({
      address,
      attempt: this._attempts.get(address) ?? 0,
      rank: members.includes(address) ? 0 : 1,
      tie: this._random.next()
    }))
    entries.sort((a, b) => a.attempt - b.attempt || a.rank - b.rank || a.tie - b.tie)
    const { address } = entries[0]!
    this._attempts = new Map(entries.map(entry => [entry.address, entry.attempt]))
    this._attempts.set(address, ++this._lastAttempt)
    return address
  }
}
