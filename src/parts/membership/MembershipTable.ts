import type { NodeId, Part, ServiceName } from '../Types.js'
import {
  ALL_SERVICES,
  DIGEST_INTERVAL_MS,
  FREEZE_THRESHOLD_MS,
  HEARTBEAT_RELAY_INTERVAL_MS,
  MAX_MEMBERS,
  MAX_MEMBERS_PER_MESSAGE,
  MAX_PEERS,
  MAX_TOMBSTONES,
  MISSING_MEMBER_TIMEOUT_MS,
  NODE_BURST,
  NODE_LEASE_MS,
  NODE_MEMBERS_PER_SECOND,
  REPLICA_BURST,
  REPLICA_MEMBERS_PER_SECOND,
  TOMBSTONE_RETENTION_MS,
  WARM_UP_MS
} from './Constants.js'
import { MemberOutbox } from './MemberOutbox.js'
import { isLive, isPresent, type MemberChange, MemberStore, toWireMember } from './MemberStore.js'
import type { Heartbeat, Member, MembershipAction, MembershipEvent, ServiceDigest } from './Types.js'

/**
 * Where the table runs: a `node` sends only its own member; a control `replica` sends all members and expires leases.
 */
export type TableRole = 'node' | 'replica'

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

/** Digest of a service without present members. */
const EMPTY_DIGEST = '0000000000000000'

const NODE_RATE = { membersPerSecond: NODE_MEMBERS_PER_SECOND, burst: NODE_BURST }
const REPLICA_RATE = { membersPerSecond: REPLICA_MEMBERS_PER_SECOND, burst: REPLICA_BURST }

/**
 * Upstreams with their nodes, as known at one node or control replica.
 *
 * Announcements are ordered by (incarnation, sequence), heartbeats by (incarnation, sequence, beat); silence wins over
 * liveness only at the same heartbeat. Both orders are total, so tables that receive the same updates in any order and
 * with any duplicates converge, and an older update never replaces a newer one. A silent node becomes present again
 * with a later heartbeat; one that left is added again only with a higher sequence or incarnation.
 *
 * Memory: `maxMembers` members, `maxTombstones` members that left, `MAX_PEERS` outboxes.
 */
