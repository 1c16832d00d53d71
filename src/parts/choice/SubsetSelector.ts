import type { Place } from '../Types.js'
import { hashText } from '../TextHash.js'
import { MIN_COVERAGE } from './Constants.js'
import type { Candidate } from './Types.js'

/** How large a subset is. */
export interface SubsetSize {
  /** Members at least, as far as there are so many. */
  readonly total: number
  /** Share of the members kept for other availability zones, 0 to 1. */
  readonly elsewhereShare: number
  /** Nodes that call the service; few of them need larger subsets to reach every instance. */
  readonly ingressNodes: number
}

/**
 * Picks the instances that one chooser weighs, by rendezvous hashing: each chooser ranks all instances by a hash of
 * its own salt and the instance, so that subsets of many choosers spread evenly and change little when one instance
 * comes or goes.
 */
export class SubsetSelector {
  /**
   * @param _place Place of the ingress node.
   * @param _salt Number that differs between ingress nodes.
   * @param _size How large a subset is.
   */
  public constructor (
    private readonly _place: Place,
    private readonly _salt: number,
    private readonly _size: SubsetSize
  ) {}

  /**
   * @param candidates Instances that may be chosen now.
   * @returns The subset, in an order in which near and far instances are mixed.
   */
  public select (candidates: readonly Candidate[]): Candidate[] {
    const covering = Math.ceil(MIN_COVERAGE * candidates.length / Math.max(1, this._size.ingressNodes))
    const total = Math.max(this._size.total, covering)
    const ranked = this._rank(candidates)
    if (ranked.length <= total) {
      return ranked
    }
    const near = ranked.filter(candidate => this._isNear(candidate))
    const far = ranked.filter(candidate => !this._isNear(candidate))
    const wanted = Math.min(Math.ceil(total * this._size.elsewhereShare), far.length)
    const farCount = Math.max(wanted, total - near.length)
    const kept = new Set([...near.slice(0, total - farCount), ...far.slice(0, farCount)])
    return ranked.filter(candidate => kept.has(candidate))
  }

  private _rank (candidates: readonly Candidate[]): Candidate[] {
    return candidates
      .map(candidate => ({ candidate, hash: hashText(this._salt, candidate.instance) }))
      .sort((first, second) => first.hash - second.hash)
      .map(ranked => ranked.candidate)
  }

  private _isNear (candidate: Candidate): boolean {
    return candidate.place.zone === this._place.zone && candidate.place.region === this._place.region
  }
}
