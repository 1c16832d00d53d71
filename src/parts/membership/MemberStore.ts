import type { NodeId, ServiceName } from '../Types.js'
import { type LifeMark, compareContent, compareLife, contentOf, lifeOf, visibleText } from './MemberOrder.js'
import { ServiceIndex } from './ServiceIndex.js'
import type { Beat, Member, MembershipAction } from './Types.js'

/** Limits of the store. */
export interface StoreLimits {
  readonly maxMembers: number
  readonly maxTombstones: number
}

/** What a caller can tell of a member. */
export type Presence = 'present' | 'silent' | 'left'

/** What is known of one node. */
export interface Entry {
  member: Member
  /** Visible text of the member. */
  text: string
  life: LifeMark
  silent: boolean
  /** Local time of the last sign of life. */
  renewedAtMs: number
  /** Local time at which it left or fell silent. */
  goneAtMs: number
  /** Local time since which the control replica has not named it. */
  missingSinceMs: number | undefined
  /** Heard directly, so that this replica passes its signs of life on. */
  heardHere: boolean
  /** Sign of life that was passed on last. */
  passedOn: LifeMark | undefined
}

/** Outcome of taking one piece of news. */
export interface Change {
  readonly entry: Entry
  /** A caller can tell the difference. */
  readonly visible: boolean
  /** The content has a later (incarnation, sequence). */
  readonly newer: boolean
  readonly actions: MembershipAction[]
}

/** What a caller can tell of an entry, taken before and after a change. */
interface Description {
  readonly text: string
  readonly presence: Presence
  readonly incarnation: number
}

/**
 * Members with the two orders that decide which news counts: content by (incarnation, sequence), signs of life by
 * (incarnation, sequence, beat), where silence wins over life at the same beat.
 */
export class MemberStore {
  public readonly index = new ServiceIndex()
  private readonly _limits: StoreLimits
  private readonly _entries = new Map<NodeId, Entry>()
  private _tombstones = 0
  private _staleCount = 0
  private _overflowCount = 0

  /**
   * @param limits Bounds on members and on members that left.
   */
  public constructor (limits: StoreLimits) {
    this._limits = limits
  }

  /** Members of an older (incarnation, sequence) than the known one, counted since the start. */
  public get stale (): number {
    return this._staleCount
  }

  /** New members that were not taken since the store was full. */
  public get overflow (): number {
    return this._overflowCount
  }

  /** All entries, oldest first. */
  public all (): Entry[] {
    return [...this._entries.values()]
  }

  /**
   * Returns what is known of a node.
   * @param node Node.
   */
  public get (node: NodeId): Entry | undefined {
    return this._entries.get(node)
  }

  /**
   * Returns the entries of a service, also those that are silent or left.
   * @param service Service.
   */
  public entriesOf (service: ServiceName): Entry[] {
    return this.index.nodesOf(service).map((node) => this._entries.get(node) as Entry)
  }

  /**
   * Takes a member, from its own announcement or from a peer.
   * @param member Member with its signs of life.
   * @param direct True when the node itself was heard.
   * @param nowMs Monotonic time in milliseconds.
   */
  public take (member: Member, direct: boolean, nowMs: number): Change | undefined {
    const entry = this._entries.get(member.node)
    if (entry === undefined) {
      return this._add(member, direct, nowMs)
    }
    if (isLive(member)) {
      entry.missingSinceMs = undefined
    }
    const order = compareContent(member, entry.member)
    if (order < 0) {
      this._staleCount += 1
      return undefined
    }
    const before = describe(entry)
    if (order > 0) {
      this._replace(entry, contentOf(member))
    }
    entry.heardHere = direct || (entry.heardHere && order === 0)
    this._takeLife(entry, lifeOf(member), member.silent === true, nowMs)
    return changeOf(entry, before, order > 0, nowMs)
  }

  /**
   * Takes a sign of life of the known incarnation.
   * @param beat Sign of life.
   * @param nowMs Monotonic time in milliseconds.
   */
  public renew (beat: Beat, nowMs: number): Change | undefined {
    const entry = this._entries.get(beat.node)
    if (entry === undefined || beat.incarnation !== entry.member.incarnation || entry.member.state === 'left') {
      return undefined
    }
    const before = describe(entry)
    this._takeLife(entry, lifeOf(beat), false, nowMs)
    return changeOf(entry, before, false, nowMs)
  }

