import type { NodeId, ServiceName } from '../Types.js'
import {
  compareAnnouncements, compareHeartbeats, getHeartbeatPosition, type HeartbeatPosition, serializeVisibleFields,
  stripLiveness
} from './MemberOrder.js'
import { ServiceIndex } from './ServiceIndex.js'
import type { Heartbeat, Member, MembershipAction } from './Types.js'

/** Bounds on the memory of the store. */
export interface MemberStoreLimits {
  /** Members without those that left. */
  readonly maxMembers: number
  /** Members that left. */
  readonly maxTombstones: number
}

/** Availability of a member as callers see it. */
export type Presence = 'present' | 'silent' | 'left'

/** One member with its liveness. */
export interface MemberEntry {
  member: Member
  /** Serialised fields of the member that callers can see. */
  visibleFields: string
  /** Latest known heartbeat. */
  heartbeat: HeartbeatPosition
  /** True when the lease expired after that heartbeat. */
  silent: boolean
  /** Local time at which the last heartbeat arrived. */
  leaseRenewedAtMs: number
  /** Local time at which the member left or went silent. */
  goneAtMs: number
  /** Local time since which the control replica has not listed the member as live. */
  missingSinceMs: number | undefined
  /** True when the node itself sent the latest update, so that this replica relays its heartbeats. */
  receivedDirectly: boolean
  /** Heartbeat that was relayed last. */
  lastRelayed: HeartbeatPosition | undefined
}

/** Outcome of one update. */
export interface MemberChange {
  readonly entry: MemberEntry
  /** True when callers see a difference. */
  readonly isVisible: boolean
  /** True when the announcement has a higher (incarnation, sequence) than the one before. */
  readonly isNewer: boolean
  readonly actions: MembershipAction[]
}

/** State of an entry as callers see it; compared before and after an update. */
interface VisibleState {
  readonly visibleFields: string
  readonly presence: Presence
  readonly incarnation: number
}

/**
 * Members by node, with the two orders that decide which update is newer: announcements are ordered by (incarnation,
 * sequence), heartbeats by (incarnation, sequence, beat). At the same heartbeat silence wins over liveness.
 *
 * Memory: `maxMembers` members and `maxTombstones` members that left.
 */
export class MemberStore {
  /** Nodes and digests by service. */
  public readonly index = new ServiceIndex()
  private readonly _limits: MemberStoreLimits
  private readonly _entries = new Map<NodeId, MemberEntry>()
  private _tombstones = 0
  private _staleCount = 0
  private _overflowCount = 0

  /**
   * @param limits Bounds on members and on members that left.
   */
  public constructor (limits: MemberStoreLimits) {
    this._limits = limits
  }

  /** Updates since the start that were dropped because a higher (incarnation, sequence) was known. */
  public get stale (): number {
    return this._staleCount
  }

  /** New members since the start that were dropped because the store was full. */
  public get overflow (): number {
    return this._overflowCount
  }

  /** Returns all entries in the order in which their nodes were added. */
  public all (): MemberEntry[] {
    return [...this._entries.values()]
  }

  /**
   * Returns the entry of a node.
   * @param node Node.
   */
  public get (node: NodeId): MemberEntry | undefined {
    return this._entries.get(node)
  }

  /**
   * Returns the entries of a service, also those that are silent or have left.
   * @param service Service.
   */
  public getEntries (service: ServiceName): MemberEntry[] {
    return this.index.getNodes(service).map((node) => this._entries.get(node) as MemberEntry)
  }

  /**
   * Merges a member, from its own announcement or from a peer. Content that is older than the known one is dropped.
   * @param member Member with its liveness.
   * @param direct True when the node itself sent it.
   * @param nowMs Monotonic time in milliseconds.
   * @returns The change, or undefined when the member was dropped.
   */
  public merge (member: Member, direct: boolean, nowMs: number): MemberChange | undefined {
    const entry = this._entries.get(member.node)
    if (entry === undefined) {
      return this._add(member, direct, nowMs)
    }
    if (isLive(member)) {
      entry.missingSinceMs = undefined
    }
    const order = compareAnnouncements(member, entry.member)
    if (order < 0) {
      this._staleCount += 1
      return undefined
    }
    const before = getVisibleState(entry)
    if (order > 0) {
      this._replace(entry, stripLiveness(member))
    }
    entry.receivedDirectly = direct || (entry.receivedDirectly && order === 0)
    this._updateHeartbeat(entry, getHeartbeatPosition(member), member.silent === true, nowMs)
    return completeChange(entry, before, order > 0, nowMs)
  }

  /**
   * Applies a heartbeat; one of another incarnation than the known one, or of a member that left, is dropped.
   * @param heartbeat Heartbeat.
   * @param nowMs Monotonic time in milliseconds.
   * @returns The change, or undefined when the heartbeat was dropped.
   */
  public applyHeartbeat (heartbeat: Heartbeat, nowMs: number): MemberChange | undefined {
    const entry = this._entries.get(heartbeat.node)
    if (entry === undefined || heartbeat.incarnation !== entry.member.incarnation || entry.member.state === 'left') {
      return undefined
    }
    const before = getVisibleState(entry)
    this._updateHeartbeat(entry, getHeartbeatPosition(heartbeat), false, nowMs)
    return completeChange(entry, before, false, nowMs)
  }