export class MembershipTable implements Part<MembershipEvent, MembershipAction> {
  private readonly _options: TableOptions
  private readonly _store: MemberStore
  private readonly _outboxes = new Map<string, MemberOutbox>()
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
    interest: (event, nowMs) => this._handleInterest(event, nowMs),
    digest: (event) => this._handleDigest(event),
    lost: (event) => this._handleLost(event),
    tick: (_event, nowMs) => this._handleTick(nowMs)
  }

  /**
   * @param options Role, durations and bounds that replace the defaults.
   */
  public constructor (options: Partial<TableOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
    this._store = new MemberStore(this._options)
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
    return [...actions, ...this._flushOutboxes(nowMs)]
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

  private _handleInterest (event: EventOf<'interest'>, nowMs: number): MembershipAction[] {
    if (!this._outboxes.has(event.from) && this._outboxes.size >= MAX_PEERS) {
      return []
    }
    const rate = event.services.includes(ALL_SERVICES) ? REPLICA_RATE : NODE_RATE
    const outbox = new MemberOutbox(event.services, rate, nowMs)
    this._outboxes.set(event.from, outbox)
    if (this._options.role === 'node') {
      this._queueSelf(outbox)
    } else if (event.digests === undefined || outbox.all) {
      this._queueAllServices(outbox)
    } else {
      this._queueDifferingServices(
        outbox, [...event.digests, ...emptyDigestsForUnlisted(event.digests, outbox.interest)]
      )
    }
    return []
  }

  private _handleDigest (event: EventOf<'digest'>): MembershipAction[] {
    const outbox = this._outboxes.get(event.from)
    if (this._options.role === 'replica') {
      if (outbox !== undefined && this._isWarmedUp()) {
        const services = outbox.all ? this._store.index.names() : []
        this._queueDifferingServices(outbox, [...event.digests, ...emptyDigestsForUnlisted(event.digests, services)])
      }
      return []
    }
    const differing = event.digests.filter((digest) => this._hasDifferentDigest(digest))
    const ownDigests = differing.map((digest) => this._store.index.getDigest(digest.service))
    return ownDigests.length === 0 ? [] : [{ type: 'sendDigest', to: event.from, digests: ownDigests }]
  }

  private _handleLost (event: EventOf<'lost'>): MembershipAction[] {
    this._outboxes.delete(event.from)
    return []
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
      this._queueChange(change, from)
    }
    return change.actions
  }

  /**
   * Nodes are sent visible changes. Peer replicas are sent every new sequence, but only by the replica that received it
   * from the node itself.
   */
  private _queueChange (change: MemberChange, from: string | undefined): void {
    const { node, service } = change.entry.member
    if (this._options.role === 'node' && node !== this._options.self) {
      return
    }
    const isFromReplica = from !== undefined && this._outboxes.get(from)?.all === true
    for (const [to, outbox] of this._outboxes) {
      const mustSend = outbox.all ? !isFromReplica : change.isVisible
      if (mustSend && to !== from && outbox.wants(service)) {
        outbox.addMember(node)
      }
    }
  }

  private _queueSelf (outbox: MemberOutbox): void {
    if (this._store.get(this._options.self) !== undefined) {
      outbox.addMember(this._options.self)
    }
  }

  private _queueAllServices (outbox: MemberOutbox): void {
    for (const service of outbox.all ? this._store.index.names() : outbox.interest) {
      outbox.addService(service)
    }
  }

  private _queueDifferingServices (outbox: MemberOutbox, digests: readonly ServiceDigest[]): void {
    for (const digest of digests) {
      if (outbox.wants(digest.service) && this._hasDifferentDigest(digest)) {
        outbox.addService(digest.service)
      }
    }
  }

  private _hasDifferentDigest (digest: ServiceDigest): boolean {
    return this._store.index.getDigest(digest.service).digest !== digest.digest
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
    const replicas = [...this._outboxes].filter(([, outbox]) => outbox.all)
    return beats.length === 0 ? [] : replicas.map(([to]) => ({ type: 'sendBeats', to, beats }))
  }

  /** A replica sends its digests; a node sends its announcement again, in case an earlier one was lost. */
  private _sendDigests (nowMs: number): MembershipAction[] {
    if (nowMs < this._nextDigestsAtMs) {
      return []
    }
    this._nextDigestsAtMs = nowMs + this._options.digestIntervalMs
    if (this._options.role === 'node') {
      this._outboxes.forEach((outbox) => this._queueSelf(outbox))
    }
    return this._options.role === 'replica' && this._isWarmedUp() ? this._createDigestActions() : []
  }

  private _createDigestActions (): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this._outboxes) {
      const services = outbox.all ? this._store.index.names() : outbox.interest
      actions.push({ type: 'sendDigest', to, digests: services.map((service) => this._store.index.getDigest(service)) })
    }
    return actions
  }

  private _isWarmedUp (): boolean {
    return (this._lastTickAtMs ?? 0) - (this._startedAtMs ?? 0) >= this._options.warmUpMs
  }

  private _flushOutboxes (nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this._outboxes) {
      if (!outbox.isEmpty) {
        this._flushOutbox(to, outbox, nowMs, actions)
      }
    }
    return actions
  }

  private _flushOutbox (to: string, outbox: MemberOutbox, nowMs: number, actions: MembershipAction[]): void {
    const countMembers = (service: ServiceName) => this._store.index.getNodes(service).length
    let service = outbox.takeService(nowMs, countMembers)
    while (service !== undefined) {
      const members = this._store.getEntries(service).map(toWireMember)
      const whole = this._options.role === 'replica' && this._isWarmedUp() ? { whole: [service] } : {}
      actions.push({ type: 'send', to, members, ...whole })
      service = outbox.takeService(nowMs, countMembers)
    }
    const nodes = outbox.takeMembers(nowMs)
    for (let start = 0; start < nodes.length; start += MAX_MEMBERS_PER_MESSAGE) {
      const members = this._toWireMembers(nodes.slice(start, start + MAX_MEMBERS_PER_MESSAGE))
      actions.push({ type: 'send', to, members })
    }
  }

  private _toWireMembers (nodes: readonly NodeId[]): Member[] {
    return nodes.flatMap((node) => {
      const entry = this._store.get(node)
      return entry === undefined ? [] : [toWireMember(entry)]
    })
  }
}

/** Returns empty digests for the services that a peer did not list: it knows no member of them. */
function emptyDigestsForUnlisted (
  digests: readonly ServiceDigest[],
  services: readonly ServiceName[]
): ServiceDigest[] {
  const listed = new Set(digests.map((digest) => digest.service))
  return services.filter((service) => !listed.has(service)).map((service) => ({ service, digest: EMPTY_DIGEST }))
}
