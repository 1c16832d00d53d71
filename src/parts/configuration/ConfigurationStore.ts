import { differingPaths, makeDelta } from './ConfigurationDelta.js'
import { EMPTY_CONFIGURATION, computeDigest, normalise } from './ConfigurationDigest.js'
import { MAX_HISTORY, MAX_OPERATIONS } from './Constants.js'
import type {
  ChangeReply,
  ChangeRequest,
  ConfigurationDelta,
  ConfigurationSnapshot,
  CompletedOperation,
  Version,
  VersionedConfiguration
} from './Types.js'

/** Limits of the register. They are replicated state: all replicas of a group start with the same ones. */
export interface StoreOptions {
  readonly maxOperations: number
}

const DEFAULTS: StoreOptions = { maxOperations: MAX_OPERATIONS }

const INITIAL_STATE: VersionedConfiguration = { version: 0, term: 0, operation: '', configuration: EMPTY_CONFIGURATION }

/**
 * Configuration in force, as a deterministic state machine that every control replica applies in log order.
 *
 * A change is accepted when its base is the version in force. Operation ids are remembered for the last
 * `maxOperations` changes that were applied, also through snapshots; past that horizon a repeated change is still
 * not applied twice, as its base is an older version: it gets a conflict in place of the first's reply.
 *
 * The register does not check content, since replicas of different releases must come to the same state: the
 * proposer calls `checkChange` first, and `replyOf` before that, so that a repeat gets the first's reply even when
 * checks have become stricter.
 *
 * Memory: one configuration, `maxOperations` ids with their replies, and `MAX_HISTORY` earlier configurations,
 * which share unchanged services only when the proposer's copies do.
 */
export class ConfigurationStore {
  private readonly _options: StoreOptions
  private _current: VersionedConfiguration = INITIAL_STATE
  private _operations = new Map<string, CompletedOperation>()
  private _history = new Map<Version, VersionedConfiguration>()
  private _lastDelta: ConfigurationDelta | undefined

  /**
   * @param options Limits; the same on all replicas of a group.
   */
  public constructor (options: Partial<StoreOptions> = {}) {
    this._options = { ...DEFAULTS, ...options }
  }

  /** The configuration in force at this replica. */
  public get inForce (): VersionedConfiguration {
    return this._current
  }

  /** Operation ids that are remembered. */
  public get rememberedOperations (): number {
    return this._operations.size
  }

  /**
   * Applies one committed change and returns the operator's reply.
   * @param change Change as it stands in the log entry.
   * @param term Term of the log entry.
   */
  public apply (change: ChangeRequest, term: number): ChangeReply {
    const earlier = this.earlierReply(change)
    if (earlier !== undefined) {
      return earlier
    }
    const reply = this._decide(change, term)
    this._remember({ operation: change.operation, content: changeDigest(change), reply })
    return reply
  }

  /**
   * Returns the reply to a repeated operation, or undefined for a new one. What it returns is committed.
   * @param change Change as the operator sent it.
   */
  public earlierReply (change: ChangeRequest): ChangeReply | undefined {
    const earlier = this._operations.get(change.operation)
    if (earlier === undefined) {
      return undefined
    }
    if (earlier.content !== changeDigest(change)) {
      return { type: 'operationReused', version: versionInReply(earlier.reply) }
    }
    return earlier.reply
  }

  /**
   * Returns the difference from an earlier version to the one in force, or undefined when the earlier one is no
   * longer at hand and a whole copy is needed.
   * @param version Version that the receiver has in force.
   */
  public deltaFrom (version: Version): ConfigurationDelta | undefined {
    if (this._lastDelta?.from === version && this._lastDelta.version === this._current.version) {
      return this._lastDelta
    }
    const from = this._history.get(version)
    if (from === undefined) {
      return undefined
    }
    this._lastDelta = makeDelta(from, this._current)
    return this._lastDelta
  }

  /** Returns the replicated state as plain data. */
  public snapshot (): ConfigurationSnapshot {
    return { format: 1, inForce: this._current, operations: [...this._operations.values()] }
  }

  /**
   * Replaces the whole state.
   * @param snapshot State from `snapshot`, of this or another replica.
   */
  public restore (snapshot: ConfigurationSnapshot): void {
    this._current = snapshot.inForce
    this._operations = new Map(snapshot.operations.map((operation) => [operation.operation, operation]))
    this._history = new Map()
    this._lastDelta = undefined
  }

  private _decide (change: ChangeRequest, term: number): ChangeReply {
    const inForce = this._current.version
    if (change.base !== inForce) {
      return { type: 'conflict', inForce, differs: differingPaths(change.configuration, this._current.configuration) }
    }
    this._recordHistory()
    const configuration = normalise(change.configuration)
    this._current = { version: inForce + 1, term, operation: change.operation, configuration }
    return { type: 'accepted', version: inForce + 1 }
  }

  private _recordHistory (): void {
    // A receiver without any version has nothing that a difference could start from.
    if (this._current.version === 0) {
      return
    }
    this._history.set(this._current.version, this._current)
    this._history.delete(this._current.version - MAX_HISTORY)
  }

  private _remember (operation: CompletedOperation): void {
    this._operations.set(operation.operation, operation)
    if (this._operations.size > this._options.maxOperations) {
      const oldest = this._operations.keys().next().value as string
      this._operations.delete(oldest)
    }
  }
}

function changeDigest (change: ChangeRequest): string {
  return computeDigest({ base: change.base, configuration: normalise(change.configuration) })
}

function versionInReply (reply: ChangeReply): Version {
  if (reply.type === 'accepted' || reply.type === 'operationReused') {
    return reply.version
  }
  return reply.type === 'conflict' ? reply.inForce : 0
}
