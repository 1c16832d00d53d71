import type { Part } from '../Types.js'
import { applyDelta } from './ConfigurationDelta.js'
import { computeDigest } from './ConfigurationDigest.js'
import { ASK_RETRY_MS, CONTROL_SOURCE, LEASE_MS, MAX_OFFERS, MAX_PEERS, PEER_COPY_DELAY_MS } from './Constants.js'
import type {
  FollowerAction,
  FollowerCounters,
  FollowerEvent,
  FollowerState,
  Version,
  VersionedConfiguration
} from './Types.js'

/** Durations of the follower in milliseconds. */
export interface FollowerOptions {
  readonly leaseMs: number
  readonly askRetryMs: number
  readonly peerCopyDelayMs: number
}

type EventOf<Type extends FollowerEvent['type']> = Extract<FollowerEvent, { type: Type }>

type Handlers = {
  readonly [Type in FollowerEvent['type']]: (event: EventOf<Type>, nowMs: number) => FollowerAction[]
}

const DEFAULTS: FollowerOptions = {
  leaseMs: LEASE_MS,
  askRetryMs: ASK_RETRY_MS,
  peerCopyDelayMs: PEER_COPY_DELAY_MS
}

/**
 * Decides which version of the configuration is in force at one node, from the copies, differences and confirmations
 * that it receives.
 *
 * The version never goes back, whatever updates arrive and in whatever order. After a start the node keeps received
 * copies without applying them until a quorum has confirmed which version is the newest. Later it also applies newer
 * versions from peers, since peers hold only committed ones. A lease counts from the time at which the last
 * confirmation was requested, or from its receipt when that time is unknown; once it has expired the node is `stale`.
 *
 * Memory: two configurations and the versions of `MAX_PEERS` peers.
 */
export class ConfigurationFollower implements Part<FollowerEvent, FollowerAction> {
  private readonly _options: FollowerOptions
  private readonly _peers = new Map<string, Version>()
  private _applied: VersionedConfiguration | undefined
  private _candidate: VersionedConfiguration | undefined
  private _leaseUntilMs = Number.NEGATIVE_INFINITY
  private _reportedState: FollowerState = 'unconfirmed'
  private _copyRequestedAtMs = Number.NEGATIVE_INFINITY
  private _wantedVersion: Version = 0
  private _newerPeer: { from: string, version: Version, sinceMs: number } | undefined
  private _older = 0
  private _contradicting = 0
  private _mismatched = 0

  private readonly _handlers: Handlers = {
    copy: (event, nowMs) => this._onCopy(event, nowMs),
    difference: (event, nowMs) => this._onDelta(event, nowMs),
    confirm: (event, nowMs) => this._onConfirm(event.version, event.askedAtMs, nowMs),
    peerVersion: (event, nowMs) => this._onPeerVersion(event, nowMs),
    tick: (_event, nowMs) => this._requestOverdueCopy(nowMs)
  }

  /**
   * @param options Durations that replace the defaults.
   */
  public constructor (options: Partial<FollowerOptions> = {}) {
    this._options = { ...DEFAULTS, ...options }
  }

  /** The configuration in force here; undefined until one is confirmed. */
  public get inForce (): VersionedConfiguration | undefined {
    return this._applied
  }

  /** Version in force here, for heartbeats; 0 until one is confirmed. */
  public get version (): Version {
    return this._applied?.version ?? 0
  }

  /** Numbers of updates that were ignored since the start. */
  public get counters (): FollowerCounters {
    return { older: this._older, contradicting: this._contradicting, mismatched: this._mismatched }
  }

  /**
   * Returns the state at this time. The host calls it immediately before guarded work, so that a process that was
   * suspended past its lease does not act on an earlier result.
   * @param nowMs Monotonic time in milliseconds.
   */
  public state (nowMs: number): FollowerState {
    if (this._applied === undefined) {
      return 'unconfirmed'
    }
    return nowMs < this._leaseUntilMs ? 'current' : 'stale'
  }

  /**
   * Handles one event and returns the actions for the host.
   * @param event Event from the host.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: FollowerEvent, nowMs: number): FollowerAction[] {
    const handler = this._handlers[event.type] as (event: FollowerEvent, nowMs: number) => FollowerAction[]
    const actions = handler(event, nowMs)
    return [...actions, ...this._reportState(nowMs)]
  }

  private _onCopy (event: EventOf<'copy'>, nowMs: number): FollowerAction[] {
    const actions = this._acceptCandidate(event.copy)
    return [...actions, ...this._confirmIfQuorum(event, event.copy.version, nowMs)]
  }

  private _onDelta (event: EventOf<'difference'>, nowMs: number): FollowerAction[] {
    const { difference: delta } = event
    const base = this._newest()
    if (delta.version <= (base?.version ?? -1)) {
      this._countOlder(delta.version)
      return this._confirmIfQuorum(event, delta.version, nowMs)
    }
    const result = base === undefined ? undefined : applyDelta(base, delta)
    if (result?.ok !== true) {
      this._mismatched += 1
      return this._requestCopy(event.from, delta.version, nowMs)
    }
    return [...this._acceptCandidate(result.val), ...this._confirmIfQuorum(event, delta.version, nowMs)]
  }

  private _confirmIfQuorum (
    event: EventOf<'copy'> | EventOf<'difference'>,
    version: Version,
    nowMs: number
  ): FollowerAction[] {
    return event.confirmed ? this._onConfirm(version, event.askedAtMs, nowMs) : []
  }

  /** A confirmation proves that no newer version was committed when it was requested. */
  private _onConfirm (version: Version, askedAtMs: number | undefined, nowMs: number): FollowerAction[] {
    const newest = this._newest()
    if (newest === undefined || newest.version < version) {
      return this._requestCopy(CONTROL_SOURCE, version, nowMs)
    }
    if (askedAtMs === undefined && newest.version !== version) {
      this._countOlder(version)
      return []
    }
    this._leaseUntilMs = Math.max(this._leaseUntilMs, (askedAtMs ?? nowMs) + this._options.leaseMs)
    return this._applyCandidate()
  }