  /**
   * Marks a member silent at its last heartbeat.
   * @param entry Entry of this store.
   * @param nowMs Monotonic time in milliseconds.
   */
  public markSilent (entry: MemberEntry, nowMs: number): MemberChange {
    const before = getVisibleState(entry)
    this._setSilent(entry, true)
    return completeChange(entry, before, false, nowMs)
  }

  /**
   * Removes a member.
   * @param entry Entry of this store.
   */
  public remove (entry: MemberEntry): void {
    this._entries.delete(entry.member.node)
    this.index.remove(entry.member.service, entry.member.node, getDigestText(entry))
    this._tombstones -= entry.member.state === 'left' ? 1 : 0
  }

  private _add (member: Member, direct: boolean, nowMs: number): MemberChange | undefined {
    if (member.silent === true) {
      return undefined
    }
    if (this._entries.size - this._tombstones >= this._limits.maxMembers) {
      this._overflowCount += 1
      return undefined
    }
    const entry: MemberEntry = {
      member: stripLiveness(member),
      visibleFields: serializeVisibleFields(member),
      heartbeat: getHeartbeatPosition(member),
      silent: false,
      leaseRenewedAtMs: nowMs,
      goneAtMs: nowMs,
      missingSinceMs: undefined,
      receivedDirectly: direct,
      lastRelayed: undefined
    }
    this._entries.set(member.node, entry)
    this.index.add(member.service, member.node, getDigestText(entry))
    const left = member.state === 'left'
    this._adjustTombstones(left ? 1 : 0)
    return { entry, isVisible: true, isNewer: true, actions: left ? [] : [{ type: 'joined', member: entry.member }] }
  }

  private _replace (entry: MemberEntry, member: Member): void {
    const { service, node, state } = entry.member
    this.index.remove(service, node, getDigestText(entry))
    entry.member = member
    entry.visibleFields = serializeVisibleFields(member)
    this.index.add(member.service, node, getDigestText(entry))
    this._adjustTombstones((member.state === 'left' ? 1 : 0) - (state === 'left' ? 1 : 0))
  }

  /** Applies a heartbeat unless a later one is known; of two equal ones, silence wins. */
  private _updateHeartbeat (entry: MemberEntry, heartbeat: HeartbeatPosition, silent: boolean, nowMs: number): void {
    const order = compareHeartbeats(heartbeat, entry.heartbeat)
    if (order < 0 || (order === 0 && !silent)) {
      return
    }
    if (order > 0) {
      entry.leaseRenewedAtMs = nowMs
    }
    entry.heartbeat = heartbeat
    this._setSilent(entry, silent)
  }

  private _setSilent (entry: MemberEntry, silent: boolean): void {
    if (entry.silent === silent) {
      return
    }
    const { service, node } = entry.member
    this.index.remove(service, node, getDigestText(entry))
    entry.silent = silent
    this.index.add(service, node, getDigestText(entry))
  }

  /** Adjusts the count of members that left; above the bound, removes the one that was added to the store first. */
  private _adjustTombstones (change: number): void {
    this._tombstones += change
    if (this._tombstones <= this._limits.maxTombstones) {
      return
    }
    for (const entry of this._entries.values()) {
      if (entry.member.state === 'left') {
        this.remove(entry)
        return
      }
    }
  }
}

/**
 * Returns whether a received member is neither silent nor left.
 * @param member Member as it was received.
 */
export function isLive (member: Member): boolean {
  return member.silent !== true && member.state !== 'left'
}

/**
 * Returns whether an entry is neither silent nor left.
 * @param entry Entry of a store.
 */
export function isPresent (entry: MemberEntry): boolean {
  return getPresence(entry) === 'present'
}

/**
 * Returns an entry as it is sent to peers. `beat` counts within a sequence, so it is 0 when the latest heartbeat has
 * another sequence than the announcement.
 * @param entry Entry of a store.
 */
export function toWireMember (entry: MemberEntry): Member {
  const beat = entry.heartbeat.sequence === entry.member.sequence ? entry.heartbeat.beat : 0
  return { ...entry.member, beat, silent: entry.silent }
}

/** Compares an entry with its state before an update, and derives the action for the host. */
function completeChange (entry: MemberEntry, before: VisibleState, isNewer: boolean, nowMs: number): MemberChange {
  const after = getVisibleState(entry)
  const isVisible = before.presence !== after.presence || before.visibleFields !== after.visibleFields
  if (isVisible && after.presence !== 'present') {
    entry.goneAtMs = nowMs
  }
  return { entry, isVisible, isNewer, actions: isVisible ? [createAction(entry, before)] : [] }
}

function getVisibleState (entry: MemberEntry): VisibleState {
  return { visibleFields: entry.visibleFields, presence: getPresence(entry), incarnation: entry.member.incarnation }
}

function getPresence (entry: MemberEntry): Presence {
  if (entry.member.state === 'left') {
    return 'left'
  }
  return entry.silent ? 'silent' : 'present'
}

/** Returns the text that stands for an entry in the digest; members that are not present are left out. */
function getDigestText (entry: MemberEntry): string | undefined {
  return isPresent(entry) ? entry.visibleFields : undefined
}

function createAction (entry: MemberEntry, before: VisibleState): MembershipAction {
  const member = entry.member
  const presence = getPresence(entry)
  if (presence !== 'present') {
    return { type: presence, member }
  }
  if (member.incarnation !== before.incarnation) {
    return { type: 'restarted', member, earlier: before.incarnation }
  }
  return { type: before.presence === 'present' ? 'changed' : 'joined', member }
}
