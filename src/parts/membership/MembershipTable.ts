import type { NodeId, Part, ServiceName } from '../Types.js'
import {
  ALL_SERVICES,
  BEAT_INTERVAL_MS,
  DIGEST_INTERVAL_MS,
  FROZEN_MS,
  LEASE_MS,
  MAX_DESTINATIONS,
  MAX_MEMBERS,
  MAX_MEMBERS_PER_MESSAGE,
  MAX_TOMBSTONES,
  MISSING_MS,
  NODE_BURST,
  NODE_MEMBERS_PER_SECOND,
  REPLICA_BURST,
  REPLICA_MEMBERS_PER_SECOND,
  TOMBSTONE_MS,
  WARM_UP_MS
} from './Constants.js'
import { MemberOutbox } from './MemberOutbox.js'
import { type Change, MemberStore, isLive, isPresent, wireOf } from './MemberStore.js'
import type { Beat, Member, MembershipAction, MembershipEvent, ServiceDigest } from './Types.js'

/** Where the table runs: a `node` tells only of itself, a `replica` of control tells all and holds the leases. */
export type TableRole = 'node' | 'replica'

/** Role, durations in milliseconds and limits of the table. */
export interface TableOptions {
  readonly role: TableRole
  /** Node whose member this table owns; empty in a replica. */
  readonly self: NodeId
  readonly leaseMs: number
  readonly tombstoneMs: number
  readonly maxTombstones: number
  readonly maxMembers: number
  readonly beatIntervalMs: number
  readonly digestIntervalMs: number
  readonly warmUpMs: number
  readonly missingMs: number
  readonly frozenMs: number
}

/** Counters for the state dump and for metrics. */
export interface TableCounters {
  /** Members of an older (incarnation, sequence) than the known one. */
  readonly stale: number
  /** New members that were not taken since the table was full. */
  readonly overflow: number
  /** Ticks that came so late that leases were extended. */
  readonly frozen: number
}

type EventOf<Type extends MembershipEvent['type']> = Extract<MembershipEvent, { type: Type }>

type Handlers = {
  readonly [Type in MembershipEvent['type']]: (event: EventOf<Type>, nowMs: number) => MembershipAction[]
}

const DEFAULTS: TableOptions = {
  role: 'node',
  self: '',
  leaseMs: LEASE_MS,
  tombstoneMs: TOMBSTONE_MS,
  maxTombstones: MAX_TOMBSTONES,
  maxMembers: MAX_MEMBERS,
  beatIntervalMs: BEAT_INTERVAL_MS,
  digestIntervalMs: DIGEST_INTERVAL_MS,
  warmUpMs: WARM_UP_MS,
  missingMs: MISSING_MS,
  frozenMs: FROZEN_MS
}

/** Digest of a service without members. */
const NO_MEMBERS = '0000000000000000'

const NODE_RATE = { membersPerSecond: NODE_MEMBERS_PER_SECOND, burst: NODE_BURST }
const REPLICA_RATE = { membersPerSecond: REPLICA_MEMBERS_PER_SECOND, burst: REPLICA_BURST }

/**
 * Upstreams with their nodes, as known at one node or control replica.
 *
 * Content is ordered by (incarnation, sequence), signs of life by (incarnation, sequence, beat), and silence wins
 * over life only at the same beat. Both orders are total, so every table that hears the same news in any order, with
 * any repeats, holds the same; what is older never replaces what is newer. A node that returns after silence renews
 * its lease; one that left comes back only with a later sequence or incarnation.
 *
 * Memory: `maxMembers` members, `maxTombstones` members that left, `MAX_DESTINATIONS` outboxes.
 */
export class MembershipTable implements Part<MembershipEvent, MembershipAction> {
  private readonly _options: TableOptions
  private readonly _store: MemberStore
  private readonly _outboxes = new Map<string, MemberOutbox>()
  private _startedAtMs: number | undefined
  private _lastTickMs: number | undefined
  private _leasesFromMs = Number.NEGATIVE_INFINITY
  private _nextBeatsMs = 0
  private _nextSweepMs = 0
  private _nextDigestMs = 0
  private _frozen = 0

