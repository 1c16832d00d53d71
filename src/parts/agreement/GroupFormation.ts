import type { ReplicaId } from '../Types.js'

/** Separates the configured name of a replica from the identity of its disk. */
const IDENTITY_SEPARATOR = '~'

/** Lifetime of a peer's notice in milliseconds. */
const NOTICE_TTL_MS = 2000

/** Notice that replicas exchange about the group that they belong to or would form. */
export interface FormationNotice {
  readonly replica: ReplicaId
  /** Members of the sender's group; empty while it belongs to none. */
  readonly members: readonly ReplicaId[]
  /** Leader of the sender's group; absent while the sender knows none. */
  readonly leader?: ReplicaId
  /** Replicas with which the sender would form a group now, including itself, sorted by id. */
  readonly heard: readonly ReplicaId[]
  /** Present when the sender's disk was not created at the first start of the whole system. */
  readonly isReplacement?: true
}

/**
 * Returns the id of a replica with a new disk.
 * @param name Configured name of the replica.
 * @param nonce Random text that is stored on that disk only.
 */
export function makeReplicaId (name: string, nonce: string): ReplicaId {
  return `${name}${IDENTITY_SEPARATOR}${nonce}`
}

/**
 * Returns the configured name of a replica.
 * @param id Id of the replica.
 */
export function replicaName (id: ReplicaId): string {
  return id.split(IDENTITY_SEPARATOR)[0]!
}

/** A notice and the monotonic time in milliseconds at which it was received. */
interface ReceivedNotice extends FormationNotice {
  readonly atMs: number
}

/**
 * Forms the first group of replicas whose disks belong to none. A replica joins that group in one of two cases: every
 * configured replica has announced, while it belonged to no group, that it would form exactly this group; or a notice
 * names a group whose members include this replica's id.
 *
 * An id is bound to its disk, so a replica that lost its disk does not count as the member that it was before: it is
 * outside the group and waits to be added. All replicas must have received notices from each other's present disks, so
 * an outdated notice of a replica that has since joined a group does not lead to a second group with a new disk.
 *
 * A replica whose disk was lost before the group has formed takes part as a replacement, since the others can't form
 * the group without it. More than half of the disks must be those of the first start: replicas that have all been added
 * later belong to a group that they don't know yet.
 *
 * Memory: one notice for each configured replica.
 */
export class GroupFormation {
  private readonly _peerNotices = new Map<string, ReceivedNotice>()

  /**
   * @param _id Id of this replica.
   * @param _names Configured names of the first replicas, including this one.
   * @param _isReplacement True when the disk of this replica was not created at the first start of the whole system.
   */
  public constructor (
    private readonly _id: ReplicaId,
    private readonly _names: readonly string[],
    private readonly _isReplacement = false
  ) {}

  /**
   * Handles a peer's notice.
   * @param notice Notice of another replica.
   * @param nowMs Monotonic time in milliseconds.
   * @returns The members of the group to form, or undefined while there is none.
   */
  public receive (notice: FormationNotice, nowMs: number): readonly ReplicaId[] | undefined {
    if (notice.members.includes(this._id)) return notice.members
    const name = replicaName(notice.replica)
    const isOther = name !== replicaName(this._id) && this._names.includes(name)
    if (isOther) this._peerNotices.set(name, { ...notice, atMs: nowMs })
    return this.agreedGroup(nowMs)
  }

  /**
   * Returns the members of the first group once all replicas would form it, otherwise undefined.
   * @param nowMs Monotonic time in milliseconds.
   */
  public agreedGroup (nowMs: number): readonly ReplicaId[] | undefined {
    const group = this.proposedGroup(nowMs)
    const notices = this._validNotices(nowMs)
    const isAgreed = notices.every(notice => notice.members.length === 0 && sameIds(notice.heard, group))
    const replacements = [this._isReplacement, ...notices.map(notice => notice.isReplacement === true)].filter(Boolean)
    const isFirstStart = replacements.length < group.length / 2
    return isAgreed && isFirstStart && group.length === this._names.length ? group : undefined
  }

  /**
   * Returns the notice of this replica.
   * @param members Members of its group; empty while it belongs to none.
   * @param nowMs Monotonic time in milliseconds.
   */
  public makeNotice (members: readonly ReplicaId[], nowMs: number): FormationNotice {
    const notice = { replica: this._id, members, heard: this.proposedGroup(nowMs) }
    return this._isReplacement ? { ...notice, isReplacement: true } : notice
  }

  /**
   * Returns the replicas with which this one would form a group, including itself, sorted by id.
   * @param nowMs Monotonic time in milliseconds.
   */
  public proposedGroup (nowMs: number): readonly ReplicaId[] {
    return [this._id, ...this._validNotices(nowMs).map(notice => notice.replica)].sort()
  }

  private _validNotices (nowMs: number): ReceivedNotice[] {
    return [...this._peerNotices.values()].filter(notice => nowMs - notice.atMs < NOTICE_TTL_MS)
  }
}

function sameIds (first: readonly ReplicaId[], second: readonly ReplicaId[]): boolean {
  return first.length === second.length && first.every((id, index) => id === second[index])
}
