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
  private readonly options: FollowerOptions
  private readonly peers = new Map<string, Version>()
  private applied: VersionedConfiguration | undefined
  private candidate: VersionedConfiguration | undefined
  private leaseUntilMs = Number.NEGATIVE_INFINITY
  private told: FollowerState = 'unconfirmed'
  private askedAtMs = Number.NEGATIVE_INFINITY
  private askedFor: Version = 0
  private behindPeer: { from: string, version: Version, sinceMs: number } | undefined
  private older = 0
  private contradicting = 0
  private mismatched = 0

  private readonly handlers: Handlers = {
    copy: (event, nowMs) => this.takeCopy(event, nowMs),
    difference: (event, nowMs) => this.takeDifference(event, nowMs),
    confirm: (event, nowMs) => this.takeConfirm(event.version, event.askedAtMs, nowMs),
    peerVersion: (event, nowMs) => this.takePeerVersion(event, nowMs),
    tick: (_event, nowMs) => this.askOverdue(nowMs)
  }

  /**
   * @param options Durations that replace the defaults.
   */
  public constructor (options: Partial<FollowerOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
  }

  /** The configuration in force here; undefined until one is confirmed. */
  public get inForce (): VersionedConfiguration | undefined {
    return this.applied
  }

  /** Version in force here, for heartbeats; 0 until one is confirmed. */
  public get version (): Version {
    return this.applied?.version ?? 0
  }

  /** Events that were refused, counted since the start. */
  public get counters (): FollowerCounters {
    return { older: this.older, contradicting: this.contradicting, mismatched: this.mismatched }
  }

  /**
   * Returns the state at this moment. The host calls it right before guarded work, so that a process that was
   * frozen past its lease does not act on an earlier answer.
   * @param nowMs Monotonic time in milliseconds.
   */
  public state (nowMs: number): FollowerState {
    if (this.applied === undefined) {
      return 'unconfirmed'
    }
    return nowMs < this.leaseUntilMs ? 'current' : 'stale'
  }

  /**
   * Takes one event and returns the actions for the host.
   * @param event What was heard.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: FollowerEvent, nowMs: number): FollowerAction[] {
    const handler = this.handlers[event.type] as (event: FollowerEvent, nowMs: number) => FollowerAction[]
    const actions = handler(event, nowMs)
    return [...actions, ...this.tellState(nowMs)]
  }

  private takeCopy (event: EventOf<'copy'>, nowMs: number): FollowerAction[] {
    const actions = this.adopt(event.copy)
    return [...actions, ...this.afterNews(event, event.copy.version, nowMs)]
  }

  private takeDifference (event: EventOf<'difference'>, nowMs: number): FollowerAction[] {
    const { difference } = event
    const base = this.newest()
    if (difference.version <= (base?.version ?? -1)) {
      this.noteOlder(difference.version)
      return this.afterNews(event, difference.version, nowMs)
    }
    const result = base === undefined ? undefined : applyDifference(base, difference)
    if (result?.ok !== true) {
      this.mismatched += 1
      return this.ask(event.from, difference.version, nowMs)
    }
    return [...this.adopt(result.val), ...this.afterNews(event, difference.version, nowMs)]
  }

  private afterNews (
    event: EventOf<'copy'> | EventOf<'difference'>,
    version: Version,
    nowMs: number
  ): FollowerAction[] {
    return event.confirmed ? this.takeConfirm(version, event.askedAtMs, nowMs) : []
  }

  /** A confirmation proves that nothing newer than its version was committed when it was asked for. */
  private takeConfirm (version: Version, askedAtMs: number | undefined, nowMs: number): FollowerAction[] {
    const newest = this.newest()
    if (newest === undefined || newest.version < version) {
      return this.ask(CONTROL_SOURCE, version, nowMs)
    }
    if (askedAtMs === undefined && newest.version !== version) {
      this.noteOlder(version)
      return []
    }
    this.leaseUntilMs = Math.max(this.leaseUntilMs, (askedAtMs ?? nowMs) + this.options.leaseMs)
    return this.applyCandidate()
  }

  private takePeerVersion (event: EventOf<'peerVersion'>, nowMs: number): FollowerAction[] {
    this.notePeer(event.from, event.version)
    const mine = this.newest()?.version ?? 0
    if (event.version < this.version) {
      return [{ type: 'offer', to: event.from, version: this.version }]
    }
    if (event.version > mine && (this.behindPeer?.version ?? mine) < event.version) {
      const sinceMs = this.behindPeer?.sinceMs ?? nowMs
      this.behindPeer = { from: event.from, version: event.version, sinceMs }
    }
    return this.askOverdue(nowMs)
  }

  /** Asks a peer only when control's own difference has not come in time: a whole copy is many times larger. */
  private askOverdue (nowMs: number): FollowerAction[] {
    const mine = this.newest()?.version ?? 0
    if (this.behindPeer !== undefined && this.behindPeer.version <= mine) {
      this.behindPeer = undefined
    }
    if (this.behindPeer !== undefined && nowMs - this.behindPeer.sinceMs >= this.options.peerCopyDelayMs) {
      return this.ask(this.behindPeer.from, this.behindPeer.version, nowMs)
    }
    if (this.askedFor > mine) {
      return this.ask(CONTROL_SOURCE, this.askedFor, nowMs)
    }
    return []
  }

  private ask (from: string, version: Version, nowMs: number): FollowerAction[] {
    this.askedFor = Math.max(this.askedFor, version)
    // Before the first change there is nothing to ask for: the node stays unconfirmed.
    if (version === 0 || nowMs - this.askedAtMs < this.options.askRetryMs) {
      return []
    }
    this.askedAtMs = nowMs
    return [{ type: 'askCopy', from }]
  }

  private adopt (copy: VersionedConfiguration): FollowerAction[] {
    if (!this.isNewer(copy)) {
      return []
    }
    this.askedAtMs = Number.NEGATIVE_INFINITY
    this.candidate = copy
    return this.applied === undefined ? [] : this.applyCandidate()
  }

  private applyCandidate (): FollowerAction[] {
    const copy = this.candidate
    if (copy === undefined) {
      return []
    }
    this.candidate = undefined
    this.applied = copy
    return [{ type: 'apply', copy }, ...this.offerToPeers(copy.version)]
  }

  private isNewer (copy: VersionedConfiguration): boolean {
    const newest = this.newest()
    if (newest === undefined) {
      return copy.version > 0
    }
    if (copy.version < newest.version) {
      this.noteOlder(copy.version)
      return false
    }
    if (copy.version === newest.version) {
      this.contradicting += digestOf(copy) === digestOf(newest) ? 0 : 1
      return false
    }
    if (copy.term < newest.term) {
      this.contradicting += 1
      return false
    }
    return true
  }

  private newest (): VersionedConfiguration | undefined {
    return this.candidate ?? this.applied
  }

  private noteOlder (version: Version): void {
    if (version < (this.newest()?.version ?? 0)) {
      this.older += 1
    }
  }

  private notePeer (from: string, version: Version): void {
    this.peers.delete(from)
    this.peers.set(from, version)
    if (this.peers.size > MAX_PEERS) {
      this.peers.delete(this.peers.keys().next().value as string)
    }
  }

  /** Tells some peers that are behind; those told last stand at the end, so that the next change reaches others. */
  private offerToPeers (version: Version): FollowerAction[] {
    const behind = [...this.peers].filter(([, known]) => known < version).slice(0, MAX_OFFERS)
    return behind.map(([to]) => {
      this.notePeer(to, version)
      return { type: 'offer', to, version }
    })
  }

  private tellState (nowMs: number): FollowerAction[] {
    const state = this.state(nowMs)
    if (state === this.told) {
      return []
    }
    this.told = state
    return [{ type: 'state', state }]
  }
}