  /**
   * Marks a member silent at its last sign of life.
   * @param entry Entry of this store.
   * @param nowMs Monotonic time in milliseconds.
   */
  public silence (entry: Entry, nowMs: number): Change {
    const before = describe(entry)
    this._setSilent(entry, true)
    return changeOf(entry, before, false, nowMs)
  }

  /**
   * Forgets a member.
   * @param entry Entry of this store.
   */
  public remove (entry: Entry): void {
    this._entries.delete(entry.member.node)
    this.index.remove(entry.member.service, entry.member.node, textOf(entry))
    this._tombstones -= entry.member.state === 'left' ? 1 : 0
  }

  private _add (member: Member, direct: boolean, nowMs: number): Change | undefined {
    if (member.silent === true) {
      return undefined
    }
    if (this._entries.size - this._tombstones >= this._limits.maxMembers) {
      this._overflowCount += 1
      return undefined
    }
    const entry: Entry = {
      member: contentOf(member),
      text: visibleText(member),
      life: lifeOf(member),
      silent: false,
      renewedAtMs: nowMs,
      goneAtMs: nowMs,
      missingSinceMs: undefined,
      heardHere: direct,
      passedOn: undefined
    }
    this._entries.set(member.node, entry)
    this.index.add(member.service, member.node, textOf(entry))
    const left = member.state === 'left'
    this._noteTombstone(left ? 1 : 0)
    return { entry, visible: true, newer: true, actions: left ? [] : [{ type: 'joined', member: entry.member }] }
  }

  private _replace (entry: Entry, member: Member): void {
    const { service, node, state } = entry.member
    this.index.remove(service, node, textOf(entry))
    entry.member = member
    entry.text = visibleText(member)
    this.index.add(member.service, node, textOf(entry))
    this._noteTombstone((member.state === 'left' ? 1 : 0) - (state === 'left' ? 1 : 0))
  }

  private _takeLife (entry: Entry, life: LifeMark, silent: boolean, nowMs: number): void {
    const order = compareLife(life, entry.life)
    if (order < 0 || (order === 0 && !silent)) {
      return
    }
    if (order > 0) {
      entry.renewedAtMs = nowMs
    }
    entry.life = life
    this._setSilent(entry, silent)
  }

  private _setSilent (entry: Entry, silent: boolean): void {
    if (entry.silent === silent) {
      return
    }
    const { service, node } = entry.member
    this.index.remove(service, node, textOf(entry))
    entry.silent = silent
    this.index.add(service, node, textOf(entry))
  }

  private _noteTombstone (change: number): void {
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
 * Returns whether a member was sent as neither silent nor left.
 * @param member Member as it was received.
 */
export function isLive (member: Member): boolean {
  return member.silent !== true && member.state !== 'left'
}

/**
 * Returns whether a member is neither silent nor left.
 * @param entry Entry of a store.
 */
export function isPresent (entry: Entry): boolean {
  return presenceOf(entry) === 'present'
}

/**
 * Returns an entry as it is sent; its beat only counts together with the sequence of its content.
 * @param entry Entry of a store.
 */
export function wireOf (entry: Entry): Member {
  const beat = entry.life.sequence === entry.member.sequence ? entry.life.beat : 0
  return { ...entry.member, beat, silent: entry.silent }
}

function changeOf (entry: Entry, before: Description, newer: boolean, nowMs: number): Change {
  const after = describe(entry)
  const visible = before.presence !== after.presence || before.text !== after.text
  if (visible && after.presence !== 'present') {
    entry.goneAtMs = nowMs
  }
  return { entry, visible, newer, actions: visible ? [actionOf(entry, before)] : [] }
}

function describe (entry: Entry): Description {
  return { text: entry.text, presence: presenceOf(entry), incarnation: entry.member.incarnation }
}

function presenceOf (entry: Entry): Presence {
  if (entry.member.state === 'left') {
    return 'left'
  }
  return entry.silent ? 'silent' : 'present'
}

function textOf (entry: Entry): string | undefined {
  return isPresent(entry) ? entry.text : undefined
}

function actionOf (entry: Entry, before: Description): MembershipAction {
  const member = entry.member
  const presence = presenceOf(entry)
  if (presence !== 'present') {
    return { type: presence, member }
  }
  if (member.incarnation !== before.incarnation) {
    return { type: 'restarted', member, earlier: before.incarnation }
  }
  return { type: before.presence === 'present' ? 'changed' : 'joined', member }
}
