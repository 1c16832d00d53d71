import { differingPaths, makeDelta } from './ConfigurationDelta.js'
import { EMPTY_CONFIGURATION, computeDigest, normalise } from './ConfigurationDigest.js'
import { MAX_HISTORY, MAX_OPERATIONS } from './Constants.js'
import type {
  ChangeReply,
  ChangeRequest,
  CompletedOperation,
  ConfigurationDelta,
  ConfigurationSnapshot,
  Version,
  VersionedConfiguration
} from './Types.js'

/** Limits of the store. They determine the replicated state, so all replicas of a group must use the same ones. */
export interface StoreOptions {
  readonly maxOperations: number
}

const DEFAULTS: StoreOptions = { maxOperations: MAX_OPERATIONS }

const INITIAL_STATE: VersionedConfiguration = { version: 0, term: 0, operation: '', configuration: EMPTY_CONFIGURATION }

/**
 * Replicated store of the configuration in force: a deterministic state machine that every control replica applies in
 * log order.
 *
 * A change is accepted if its base is the version in force. The ids and replies of the last `maxOperations` changes are
 * remembered, also of those that got a conflict, and also across snapshots. A retry of an older change is still not
 * applied twice, since its base is an older version: it gets a conflict instead of its first reply.
 *
 * The store does not validate content, since replicas of different releases must reach the same state. The proposer
 * calls `earlierReply` and then `checkChange`, so that a retry gets its first reply even if validation has become
 * stricter.
 *
 * Memory: one configuration, `maxOperations` ids with their replies, the last difference, and up to `MAX_HISTORY`
 * earlier configurations. Each of these is complete; it shares the objects of unchanged services with a later one only
 * if the submitted changes do.
 */
export class ConfigurationStore {
  private readonly _options: StoreOptions
  private _current: VersionedConfiguration = INITIAL_STATE
  private _operations = new Map<string, CompletedOperation>()
  private _history = new Map<Version, VersionedConfiguration>()
  private _lastDelta: ConfigurationDelta | undefined

  /**
   * @param options Limits that replace the defaults; the same on all replicas of a group.
   */
  public constructor (options: Partial<StoreOptions> = {}) {
    this._options = { ...DEFAULTS, ...options }
  }

  /** The configuration in force at this replica. */
  public get inForce (): VersionedConfiguration {
    return this._current
  }

  /** Number of operation ids that are remembered. */
  public get rememberedOperations (): number {
    return this._operations.size
  }

  /**
   * Applies one committed change and returns the reply to the operator.
   * @param change Change in the log entry.
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
   * Returns the reply to an operation that was applied before, or undefined for a new one. That change is already
   * committed, so the reply can be sent without another log entry.
   * @param change Change as submitted by the operator.
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
   * Returns the difference from an earlier version to the one in force, or undefined if that version is not in the
   * history, so that a full copy is needed: it is too old, older than a restored snapshot, 0, or not an earlier
   * version.
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
   * Replaces the complete state.
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
    // A receiver without any version has no configuration to which a difference could be applied.
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
