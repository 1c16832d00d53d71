import type { InstanceId, Place } from '../Types.js'
import type { Candidate } from './Types.js'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** How large a subset is. */
export interface SubsetSize {
  readonly total: number
  /** Members kept for other availability zones. */
  readonly elsewhere: number
}

/**
 * Picks the instances that one chooser weighs, by rendezvous hashing: each chooser ranks all instances by a hash of
 * its own salt and the instance, so that subsets of many choosers spread evenly and change little when one instance
 * comes or goes.
 */
export class SubsetSelector {
  /**
   * @param place Place of the ingress node.
   * @param salt Number that differs between ingress nodes.
   * @param size How large a subset is.
   */
  public constructor (
    private readonly place: Place,
    private readonly salt: number,
    private readonly size: SubsetSize
  ) {}

  /** @param candidates Instances that may be chosen now. */
  public select (candidates: readonly Candidate[]): Candidate[] {
    if (candidates.length <= this.size.total) {
      return [...candidates]
    }
    const ranked = this.rank(candidates)
    const near = ranked.filter(candidate => this.isNear(candidate))
    const far = ranked.filter(candidate => !this.isNear(candidate))
    const farCount = Math.max(Math.min(this.size.elsewhere, far.length), this.size.total - near.length)
    return [...near.slice(0, this.size.total - farCount), ...far.slice(0, farCount)]
  }

  private rank (candidates: readonly Candidate[]): Candidate[] {
    return candidates
      .map(candidate => ({ candidate, hash: hashOf(this.salt, candidate.instance) }))
      .sort((first, second) => first.hash - second.hash)
      .map(ranked => ranked.candidate)
  }

  private isNear (candidate: Candidate): boolean {
    return candidate.place.zone === this.place.zone && candidate.place.region === this.place.region
  }
}

/** Mixes the salt and the instance to 32 bits. */
function hashOf (salt: number, instance: InstanceId): number {
  let hash = FNV_OFFSET ^ salt
  for (let index = 0; index < instance.length; index++) {
    hash = Math.imul(hash ^ instance.charCodeAt(index), FNV_PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
