import type { ReplicaId } from '../Types.js'

/** Separates the name that settings give a replica from the identity of its disk. */
const IDENTITY_SEPARATOR = '~'

/** How long a peer's notice counts, in milliseconds. */
const NOTICE_TTL_MS = 2000

/** What replicas tell each other about the group. */
export interface FormationNotice {
  readonly replica: ReplicaId
  /** Empty while the replica belongs to no group. */
  readonly members: readonly ReplicaId[]
  /** Replicas that it would form a group with now, itself among them, in order. */
  readonly heard: readonly ReplicaId[]
}

/**
 * Makes the id of a replica whose disk is new.
 * @param name Name from the settings.
 * @param nonce Random text, kept on that disk only.
 */
export function makeReplicaId (name: string, nonce: string): ReplicaId {
  return `${name}${IDENTITY_SEPARATOR}${nonce}`
}

/**
 * Returns the name from the settings of a replica.
 * @param id Its id.
 */
export function replicaName (id: ReplicaId): string {
  return id.split(IDENTITY_SEPARATOR)[0]!
}

/** A notice and when it came. */
interface ReceivedNotice extends FormationNotice {
  readonly atMs: number
}

/**
 * Forms a group on empty disks. A replica takes part in a first group when every replica of the settings
 * has told, while it belonged to none, that it would form the very same group; or when it hears of a group
 * whose members include its own id. As an id is bound to its disk, a replica that lost its disk is never
 * mistaken for the one that it was: it finds itself outside the group and waits to be added. As all must
 * have heard of each other's present disks, an old notice of a replica that has joined a group since does
 * not lead to a second group with a disk that is new.
 *
 * Memory: one notice for each replica of the settings.
 */
export class GroupFormation {
  private readonly _peerNotices = new Map<string, ReceivedNotice>()

  /**
   * @param _id Own id.
   * @param _names Names of all first replicas, the own one among them.
   */
  public constructor (
    private readonly _id: ReplicaId,
    private readonly _names: readonly string[]
  ) {}

  /**
   * Takes a peer's notice.
   * @param notice What it told.
   * @param nowMs Monotonic time in milliseconds.
   * @returns The members to form the group with, or undefined to go on waiting.
   */
  public receive (notice: FormationNotice, nowMs: number): readonly ReplicaId[] | undefined {
    if (notice.members.includes(this._id)) return notice.members
    const name = replicaName(notice.replica)
    const isOther = name !== replicaName(this._id) && this._names.includes(name)
    if (isOther) this._peerNotices.set(name, { ...notice, atMs: nowMs })
    return this.agreedGroup(nowMs)
  }

  /**
   * Returns the members of a first group once all replicas would form it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public agreedGroup (nowMs: number): readonly ReplicaId[] | undefined {
    const group = this.proposedGroup(nowMs)
    const isAgreed = this._validNotices(nowMs)
      .every(notice => notice.members.length === 0 && sameIds(notice.heard, group))
    return isAgreed && group.length === this._names.length ? group : undefined
  }

  /**
   * Returns the replicas that this one would form a group with, itself among them, in order.
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
