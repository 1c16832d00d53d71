import type { ReplicaId } from '../Types.js'

/** Separates the name that settings give a replica from the identity of its disk. */
const IDENTITY_SEPARATOR = '~'

/** How long a peer's notice counts, in milliseconds. */
const NOTICE_VALID_MS = 2000

/** What replicas tell each other about the group. */
export interface FormationNotice {
  readonly replica: ReplicaId
  /** Empty while the replica belongs to no group. */
  readonly members: readonly ReplicaId[]
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
export function nameOf (id: ReplicaId): string {
  return id.split(IDENTITY_SEPARATOR)[0]!
}

/** A notice and when it came. */
interface HeardNotice extends FormationNotice {
  readonly atMs: number
}

/**
 * Forms a group on empty disks. A replica takes part in a first group when it has heard at one time from
 * every replica of the settings and none of them belongs to a group, or when it hears of a group whose
 * members include its own id. As the id is bound to the disk, a replica that lost its disk is never
 * mistaken for the one that it was: it finds itself outside the group and waits to be added.
 *
 * Memory: one notice for each replica of the settings.
 */
export class GroupFormation {
  private readonly _heard = new Map<string, HeardNotice>()

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
  public hear (notice: FormationNotice, nowMs: number): readonly ReplicaId[] | undefined {
    if (notice.members.includes(this._id)) return notice.members
    const name = nameOf(notice.replica)
    if (this._names.includes(name)) this._heard.set(name, { ...notice, atMs: nowMs })
    return this.ready(nowMs)
  }

  /**
   * Returns the members of a first group once all replicas are there and none belongs to a group.
   * @param nowMs Monotonic time in milliseconds.
   */
  public ready (nowMs: number): readonly ReplicaId[] | undefined {
    const others = this._names.filter(name => name !== nameOf(this._id))
    const heard = others.map(name => this._heard.get(name))
    const free = heard.every(notice =>
      notice !== undefined && notice.members.length === 0 && nowMs - notice.atMs < NOTICE_VALID_MS)
    return free ? [this._id, ...heard.map(notice => notice!.replica)].sort() : undefined
  }
}