  private readonly _handlers: Handlers = {
    announce: (event, nowMs) => this._take(event.member, undefined, nowMs),
    heartbeat: (event, nowMs) => this._takeHeartbeat(event, nowMs),
    merge: (event, nowMs) => this._takeMerge(event, nowMs),
    beats: (event, nowMs) => event.beats.flatMap((beat) => this._renew(beat, nowMs)),
    interest: (event, nowMs) => this._takeInterest(event, nowMs),
    digest: (event) => this._takeDigest(event),
    lost: (event) => this._takeLost(event),
    tick: (_event, nowMs) => this._tick(nowMs)
  }

  /**
   * @param options Role, durations and limits that replace the defaults.
   */
  public constructor (options: Partial<TableOptions> = {}) {
    this._options = { ...DEFAULTS, ...options }
    this._store = new MemberStore(this._options)
  }

  /** Refused news, counted since the start. */
  public get counters (): TableCounters {
    return { stale: this._store.stale, overflow: this._store.overflow, frozen: this._frozen }
  }

  /**
   * Returns the members of a service that are neither silent nor left.
   * @param service Service.
   */
  public membersOf (service: ServiceName): Member[] {
    return this._store.entriesOf(service).filter(isPresent).map((entry) => entry.member)
  }

  /** Returns all that is known, with signs of life, for the state dump. */
  public members (): Member[] {
    return this._store.all().map(wireOf)
  }

  /** Returns the digests of all services, to be told with a new interest. */
  public digests (): ServiceDigest[] {
    return this._store.index.names().map((service) => this._store.index.digestOf(service))
  }

  /**
   * Takes one event and returns the actions for the host.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: MembershipEvent, nowMs: number): MembershipAction[] {
    this._startedAtMs ??= nowMs
    const handler = this._handlers[event.type] as (event: MembershipEvent, nowMs: number) => MembershipAction[]
    const actions = handler(event, nowMs)
    return [...actions, ...this._flush(nowMs)]
  }

  private _takeHeartbeat (event: EventOf<'heartbeat'>, nowMs: number): MembershipAction[] {
    const entry = this._store.get(event.node)
    if (entry === undefined) {
      return []
    }
    const { node, incarnation, sequence } = event
    const same = entry.life.incarnation === incarnation && entry.life.sequence === sequence
    entry.heardHere = true
    return this._renew({ node, incarnation, sequence, beat: same ? entry.life.beat + 1 : 1 }, nowMs)
  }

  private _takeMerge (event: EventOf<'merge'>, nowMs: number): MembershipAction[] {
    const actions = event.members.flatMap((member) => this._take(member, event.from, nowMs))
    if (this._options.role === 'node' && event.whole !== undefined) {
      const live = event.members.filter(isLive).map((member) => member.node)
      actions.push(...this._dropMissing(event.whole, new Set(live), nowMs))
    }
    return actions
  }

  private _takeInterest (event: EventOf<'interest'>, nowMs: number): MembershipAction[] {
    if (!this._outboxes.has(event.from) && this._outboxes.size >= MAX_DESTINATIONS) {
      return []
    }
    const rate = event.services.includes(ALL_SERVICES) ? REPLICA_RATE : NODE_RATE
    const outbox = new MemberOutbox(event.services, rate, nowMs)
    this._outboxes.set(event.from, outbox)
    if (this._options.role === 'node') {
      this._queueSelf(outbox)
    } else if (event.digests === undefined || outbox.all) {
      this._queueAll(outbox)
    } else {
      this._queueDiffering(outbox, [...event.digests, ...missingFrom(event.digests, outbox.interest)])
    }
    return []
  }

  private _takeDigest (event: EventOf<'digest'>): MembershipAction[] {
    const outbox = this._outboxes.get(event.from)
    if (this._options.role === 'replica') {
      if (outbox !== undefined && this._isWarm()) {
        const services = outbox.all ? this._store.index.names() : []
        this._queueDiffering(outbox, [...event.digests, ...missingFrom(event.digests, services)])
      }
      return []
    }
    const differing = event.digests.filter((digest) => this._differs(digest))
    const mine = differing.map((digest) => this._store.index.digestOf(digest.service))
    return mine.length === 0 ? [] : [{ type: 'sendDigest', to: event.from, digests: mine }]
  }

  private _takeLost (event: EventOf<'lost'>): MembershipAction[] {
    this._outboxes.delete(event.from)
    return []
  }

  /** Takes a member from its own announcement (`from` undefined) or from a peer. */
  private _take (member: Member, from: string | undefined, nowMs: number): MembershipAction[] {
    if (this._options.role === 'node' && member.node === this._options.self && from !== undefined) {
      return []
    }
    return this._spread(this._store.take(member, from === undefined, nowMs), from)
  }

