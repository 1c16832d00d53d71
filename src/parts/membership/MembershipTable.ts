import type { NodeId, Part, ServiceName } from '../Types.js'
import {
  DIGEST_INTERVAL_MS, FREEZE_THRESHOLD_MS, HEARTBEAT_RELAY_INTERVAL_MS, MAX_MEMBERS, MAX_TOMBSTONES,
  MISSING_MEMBER_TIMEOUT_MS, NODE_LEASE_MS, TOMBSTONE_RETENTION_MS, WARM_UP_MS
} from './Constants.js'
import { MemberDistribution } from './MemberDistribution.js'
import { isLive, isPresent, type MemberChange, MemberStore, toWireMember } from './MemberStore.js'
import type { Heartbeat, Member, MembershipAction, MembershipEvent, ServiceDigest, TableRole } from './Types.js'

/** Role, durations in milliseconds and bounds of the table. */
export interface TableOptions {
  readonly role: TableRole
  /** Node whose member this table owns; empty in a replica. */
  readonly self: NodeId
  /** A node without a heartbeat for this long counts as silent. */
  readonly leaseMs: number
  /** How long members that left or went silent are kept. */
  readonly tombstoneMs: number
  readonly maxTombstones: number
  readonly maxMembers: number
  /** Interval at which a replica relays heartbeats, and at which expired tombstones are removed. */
  readonly beatIntervalMs: number
  readonly digestIntervalMs: number
  /** A replica sends no digests and marks no service as complete for this long after its start. */
  readonly warmUpMs: number
  /** A node removes a member that its control replica has not listed for this long. */
  readonly missingMs: number
  /** A longer pause between two ticks means that this process was frozen. */
  readonly frozenMs: number
}

/** Counters for the state dump and for metrics. */
export interface TableCounters {
  /** Updates that were dropped because a higher (incarnation, sequence) was known. */
  readonly stale: number
  /** New members that were dropped because the table was full. */
  readonly overflow: number
  /** Ticks so late that all leases were extended. */
  readonly frozen: number
}

type EventOf<Type extends MembershipEvent['type']> = Extract<MembershipEvent, { type: Type }>

type Handlers = {
  readonly [Type in MembershipEvent['type']]: (event: EventOf<Type>, nowMs: number) => MembershipAction[]
}

const DEFAULT_OPTIONS: TableOptions = {
  role: 'node',
  self: '',
  leaseMs: NODE_LEASE_MS,
  tombstoneMs: TOMBSTONE_RETENTION_MS,
  maxTombstones: MAX_TOMBSTONES,
  maxMembers: MAX_MEMBERS,
  beatIntervalMs: HEARTBEAT_RELAY_INTERVAL_MS,
  digestIntervalMs: DIGEST_INTERVAL_MS,
  warmUpMs: WARM_UP_MS,
  missingMs: MISSING_MEMBER_TIMEOUT_MS,
  frozenMs: FREEZE_THRESHOLD_MS
}

/**
 * Upstreams with their nodes, as known at one node or control replica.
 *
 * Announcements are ordered by (incarnation, sequence), heartbeats by (incarnation, sequence, beat); silence wins over
 * liveness only at the same heartbeat. Both orders are total, so tables that receive the same updates in any order and
 * with any duplicates converge, and an older update never replaces a newer one. A silent node becomes present again
 * with a later heartbeat; one that left is added again only with a higher sequence or incarnation.
 *
 * Memory: `maxMembers` members, `maxTombstones` members that left, and those of `MemberDistribution`.
 */
export class MembershipTable implements Part<MembershipEvent, MembershipAction> {
  private readonly _options: TableOptions
  private readonly _store: MemberStore
  private readonly _distribution: MemberDistribution
  private _startedAtMs: number | undefined
  private _lastTickAtMs: number | undefined
  private _earliestLeaseStartMs = Number.NEGATIVE_INFINITY
  private _nextHeartbeatsAtMs = 0
  private _nextCleanupAtMs = 0
  private _nextDigestsAtMs = 0
  private _freezeCount = 0

