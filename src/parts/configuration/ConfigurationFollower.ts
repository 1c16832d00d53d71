import type { Part } from '../Types.js'
import { applyDifference } from './ConfigurationDifference.js'
import { digestOf } from './ConfigurationDigest.js'
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
 * Configuration in force at one node.
 *
 * It never goes back to an older version, whatever it hears and in whatever order. After a start it holds what it
 * hears back and applies nothing until a quorum has confirmed which version is the newest. Later it also applies
 * newer versions from peers, as peers only hold committed ones. A lease counts from the moment at which the last
 * confirmation was asked for; past it the node is `stale`.
 *
 * Memory: two configurations and the versions of `MAX_PEERS` peers.
 */
export class ConfigurationFollower implements Part<FollowerEvent, FollowerAction> {
  private readonly _options: FollowerOptions
  private readonly _peers = new Map<string, Version>()
  private _applied: VersionedConfiguration | undefined
  private _candidate: VersionedConfiguration | undefined
  private _leaseUntilMs = Number.NEGATIVE_INFINITY
  private _told: FollowerState = 'unconfirmed'
  private _askedAtMs = Number.NEGATIVE_INFINITY
  private _askedFor: Version = 0
  private _behindPeer: { from: string, version: Version, sinceMs: number } | undefined
  private _older = 0
  private _contradicting = 0
  private _mismatched = 0

  private readonly _handlers: Handlers = {
    copy: (event, nowMs) => this._takeCopy(event, nowMs),
    difference: (event, nowMs) => this._takeDifference(event, nowMs),
    confirm: (event, nowMs) => this._takeConfirm(event.version, event.askedAtMs, nowMs),
    peerVersion: (event, nowMs) => this._takePeerVersion(event, nowMs),
    tick: (_event, nowMs) => this._askOverdue(nowMs)
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

  /** Events that were refused, counted since the start. */
  public get counters (): FollowerCounters {
    return { older: this._older, contradicting: this._contradicting, mismatched: this._mismatched }
  }

  /**
   * Returns the state at this moment. The host calls it right before guarded work, so that a process that was
   * frozen past its lease does not act on an earlier answer.
   * @param nowMs Monotonic time in milliseconds.
   */
  public state (nowMs: number): FollowerState {
    if (this._applied === undefined) {
      return 'unconfirmed'
    }
    return nowMs < this._leaseUntilMs ? 'current' : 'stale'
  }

  /**
   * Takes one event and returns the actions for the host.
   * @param event What was heard.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: FollowerEvent, nowMs: number): FollowerAction[] {
    const handler = this._handlers[event.type] as (event: FollowerEvent, nowMs: number) => FollowerAction[]
    const actions = handler(event, nowMs)
    return [...actions, ...this._tellState(nowMs)]
  }

  private _takeCopy (event: EventOf<'copy'>, nowMs: number): FollowerAction[] {
    const actions = this._adopt(event.copy)
    return [...actions, ...this._afterNews(event, event.copy.version, nowMs)]
  }

  private _takeDifference (event: EventOf<'difference'>, nowMs: number): FollowerAction[] {
    const { difference } = event
    const base = this._newest()
    if (difference.version <= (base?.version ?? -1)) {
      this._noteOlder(difference.version)
      return this._afterNews(event, difference.version, nowMs)
    }
    const result = base === undefined ? undefined : applyDifference(base, difference)
    if (result?.ok !== true) {
      this._mismatched += 1
      return this._ask(event.from, difference.version, nowMs)
    }
    return [...this._adopt(result.val), ...this._afterNews(event, difference.version, nowMs)]
  }

  private _afterNews (
    event: EventOf<'copy'> | EventOf<'difference'>,
    version: Version,
    nowMs: number
  ): FollowerAction[] {
    return event.confirmed ? this._takeConfirm(version, event.askedAtMs, nowMs) : []
  }

  /** A confirmation proves that nothing newer than its version was committed when it was asked for. */
  private _takeConfirm (version: Version, askedAtMs: number | undefined, nowMs: number): FollowerAction[] {
    const newest = this._newest()
    if (newest === undefined || newest.version < version) {
      return this._ask(CONTROL_SOURCE, version, nowMs)
    }
    if (askedAtMs === undefined && newest.version !== version) {
      this._noteOlder(version)
      return []
    }
    this._leaseUntilMs = Math.max(this._leaseUntilMs, (askedAtMs ?? nowMs) + this._options.leaseMs)
    return this._applyCandidate()
  }

  private _takePeerVersion (event: EventOf<'peerVersion'>, nowMs: number): FollowerAction[] {
    this._notePeer(event.from, event.version)
    const mine = this._newest()?.version ?? 0
    if (event.version < this.version) {
      return [{ type: 'offer', to: event.from, version: this.version }]
    }
    if (event.version > mine && (this._behindPeer?.version ?? mine) < event.version) {
      const sinceMs = this._behindPeer?.sinceMs ?? nowMs
      this._behindPeer = { from: event.from, version: event.version, sinceMs }
    }
    return this._askOverdue(nowMs)
  }

  /** Asks a peer only when control's own difference has not come in time: a whole copy is many times larger. */
  private _askOverdue (nowMs: number): FollowerAction[] {
    const mine = this._newest()?.version ?? 0
    if (this._behindPeer !== undefined && this._behindPeer.version <= mine) {
      this._behindPeer = undefined
    }
    if (this._behindPeer !== undefined && nowMs - this._behindPeer.sinceMs >= this._options.peerCopyDelayMs) {
      return this._ask(this._behindPeer.from, this._behindPeer.version, nowMs)
    }
    if (this._askedFor > mine) {
      return this._ask(CONTROL_SOURCE, this._askedFor, nowMs)
    }
    return []
  }

  private _ask (from: string, version: Version, nowMs: number): FollowerAction[] {
    this._askedFor = Math.max(this._askedFor, version)
    // Before the first change there is nothing to ask for: the node stays unconfirmed.
    if (version === 0 || nowMs - this._askedAtMs < this._options.askRetryMs) {
      return []
    }
    this._askedAtMs = nowMs
    return [{ type: 'askCopy', from }]
  }

  private _adopt (copy: VersionedConfiguration): FollowerAction[] {
    if (!this._isNewer(copy)) {
      return []
    }
    this._askedAtMs = Number.NEGATIVE_INFINITY
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
      this._noteOlder(copy.version)
      return false
    }
    if (copy.version === newest.version) {
      this._contradicting += digestOf(copy) === digestOf(newest) ? 0 : 1
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

  private _noteOlder (version: Version): void {
    if (version < (this._newest()?.version ?? 0)) {
      this._older += 1
    }
  }

  private _notePeer (from: string, version: Version): void {
    this._peers.delete(from)
    this._peers.set(from, version)
    if (this._peers.size > MAX_PEERS) {
      this._peers.delete(this._peers.keys().next().value as string)
    }
  }

  /** Tells some peers that are behind; those told last stand at the end, so that the next change reaches others. */
  private _offerToPeers (version: Version): FollowerAction[] {
    const behind = [...this._peers].filter(([, known]) => known < version).slice(0, MAX_OFFERS)
    return behind.map(([to]) => {
      this._notePeer(to, version)
      return { type: 'offer', to, version }
    })
  }

  private _tellState (nowMs: number): FollowerAction[] {
    const state = this.state(nowMs)
    if (state === this._told) {
      return []
    }
    this._told = state
    return [{ type: 'state', state }]
  }
}