  private _renew (beat: Beat, nowMs: number): MembershipAction[] {
    return this._spread(this._store.renew(beat, nowMs), undefined)
  }

  /** Lets interested peers be told of a change, and tells the host. */
  private _spread (change: Change | undefined, from: string | undefined): MembershipAction[] {
    if (change === undefined) {
      return []
    }
    if (change.visible || change.newer) {
      this._queueChange(change, from)
    }
    return change.actions
  }

  /** Peers that are nodes hear what is visible; fellow replicas hear each new sequence, from its first replica. */
  private _queueChange (change: Change, from: string | undefined): void {
    const { node, service } = change.entry.member
    if (this._options.role === 'node' && node !== this._options.self) {
      return
    }
    const fromReplica = from !== undefined && this._outboxes.get(from)?.all === true
    for (const [to, outbox] of this._outboxes) {
      const due = outbox.all ? !fromReplica : change.visible
      if (due && to !== from && outbox.wants(service)) {
        outbox.addMember(node)
      }
    }
  }

  private _queueSelf (outbox: MemberOutbox): void {
    if (this._store.get(this._options.self) !== undefined) {
      outbox.addMember(this._options.self)
    }
  }

  private _queueAll (outbox: MemberOutbox): void {
    for (const service of outbox.all ? this._store.index.names() : outbox.interest) {
      outbox.addWhole(service)
    }
  }

  private _queueDiffering (outbox: MemberOutbox, digests: readonly ServiceDigest[]): void {
    for (const digest of digests) {
      if (outbox.wants(digest.service) && this._differs(digest)) {
        outbox.addWhole(digest.service)
      }
    }
  }

  private _differs (digest: ServiceDigest): boolean {
    return this._store.index.digestOf(digest.service).digest !== digest.digest
  }