  private readonly _handlers: Handlers = {
    announce: (event, nowMs) => this._mergeMember(event.member, undefined, nowMs),
    heartbeat: (event, nowMs) => this._handleHeartbeat(event, nowMs),
    merge: (event, nowMs) => this._handleMerge(event, nowMs),
    beats: (event, nowMs) => event.beats.flatMap((beat) => this._applyHeartbeat(beat, nowMs)),
    interest: (event, nowMs) => {
      this._distribution.subscribe(event, nowMs)
      return []
    },
    digest: (event) => this._distribution.compareDigests(event),
    lost: (event) => {
      this._distribution.unsubscribe(event.from)
      return []
    },
    tick: (_event, nowMs) => this._handleTick(nowMs)
  }

  /**
   * @param options Role, durations and bounds that replace the defaults.
   */
  public constructor (options: Partial<TableOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
    this._store = new MemberStore(this._options)
    const { role, self } = this._options
    this._distribution = new MemberDistribution(this._store, role, self, () => this._isWarmedUp())
  }

  /** Dropped updates and late ticks since the start. */
  public get counters (): TableCounters {
    return { stale: this._store.stale, overflow: this._store.overflow, frozen: this._freezeCount }
  }

  /**
   * Returns the members of a service that are neither silent nor left.
   * @param service Service.
   */
  public membersOf (service: ServiceName): Member[] {
    return this._store.getEntries(service).filter(isPresent).map((entry) => entry.member)
  }

  /** Returns all members with their liveness, also those that are silent or have left, for the state dump. */
  public members (): Member[] {
    return this._store.all().map(toWireMember)
  }

  /** Returns the digests of all services, to be sent with a new interest. */
  public digests (): ServiceDigest[] {
    return this._store.index.names().map((service) => this._store.index.getDigest(service))
  }

  /**
   * Applies one event and returns the actions for the host.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: MembershipEvent, nowMs: number): MembershipAction[] {
    this._startedAtMs ??= nowMs
    const handler = this._handlers[event.type] as (event: MembershipEvent, nowMs: number) => MembershipAction[]
    const actions = handler(event, nowMs)
    return [...actions, ...this._distribution.flush(nowMs)]
  }

  private _handleHeartbeat (event: EventOf<'heartbeat'>, nowMs: number): MembershipAction[] {
    const entry = this._store.get(event.node)
    if (entry === undefined) {
      return []
    }
    const { node, incarnation, sequence } = event
    const isKnownSequence = entry.heartbeat.incarnation === incarnation && entry.heartbeat.sequence === sequence
    entry.receivedDirectly = true
    return this._applyHeartbeat(
      { node, incarnation, sequence, beat: isKnownSequence ? entry.heartbeat.beat + 1 : 1 }, nowMs
    )
  }

  private _handleMerge (event: EventOf<'merge'>, nowMs: number): MembershipAction[] {
    const actions = event.members.flatMap((member) => this._mergeMember(member, event.from, nowMs))
    if (this._options.role === 'node' && event.whole !== undefined) {
      const live = event.members.filter(isLive).map((member) => member.node)
      actions.push(...this._removeMissing(event.whole, new Set(live), nowMs))
    }
    return actions
  }

  /** Merges a member from its own announcement (`from` undefined) or from a peer. */
  private _mergeMember (member: Member, from: string | undefined, nowMs: number): MembershipAction[] {
    if (this._options.role === 'node' && member.node === this._options.self && from !== undefined) {
      return []
    }
    return this._publishChange(this._store.merge(member, from === undefined, nowMs), from)
  }

  private _applyHeartbeat (heartbeat: Heartbeat, nowMs: number): MembershipAction[] {
    return this._publishChange(this._store.applyHeartbeat(heartbeat, nowMs), undefined)
  }

  /** Queues a change for the peers that subscribed to its service, and returns the actions for the host. */
  private _publishChange (change: MemberChange | undefined, from: string | undefined): MembershipAction[] {
    if (change === undefined) {
      return []
    }
    if (change.isVisible || change.isNewer) {
      this._distribution.queueChange(change, from)
    }
    return change.actions
  }

