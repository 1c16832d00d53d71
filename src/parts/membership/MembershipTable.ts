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
  private readonly options: TableOptions
  private readonly store: MemberStore
  private readonly outboxes = new Map<string, MemberOutbox>()
  private startedAtMs: number | undefined
  private lastTickMs: number | undefined
  private leasesFromMs = Number.NEGATIVE_INFINITY
  private nextBeatsMs = 0
  private nextSweepMs = 0
  private nextDigestMs = 0
  private frozen = 0

  private readonly handlers: Handlers = {
    announce: (event, nowMs) => this.take(event.member, undefined, nowMs),
    heartbeat: (event, nowMs) => this.takeHeartbeat(event, nowMs),
    merge: (event, nowMs) => this.takeMerge(event, nowMs),
    beats: (event, nowMs) => event.beats.flatMap((beat) => this.renew(beat, nowMs)),
    interest: (event, nowMs) => this.takeInterest(event, nowMs),
    digest: (event) => this.takeDigest(event),
    lost: (event) => this.takeLost(event),
    tick: (_event, nowMs) => this.tick(nowMs)
  }

  /**
   * @param options Role, durations and limits that replace the defaults.
   */
  public constructor (options: Partial<TableOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
    this.store = new MemberStore(this.options)
  }

  /** Refused news, counted since the start. */
  public get counters (): TableCounters {
    return { stale: this.store.stale, overflow: this.store.overflow, frozen: this.frozen }
  }

  /**
   * Returns the members of a service that are neither silent nor left.
   * @param service Service.
   */
  public membersOf (service: ServiceName): Member[] {
    return this.store.entriesOf(service).filter(isPresent).map((entry) => entry.member)
  }

  /** Returns all that is known, with signs of life, for the state dump. */
  public members (): Member[] {
    return this.store.all().map(wireOf)
  }

  /** Returns the digests of all services, to be told with a new interest. */
  public digests (): ServiceDigest[] {
    return this.store.index.names().map((service) => this.store.index.digestOf(service))
  }

  /**
   * Takes one event and returns the actions for the host.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: MembershipEvent, nowMs: number): MembershipAction[] {
    this.startedAtMs ??= nowMs
    const handler = this.handlers[event.type] as (event: MembershipEvent, nowMs: number) => MembershipAction[]
    const actions = handler(event, nowMs)
    return [...actions, ...this.flush(nowMs)]
  }

  private takeHeartbeat (event: EventOf<'heartbeat'>, nowMs: number): MembershipAction[] {
    const entry = this.store.get(event.node)
    if (entry === undefined) {
      return []
    }
    const { node, incarnation, sequence } = event
    const same = entry.life.incarnation === incarnation && entry.life.sequence === sequence
    entry.heardHere = true
    return this.renew({ node, incarnation, sequence, beat: same ? entry.life.beat + 1 : 1 }, nowMs)
  }

  private takeMerge (event: EventOf<'merge'>, nowMs: number): MembershipAction[] {
    const actions = event.members.flatMap((member) => this.take(member, event.from, nowMs))
    if (this.options.role === 'node' && event.whole !== undefined) {
      const live = event.members.filter(isLive).map((member) => member.node)
      actions.push(...this.dropMissing(event.whole, new Set(live), nowMs))
    }
    return actions
  }

  private takeInterest (event: EventOf<'interest'>, nowMs: number): MembershipAction[] {
    if (!this.outboxes.has(event.from) && this.outboxes.size >= MAX_DESTINATIONS) {
      return []
    }
    const rate = event.services.includes(ALL_SERVICES) ? REPLICA_RATE : NODE_RATE
    const outbox = new MemberOutbox(event.services, rate, nowMs)
    this.outboxes.set(event.from, outbox)
    if (this.options.role === 'node') {
      this.queueSelf(outbox)
    } else if (event.digests === undefined || outbox.all) {
      this.queueAll(outbox)
    } else {
      this.queueDiffering(outbox, [...event.digests, ...missingFrom(event.digests, outbox.interest)])
    }
    return []
  }

  private takeDigest (event: EventOf<'digest'>): MembershipAction[] {
    const outbox = this.outboxes.get(event.from)
    if (this.options.role === 'replica') {
      if (outbox !== undefined && this.isWarm()) {
        const services = outbox.all ? this.store.index.names() : []
        this.queueDiffering(outbox, [...event.digests, ...missingFrom(event.digests, services)])
      }
      return []
    }
    const differing = event.digests.filter((digest) => this.differs(digest))
    const mine = differing.map((digest) => this.store.index.digestOf(digest.service))
    return mine.length === 0 ? [] : [{ type: 'sendDigest', to: event.from, digests: mine }]
  }

  private takeLost (event: EventOf<'lost'>): MembershipAction[] {
    this.outboxes.delete(event.from)
    return []
  }

  /** Takes a member from its own announcement (`from` undefined) or from a peer. */
  private take (member: Member, from: string | undefined, nowMs: number): MembershipAction[] {
    if (this.options.role === 'node' && member.node === this.options.self && from !== undefined) {
      return []
    }
    return this.spread(this.store.take(member, from === undefined, nowMs), from)
  }

  private renew (beat: Beat, nowMs: number): MembershipAction[] {
    return this.spread(this.store.renew(beat, nowMs), undefined)
  }

  /** Lets interested peers be told of a change, and tells the host. */
  private spread (change: Change | undefined, from: string | undefined): MembershipAction[] {
    if (change === undefined) {
      return []
    }
    if (change.visible || change.newer) {
      this.queueChange(change, from)
    }
    return change.actions
  }

  /** Peers that are nodes hear what is visible; fellow replicas hear each new sequence, from its first replica. */
  private queueChange (change: Change, from: string | undefined): void {
    const { node, service } = change.entry.member
    if (this.options.role === 'node' && node !== this.options.self) {
      return
    }
    const fromReplica = from !== undefined && this.outboxes.get(from)?.all === true
    for (const [to, outbox] of this.outboxes) {
      const due = outbox.all ? !fromReplica : change.visible
      if (due && to !== from && outbox.wants(service)) {
        outbox.addMember(node)
      }
    }
  }

  private queueSelf (outbox: MemberOutbox): void {
    if (this.store.get(this.options.self) !== undefined) {
      outbox.addMember(this.options.self)
    }
  }

  private queueAll (outbox: MemberOutbox): void {
    for (const service of outbox.all ? this.store.index.names() : outbox.interest) {
      outbox.addWhole(service)
    }
  }

  private queueDiffering (outbox: MemberOutbox, digests: readonly ServiceDigest[]): void {
    for (const digest of digests) {
      if (outbox.wants(digest.service) && this.differs(digest)) {
        outbox.addWhole(digest.service)
      }
    }
  }

  private differs (digest: ServiceDigest): boolean {
    return this.store.index.digestOf(digest.service).digest !== digest.digest
  }

  /**
   * Forgets members that the control replica does not know as live for long. It may know one only as silent in an
   * older sequence, when the replica that heard the newer one is gone.
   */
  private dropMissing (
    services: readonly ServiceName[],
    live: ReadonlySet<NodeId>,
    nowMs: number
  ): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const entry of services.flatMap((service) => this.store.entriesOf(service))) {
      const node = entry.member.node
      if (live.has(node) || node === this.options.self || !isPresent(entry)) {
        continue
      }
      entry.missingSinceMs ??= nowMs
      if (nowMs - entry.missingSinceMs >= this.options.missingMs) {
        this.store.remove(entry)
        actions.push({ type: 'silent', member: entry.member })
      }
    }
    return actions
  }

  private tick (nowMs: number): MembershipAction[] {
    this.noticeFreeze(nowMs)
    const actions = this.options.role === 'replica' ? this.expireLeases(nowMs) : []
    if (nowMs >= this.nextSweepMs) {
      this.nextSweepMs = nowMs + this.options.beatIntervalMs
      this.removeGone(nowMs)
    }
    return [...actions, ...this.tellBeats(nowMs), ...this.tellDigests(nowMs)]
  }

  /** A process that was frozen has not heard anyone: it may not call the others silent for that. */
  private noticeFreeze (nowMs: number): void {
    const pauseMs = nowMs - (this.lastTickMs ?? nowMs)
    this.lastTickMs = nowMs
    if (pauseMs < this.options.frozenMs) {
      return
    }
    this.frozen += 1
    this.leasesFromMs = nowMs
    if (pauseMs >= this.options.tombstoneMs) {
      this.forgetOthers()
    }
  }

  /** After so long a freeze others have forgotten who left; what is known here could bring those back. */
  private forgetOthers (): void {
    for (const entry of this.store.all()) {
      if (entry.member.node !== this.options.self) {
        this.store.remove(entry)
      }
    }
  }

  private expireLeases (nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const entry of this.store.all()) {
      const heardAtMs = Math.max(entry.renewedAtMs, this.leasesFromMs)
      if (isPresent(entry) && nowMs - heardAtMs >= this.options.leaseMs) {
        actions.push(...this.spread(this.store.silence(entry, nowMs), undefined))
      }
    }
    return actions
  }

  private removeGone (nowMs: number): void {
    for (const entry of this.store.all()) {
      if (!isPresent(entry) && nowMs - entry.goneAtMs >= this.options.tombstoneMs) {
        this.store.remove(entry)
      }
    }
  }

  private tellBeats (nowMs: number): MembershipAction[] {
    if (this.options.role !== 'replica' || nowMs < this.nextBeatsMs) {
      return []
    }
    this.nextBeatsMs = nowMs + this.options.beatIntervalMs
    const heard = this.store.all().filter((entry) => entry.heardHere && entry.passedOn !== entry.life)
    for (const entry of heard) {
      entry.passedOn = entry.life
    }
    const beats = heard.map((entry) => ({ node: entry.member.node, ...entry.life }))
    const replicas = [...this.outboxes].filter(([, outbox]) => outbox.all)
    return beats.length === 0 ? [] : replicas.map(([to]) => ({ type: 'sendBeats', to, beats }))
  }

  /** A replica tells its digests; a node announces itself again, in case the announcement was lost. */
  private tellDigests (nowMs: number): MembershipAction[] {
    if (nowMs < this.nextDigestMs) {
      return []
    }
    this.nextDigestMs = nowMs + this.options.digestIntervalMs
    if (this.options.role === 'node') {
      this.outboxes.forEach((outbox) => this.queueSelf(outbox))
    }
    return this.options.role === 'replica' && this.isWarm() ? this.digestsForAll() : []
  }

  private digestsForAll (): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this.outboxes) {
      const services = outbox.all ? this.store.index.names() : outbox.interest
      actions.push({ type: 'sendDigest', to, digests: services.map((service) => this.store.index.digestOf(service)) })
    }
    return actions
  }

  private isWarm (): boolean {
    return (this.lastTickMs ?? 0) - (this.startedAtMs ?? 0) >= this.options.warmUpMs
  }

  private flush (nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this.outboxes) {
      if (!outbox.empty) {
        this.flushOne(to, outbox, nowMs, actions)
      }
    }
    return actions
  }

  private flushOne (to: string, outbox: MemberOutbox, nowMs: number, actions: MembershipAction[]): void {
    const sizeOf = (service: ServiceName) => this.store.index.nodesOf(service).length
    let service = outbox.takeWhole(nowMs, sizeOf)
    while (service !== undefined) {
      const members = this.store.entriesOf(service).map(wireOf)
      const whole = this.options.role === 'replica' && this.isWarm() ? { whole: [service] } : {}
      actions.push({ type: 'send', to, members, ...whole })
      service = outbox.takeWhole(nowMs, sizeOf)
    }
    const nodes = outbox.takeMembers(nowMs)
    for (let start = 0; start < nodes.length; start += MAX_MEMBERS_PER_MESSAGE) {
      const members = this.wiresOf(nodes.slice(start, start + MAX_MEMBERS_PER_MESSAGE))
      actions.push({ type: 'send', to, members })
    }
  }

  private wiresOf (nodes: readonly NodeId[]): Member[] {
    return nodes.flatMap((node) => {
      const entry = this.store.get(node)
      return entry === undefined ? [] : [wireOf(entry)]
    })
  }
}

/** A service that a peer does not name is one of which it knows no member. */
function missingFrom (digests: readonly ServiceDigest[], services: readonly ServiceName[]): ServiceDigest[] {
  const named = new Set(digests.map((digest) => digest.service))
  return services.filter((service) => !named.has(service)).map((service) => ({ service, digest: NO_MEMBERS }))
}
