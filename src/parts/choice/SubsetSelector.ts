import type { ProcessLocation } from '../Types.js'
import { hashText } from '../TextHash.js'
import { MIN_COVERAGE } from './Constants.js'
import type { Candidate } from './Types.js'

/** Size of a subset. */
export interface SubsetSize {
  /** Smallest number of instances, if there are as many. */
  readonly minSize: number
  /** Share of the instances reserved for other availability zones, 0 to 1. */
  readonly elsewhereShare: number
  /** Number of ingress nodes that call the service; few nodes need larger subsets to reach every instance. */
  readonly ingressNodes: number
}

/**
 * Selects the subset of instances that one chooser uses, by rendezvous hashing: each chooser ranks all instances by a
 * hash of its own salt and the instance, so that the subsets of many choosers cover the instances evenly and change
 * little when one instance joins or leaves.
 */
export class SubsetSelector {
  /**
   * @param _place Location of the ingress node.
   * @param _salt Number that differs between ingress nodes.
   * @param _size Size of the subset.
   */
  public constructor (
    private readonly _place: ProcessLocation,
    private readonly _salt: number,
    private readonly _size: SubsetSize
  ) {}

  /**
   * Selects the subset.
   * @param candidates Instances that may be chosen now.
   * @returns The subset in the order of the hashes, which mixes instances of all availability zones.
   */
  public select (candidates: readonly Candidate[]): Candidate[] {
    const coverageSize = Math.ceil(MIN_COVERAGE * candidates.length / Math.max(1, this._size.ingressNodes))
    const size = Math.max(this._size.minSize, coverageSize)
    const ranked = this._rank(candidates)
    if (ranked.length <= size) {
      return ranked
    }
    const sameZone = ranked.filter(candidate => this._isInSameZone(candidate))
    const otherZones = ranked.filter(candidate => !this._isInSameZone(candidate))
    const reservedCount = Math.min(Math.ceil(size * this._size.elsewhereShare), otherZones.length)
    const otherZonesCount = Math.max(reservedCount, size - sameZone.length)
    const selected = new Set([...sameZone.slice(0, size - otherZonesCount), ...otherZones.slice(0, otherZonesCount)])
    return ranked.filter(candidate => selected.has(candidate))
  }

  private _rank (candidates: readonly Candidate[]): Candidate[] {
    return candidates
      .map(candidate => ({ candidate, hash: hashText(this._salt, candidate.instance) }))
      .sort((first, second) => first.hash - second.hash)
      .map(ranked => ranked.candidate)
  }

  private _isInSameZone (candidate: Candidate): boolean {
    return candidate.place.zone === this._place.zone && candidate.place.region === this._place.region
  }
}