  /**
   * Removes members that the control replica has not listed as live for `missingMs`. It may know such a member only as
   * silent in an older sequence, when the replica that received the newer one is gone.
   */
  private _removeMissing (
    services: readonly ServiceName[],
    live: ReadonlySet<NodeId>,
    nowMs: number
  ): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const entry of services.flatMap((service) => this._store.getEntries(service))) {
      const node = entry.member.node
      if (live.has(node) || node === this._options.self || !isPresent(entry)) {
        continue
      }
      entry.missingSinceMs ??= nowMs
      if (nowMs - entry.missingSinceMs >= this._options.missingMs) {
        this._store.remove(entry)
        actions.push({ type: 'silent', member: entry.member })
      }
    }
    return actions
  }

  private _handleTick (nowMs: number): MembershipAction[] {
    this._detectFreeze(nowMs)
    const actions = this._options.role === 'replica' ? this._expireLeases(nowMs) : []
    if (nowMs >= this._nextCleanupAtMs) {
      this._nextCleanupAtMs = nowMs + this._options.beatIntervalMs
      this._removeExpiredTombstones(nowMs)
    }
    return [...actions, ...this._relayHeartbeats(nowMs), ...this._sendDigests(nowMs)]
  }

  /** A frozen process receives no heartbeats, so it extends all leases rather than expire them. */
  private _detectFreeze (nowMs: number): void {
    const pauseMs = nowMs - (this._lastTickAtMs ?? nowMs)
    this._lastTickAtMs = nowMs
    if (pauseMs < this._options.frozenMs) {
      return
    }
    this._freezeCount += 1
    this._earliestLeaseStartMs = nowMs
    if (pauseMs >= this._options.tombstoneMs) {
      this._removeOtherMembers()
    }
  }

  /**
   * After a pause of `tombstoneMs`, peers have removed the tombstones of members that left meanwhile, and would add
   * these members again when they are sent from here.
   */
  private _removeOtherMembers (): void {
    for (const entry of this._store.all()) {
      if (entry.member.node !== this._options.self) {
        this._store.remove(entry)
      }
    }
  }

  private _expireLeases (nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const entry of this._store.all()) {
      const leaseStartMs = Math.max(entry.leaseRenewedAtMs, this._earliestLeaseStartMs)
      if (isPresent(entry) && nowMs - leaseStartMs >= this._options.leaseMs) {
        actions.push(...this._publishChange(this._store.markSilent(entry, nowMs), undefined))
      }
    }
    return actions
  }

  private _removeExpiredTombstones (nowMs: number): void {
    for (const entry of this._store.all()) {
      if (!isPresent(entry) && nowMs - entry.goneAtMs >= this._options.tombstoneMs) {
        this._store.remove(entry)
      }
    }
  }

  private _relayHeartbeats (nowMs: number): MembershipAction[] {
    if (this._options.role !== 'replica' || nowMs < this._nextHeartbeatsAtMs) {
      return []
    }
    this._nextHeartbeatsAtMs = nowMs + this._options.beatIntervalMs
    const unrelayed = this._store.all()
      .filter((entry) => entry.receivedDirectly && entry.lastRelayed !== entry.heartbeat)
    for (const entry of unrelayed) {
      entry.lastRelayed = entry.heartbeat
    }
    const beats = unrelayed.map((entry) => ({ node: entry.member.node, ...entry.heartbeat }))
    const replicas = this._distribution.peersOfAllServices()
    return beats.length === 0 ? [] : replicas.map((to) => ({ type: 'sendBeats', to, beats }))
  }

  /** A replica sends its digests; a node sends its announcement again, in case an earlier one was lost. */
  private _sendDigests (nowMs: number): MembershipAction[] {
    if (nowMs < this._nextDigestsAtMs) {
      return []
    }
    this._nextDigestsAtMs = nowMs + this._options.digestIntervalMs
    return this._distribution.announce()
  }

  private _isWarmedUp (): boolean {
    return (this._lastTickAtMs ?? 0) - (this._startedAtMs ?? 0) >= this._options.warmUpMs
  }
}