  private _onPeerVersion (event: EventOf<'peerVersion'>, nowMs: number): FollowerAction[] {
    this._recordPeer(event.from, event.version)
    const ownVersion = this._newest()?.version ?? 0
    if (event.version < this.version) {
      return [{ type: 'offer', to: event.from, version: this.version }]
    }
    if (event.version > ownVersion && (this._newerPeer?.version ?? ownVersion) < event.version) {
      const sinceMs = this._newerPeer?.sinceMs ?? nowMs
      this._newerPeer = { from: event.from, version: event.version, sinceMs }
    }
    return this._requestOverdueCopy(nowMs)
  }

  /** Requests a copy from a peer only if control's difference is overdue: a full copy is many times larger. */
  private _requestOverdueCopy (nowMs: number): FollowerAction[] {
    const ownVersion = this._newest()?.version ?? 0
    if (this._newerPeer !== undefined && this._newerPeer.version <= ownVersion) {
      this._newerPeer = undefined
    }
    if (this._newerPeer !== undefined && nowMs - this._newerPeer.sinceMs >= this._options.peerCopyDelayMs) {
      return this._requestCopy(this._newerPeer.from, this._newerPeer.version, nowMs)
    }
    if (this._wantedVersion > ownVersion) {
      return this._requestCopy(CONTROL_SOURCE, this._wantedVersion, nowMs)
    }
    return []
  }

  private _requestCopy (from: string, version: Version, nowMs: number): FollowerAction[] {
    this._wantedVersion = Math.max(this._wantedVersion, version)
    // Before the first change there is no copy to request: the node stays unconfirmed.
    if (version === 0 || nowMs - this._copyRequestedAtMs < this._options.askRetryMs) {
      return []
    }
    this._copyRequestedAtMs = nowMs
    return [{ type: 'askCopy', from }]
  }

  private _acceptCandidate (copy: VersionedConfiguration): FollowerAction[] {
    if (!this._isNewer(copy)) {
      return []
    }
    this._copyRequestedAtMs = Number.NEGATIVE_INFINITY
    this._candidate = copy
    return this._applied === undefined ? [] : this._applyCandidate()
  }

  private _applyCandidate (): FollowerAction[] {
    const copy = this._candidate
    if (copy === undefined) {
      return []
    }
    this._candidate = undefined
    this._applied = copy
    return [{ type: 'apply', copy }, ...this._offerToPeers(copy.version)]
  }

  private _isNewer (copy: VersionedConfiguration): boolean {
    const newest = this._newest()
    if (newest === undefined) {
      return copy.version > 0
    }
    if (copy.version < newest.version) {
      this._countOlder(copy.version)
      return false
    }
    if (copy.version === newest.version) {
      this._contradicting += computeDigest(copy) === computeDigest(newest) ? 0 : 1
      return false
    }
    if (copy.term < newest.term) {
      this._contradicting += 1
      return false
    }
    return true
  }

  private _newest (): VersionedConfiguration | undefined {
    return this._candidate ?? this._applied
  }

  private _countOlder (version: Version): void {
    if (version < (this._newest()?.version ?? 0)) {
      this._older += 1
    }
  }

  private _recordPeer (from: string, version: Version): void {
    this._peers.delete(from)
    this._peers.set(from, version)
    if (this._peers.size > MAX_PEERS) {
      this._peers.delete(this._peers.keys().next().value as string)
    }
  }

  /** Offers a version to some peers that are behind; they move to the end, so that the next one goes to others. */
  private _offerToPeers (version: Version): FollowerAction[] {
    const behind = [...this._peers].filter(([, known]) => known < version).slice(0, MAX_OFFERS)
    return behind.map(([to]) => {
      this._recordPeer(to, version)
      return { type: 'offer', to, version }
    })
  }

  private _reportState (nowMs: number): FollowerAction[] {
    const state = this.state(nowMs)
    if (state === this._reportedState) {
      return []
    }
    this._reportedState = state
    return [{ type: 'state', state }]
  }
}