  /**
   * Forgets members that the control replica does not know as live for long. It may know one only as silent in an
   * older sequence, when the replica that heard the newer one is gone.
   */
  private _dropMissing (
    services: readonly ServiceName[],
    live: ReadonlySet<NodeId>,
    nowMs: number
  ): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const entry of services.flatMap((service) => this._store.entriesOf(service))) {
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

  private _tick (nowMs: number): MembershipAction[] {
    this._noticeFreeze(nowMs)
    const actions = this._options.role === 'replica' ? this._expireLeases(nowMs) : []
    if (nowMs >= this._nextSweepMs) {
      this._nextSweepMs = nowMs + this._options.beatIntervalMs
      this._removeGone(nowMs)
    }
    return [...actions, ...this._tellBeats(nowMs), ...this._tellDigests(nowMs)]
  }

  /** A process that was frozen has not heard anyone: it may not call the others silent for that. */
  private _noticeFreeze (nowMs: number): void {
    const pauseMs = nowMs - (this._lastTickMs ?? nowMs)
    this._lastTickMs = nowMs
    if (pauseMs < this._options.frozenMs) {
      return
    }
    this._frozen += 1
    this._leasesFromMs = nowMs
    if (pauseMs >= this._options.tombstoneMs) {
      this._forgetOthers()
    }
  }

  /** After so long a freeze others have forgotten who left; what is known here could bring those back. */
  private _forgetOthers (): void {
    for (const entry of this._store.all()) {
      if (entry.member.node !== this._options.self) {
        this._store.remove(entry)
      }
    }
  }

  private _expireLeases (nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const entry of this._store.all()) {
      const heardAtMs = Math.max(entry.renewedAtMs, this._leasesFromMs)
      if (isPresent(entry) && nowMs - heardAtMs >= this._options.leaseMs) {
        actions.push(...this._spread(this._store.silence(entry, nowMs), undefined))
      }
    }
    return actions
  }

  private _removeGone (nowMs: number): void {
    for (const entry of this._store.all()) {
      if (!isPresent(entry) && nowMs - entry.goneAtMs >= this._options.tombstoneMs) {
        this._store.remove(entry)
      }
    }
  }

  private _tellBeats (nowMs: number): MembershipAction[] {
    if (this._options.role !== 'replica' || nowMs < this._nextBeatsMs) {
      return []
    }
    this._nextBeatsMs = nowMs + this._options.beatIntervalMs
    const heard = this._store.all().filter((entry) => entry.heardHere && entry.passedOn !== entry.life)
    for (const entry of heard) {
      entry.passedOn = entry.life
    }
    const beats = heard.map((entry) => ({ node: entry.member.node, ...entry.life }))
    const replicas = [...this._outboxes].filter(([, outbox]) => outbox.all)
    return beats.length === 0 ? [] : replicas.map(([to]) => ({ type: 'sendBeats', to, beats }))
  }

  /** A replica tells its digests; a node announces itself again, in case the announcement was lost. */
  private _tellDigests (nowMs: number): MembershipAction[] {
    if (nowMs < this._nextDigestMs) {
      return []
    }
    this._nextDigestMs = nowMs + this._options.digestIntervalMs
    if (this._options.role === 'node') {
      this._outboxes.forEach((outbox) => this._queueSelf(outbox))
    }
    return this._options.role === 'replica' && this._isWarm() ? this._digestsForAll() : []
  }

  private _digestsForAll (): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this._outboxes) {
      const services = outbox.all ? this._store.index.names() : outbox.interest
      actions.push({ type: 'sendDigest', to, digests: services.map((service) => this._store.index.digestOf(service)) })
    }
    return actions
  }

  private _isWarm (): boolean {
    return (this._lastTickMs ?? 0) - (this._startedAtMs ?? 0) >= this._options.warmUpMs
  }

  private _flush (nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this._outboxes) {
      if (!outbox.empty) {
        this._flushOne(to, outbox, nowMs, actions)
      }
    }
    return actions
  }

  private _flushOne (to: string, outbox: MemberOutbox, nowMs: number, actions: MembershipAction[]): void {
    const sizeOf = (service: ServiceName) => this._store.index.nodesOf(service).length
    let service = outbox.takeWhole(nowMs, sizeOf)
    while (service !== undefined) {
      const members = this._store.entriesOf(service).map(wireOf)
      const whole = this._options.role === 'replica' && this._isWarm() ? { whole: [service] } : {}
      actions.push({ type: 'send', to, members, ...whole })
      service = outbox.takeWhole(nowMs, sizeOf)
    }
    const nodes = outbox.takeMembers(nowMs)
    for (let start = 0; start < nodes.length; start += MAX_MEMBERS_PER_MESSAGE) {
      const members = this._wiresOf(nodes.slice(start, start + MAX_MEMBERS_PER_MESSAGE))
      actions.push({ type: 'send', to, members })
    }
  }

  private _wiresOf (nodes: readonly NodeId[]): Member[] {
    return nodes.flatMap((node) => {
      const entry = this._store.get(node)
      return entry === undefined ? [] : [wireOf(entry)]
    })
  }
}

/** A service that a peer does not name is one of which it knows no member. */
function missingFrom (digests: readonly ServiceDigest[], services: readonly ServiceName[]): ServiceDigest[] {
  const named = new Set(digests.map((digest) => digest.service))
  return services.filter((service) => !named.has(service)).map((service) => ({ service, digest: NO_MEMBERS }))
}
