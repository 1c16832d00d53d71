import { ConfigurationSize } from './ConfigurationSize.js'
import {
  DEFAULT_CALLER_LIMITS, MAX_ACCEPTED_CHANGES, MAX_CONFIGURATION_BYTES, MAX_DELTAS, MIN_DELTA_ITEMS
} from './Constants.js'
import { findHostClashes, validateRouting } from './RoutingValidation.js'
import { applyPatch, computeDelta, countDeltaItems, countItems } from './RoutingDelta.js'
import type {
  Finding, RoutingChange, RoutingConfiguration, RoutingDelta, RoutingReply, RoutingSnapshot, VersionedRouting
} from './Types.js'

const EMPTY_ROUTING: VersionedRouting = {
  version: 0,
  configuration: { routes: [], services: [], limits: DEFAULT_CALLER_LIMITS }
}

/**
 * Versioned store of the routing configuration in force: a deterministic state machine to which every control replica
 * applies committed changes in log order. A change is accepted when its base is the version in force, its own version
 * is above it, and the result is valid. A change with the content of one of the last `MAX_ACCEPTED_CHANGES` accepted
 * ones is acknowledged again, even after later changes.
 *
 * Memory: one configuration, `MAX_ACCEPTED_CHANGES` digests, and at most `MAX_DELTAS` deltas that together hold no more
 * items than the configuration, or `MIN_DELTA_ITEMS` if that is more.
 */
export class RoutingStore {
  private _current = EMPTY_ROUTING
  private _accepted = new Map<string, number>()
  private _deltas: RoutingDelta[] = []
  private readonly _size = new ConfigurationSize()

  /** The configuration in force; version 0 before the first. */
  public get inForce (): VersionedRouting {
    return this._current
  }

  /**
   * Returns whether a decision on a change holds for all its copies, as several copies of one call may be on their way
   * to different replicas. That is so once the base is in force or below it, as versions only increase. A conflict with
   * a base that is yet to come would refuse a change of which a later copy is accepted.
   */
  public canDecide ({ base }: RoutingChange): boolean {
    return base <= this._current.version
  }

  /**
   * Checks a change that isn't in the log yet by rules that `apply` lacks: replicas of several releases must decide
   * each entry of a log alike, so `apply` can't have new rules. The result is exact: a change that passes is applied to
   * the version in force now, or gets a conflict.
   * @returns All findings.
   */
  public check (change: RoutingChange): Finding[] {
    const { version, configuration } = this._current
    if (change.base !== version) return []
    const next = applyChange(change, configuration)
    // What an earlier release has accepted must not keep other changes out.
    const clashes = findHostClashes(configuration).length === 0 ? findHostClashes(next) : []
    return [...clashes, ...this._checkSize(configuration, next)]
  }

  /**
   * Checks a change by what holds on any base, so that it can be refused for good although its base isn't in force.
   * @returns All findings.
   */
  public checkOnAnyBase (change: RoutingChange): Finding[] {
    const findings = change.type === 'replace' ? validateRouting(change.configuration) : []
    if (change.version > change.base) return findings
    return [...findings, { place: 'version', problem: `is ${change.version}`, expected: `above ${change.base}, its base` }]
  }

  /**
   * Applies one committed change.
   * @param change The change.
   * @param digest Hash of the complete change; equal for equal content.
   */
  public apply (change: RoutingChange, digest: string): RoutingReply {
    const earlier = this._accepted.get(digest)
    if (earlier !== undefined) return { type: 'accepted', version: earlier }
    const inForce = this._current.version
    if (change.base !== inForce) return { type: 'conflict', inForce }
    const configuration = applyChange(change, this._current.configuration)
    const findings = validateRouting(configuration)
    if (change.version <= inForce) {
      findings.push({ place: 'version', problem: `is ${change.version}`, expected: `above ${inForce}, the version in force` })
    }
    if (findings.length > 0) return { type: 'invalid', findings }
    this._accept({ version: change.version, configuration }, digest)
    return { type: 'accepted', version: change.version }
  }

  /**
   * Returns the deltas from a version to the one in force, or undefined when the receiver needs a full copy.
   * @param version Version that the receiver has.
   */
  public deltasSince (version: number): readonly RoutingDelta[] | undefined {
    if (version === this._current.version) return []
    const start = this._deltas.findIndex(delta => delta.from === version)
    return start < 0 ? undefined : this._deltas.slice(start)
  }

  /** Returns the replicated state as plain data. */
  public snapshot (): RoutingSnapshot {
    return { format: 1, inForce: this._current, accepted: [...this._accepted] }
  }

  /**
   * Replaces the complete state.
   * @param snapshot State of this or another replica; undefined for the state before any change.
   */
  public restore (snapshot: RoutingSnapshot | undefined): void {
    this._current = snapshot?.inForce ?? EMPTY_ROUTING
    this._accepted = new Map(snapshot?.accepted)
    this._deltas = []
  }

  private _checkSize (current: RoutingConfiguration, next: RoutingConfiguration): Finding[] {
    const bytes = this._size.measure(next)
    if (bytes <= MAX_CONFIGURATION_BYTES || bytes <= this._size.measure(current)) return []
    const expected = `at most ${MAX_CONFIGURATION_BYTES} bytes`
    return [{ place: 'configuration', problem: `has ${bytes} bytes after the change`, expected }]
  }

  private _accept (next: VersionedRouting, digest: string): void {
    // A delta can't say that a configuration has no workspaces any more, which differs from having none at present.
    const hadWorkspaces = this._current.configuration.workspaces !== undefined
    if (hadWorkspaces && next.configuration.workspaces === undefined) this._deltas = []
    else this._deltas.push(computeDelta(this._current, next))
    this._current = next
    this._dropCostlyDeltas()
    this._accepted.set(digest, next.version)
    if (this._accepted.size <= MAX_ACCEPTED_CHANGES) return
    const oldest = this._accepted.keys().next().value as string
    this._accepted.delete(oldest)
  }

  /** Drops the oldest deltas that cost a receiver more than a full copy. */
  private _dropCostlyDeltas (): void {
    const maxItems = Math.max(MIN_DELTA_ITEMS, countItems(this._current.configuration))
    let items = 0
    const firstCheap = 1 + this._deltas.findLastIndex((delta, index) => {
      items += countDeltaItems(delta)
      return items > maxItems || this._deltas.length - index > MAX_DELTAS
    })
    this._deltas.splice(0, firstCheap)
  }
}

function applyChange (change: RoutingChange, current: RoutingConfiguration): RoutingConfiguration {
  return change.type === 'replace' ? change.configuration : applyPatch(current, change)
}
