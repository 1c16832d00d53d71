import type { NodeId, ServiceName } from '../Types.js'
import {
  ALL_SERVICES, MAX_MEMBERS_PER_MESSAGE, MAX_PEERS, NODE_BURST, NODE_MEMBERS_PER_SECOND, REPLICA_BURST,
  REPLICA_MEMBERS_PER_SECOND
} from './Constants.js'
import { MemberOutbox } from './MemberOutbox.js'
import { type MemberChange, type MemberStore, toWireMember } from './MemberStore.js'
import type { Member, MembershipAction, MembershipEvent, ServiceDigest, TableRole } from './Types.js'

type EventOf<Type extends MembershipEvent['type']> = Extract<MembershipEvent, { type: Type }>

/** Digest of a service without present members. */
const EMPTY_DIGEST = '0000000000000000'

const NODE_RATE = { membersPerSecond: NODE_MEMBERS_PER_SECOND, burst: NODE_BURST }
const REPLICA_RATE = { membersPerSecond: REPLICA_MEMBERS_PER_SECOND, burst: REPLICA_BURST }

/**
 * Sends the members of a table to the peers that subscribed to their services: changes as they come, and whole services
 * whose digests differ.
 *
 * Memory: `MAX_PEERS` outboxes.
 */
export class MemberDistribution {
  private readonly _outboxes = new Map<string, MemberOutbox>()

  /**
   * @param _store Members of the table.
   * @param _role Where the table runs.
   * @param _self Node whose member the table owns; empty in a replica.
   * @param _isWarmedUp Returns whether this process has run for long enough to know all members.
   */
  public constructor (
    private readonly _store: MemberStore,
    private readonly _role: TableRole,
    private readonly _self: NodeId,
    private readonly _isWarmedUp: () => boolean
  ) {}

  /** Returns the peers that subscribed to all services, which are replicas. */
  public peersOfAllServices (): string[] {
    return [...this._outboxes].filter(([, outbox]) => outbox.all).map(([peer]) => peer)
  }

  /** Subscribes a peer to services, in place of an earlier subscription; ignored beyond `MAX_PEERS` peers. */
  public subscribe (event: EventOf<'interest'>, nowMs: number): void {
    if (!this._outboxes.has(event.from) && this._outboxes.size >= MAX_PEERS) {
      return
    }
    const rate = event.services.includes(ALL_SERVICES) ? REPLICA_RATE : NODE_RATE
    const outbox = new MemberOutbox(event.services, rate, nowMs)
    this._outboxes.set(event.from, outbox)
    if (this._role === 'node') {
      this._queueSelf(outbox)
    } else if (event.digests === undefined || outbox.all) {
      this._queueAllServices(outbox)
    } else {
      this._queueDifferingServices(
        outbox, [...event.digests, ...emptyDigestsForUnlisted(event.digests, outbox.interest)]
      )
    }
  }

  /** Removes the subscription of a peer. */
  public unsubscribe (peer: string): void {
    this._outboxes.delete(peer)
  }

  /** Queues the services whose digests differ; a node answers with its own digests of them. */
  public compareDigests (event: EventOf<'digest'>): MembershipAction[] {
    const outbox = this._outboxes.get(event.from)
    if (this._role === 'replica') {
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

  /**
   * Queues a change. Nodes are sent visible changes. Peer replicas are sent every new sequence, but only by the replica
   * that received it from the node itself.
   */
  public queueChange (change: MemberChange, from: string | undefined): void {
    const { node, service } = change.entry.member
    if (this._role === 'node' && node !== this._self) {
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

  /** A replica sends its digests; a node sends its announcement again, in case an earlier one was lost. */
  public announce (): MembershipAction[] {
    if (this._role === 'replica') return this._isWarmedUp() ? this._createDigestActions() : []
    this._outboxes.forEach((outbox) => this._queueSelf(outbox))
    return []
  }

  /** Returns what the token buckets of the peers allow to send now. */
  public flush (nowMs: number): MembershipAction[] {
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
      const whole = this._role === 'replica' && this._isWarmedUp() ? { whole: [service] } : {}
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

  private _queueSelf (outbox: MemberOutbox): void {
    if (this._store.get(this._self) !== undefined) {
      outbox.addMember(this._self)
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

  private _createDigestActions (): MembershipAction[] {
    const actions: MembershipAction[] = []
    for (const [to, outbox] of this._outboxes) {
      const services = outbox.all ? this._store.index.names() : outbox.interest
      actions.push({ type: 'sendDigest', to, digests: services.map((service) => this._store.index.getDigest(service)) })
    }
    return actions
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
