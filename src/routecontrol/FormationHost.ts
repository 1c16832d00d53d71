import type { ReplicaToReplica } from '../control/Types.js'
import { type FormationNotice, type GroupFormation, replicaName } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import type { ReplicaId } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { ANNOUNCE_INTERVAL_MS, LEADER_NOTICE_TTL_MS } from './Constants.js'

/** The replica that forms or finds its group. */
export interface FormingReplica {
  readonly id: ReplicaId
  readonly view: ReplicaView
  /** True when the log is corrupt; the replica then forms no group. */
  readonly isDamaged: boolean
  formGroup (members: readonly ReplicaId[]): void
  /** Connects to a replica, `host:port`, unless it is connected. */
  connect (address: string): void
  /** Sends a frame to another replica; it may be dropped. */
  send (to: ReplicaId, frame: ReplicaToReplica): void
  /** Sends a frame to all other replicas; each may be dropped. */
  broadcast (frame: ReplicaToReplica): void
}

/** Exchanges notices with other replicas, from which a replica forms the first group or learns of the present one. */
export class FormationHost implements Disposable {
  private _timer: NodeJS.Timeout | undefined
  /** Leader that a member named last, and when. */
  private _noticedLeader: { readonly leader: ReplicaId, readonly atMs: number } | undefined
  /** Members of the group as a member named them last; empty before. */
  private _noticedMembers: readonly ReplicaId[] = []

  /** @param _formation Undefined when this replica belongs to no first group. */
  public constructor (
    private readonly _replica: FormingReplica,
    private readonly _formation: GroupFormation | undefined,
    private readonly _clock: Clock,
    private readonly _log: Log
  ) {}

  /** Starts to announce this replica while it belongs to no group. */
  public start (): void {
    this._timer = setInterval(() => this._announce(), ANNOUNCE_INTERVAL_MS)
  }

  /** Members of the group as this replica knows them, or as a member named them last while it is outside. */
  public get members (): readonly ReplicaId[] {
    const { id, view: { members } } = this._replica
    return members.includes(id) || this._noticedMembers.length === 0 ? members : this._noticedMembers
  }

  /** Leader that a member has named lately. */
  public get noticedLeader (): ReplicaId | undefined {
    if (this._noticedLeader === undefined) return undefined
    const { leader, atMs } = this._noticedLeader
    return this._clock.nowMs() - atMs < LEADER_NOTICE_TTL_MS ? leader : undefined
  }

  /** True when this replica takes itself for a member, knows no leader, and a member has named others than it. */
  public get isExcluded (): boolean {
    const { id, view: { leader } } = this._replica
    return leader === undefined && this._noticedMembers.length > 0 && !this._noticedMembers.includes(id)
  }

  /** Sends a replica the members and the leader of the group. */
  public notify (to: ReplicaId): void {
    this._replica.send(to, this._makeNotice())
  }

  /**
   * Handles the notice of another replica. A member answers one that belongs to no group.
   * @param from The replica.
   */
  public receive (from: ReplicaId, notice: FormationNotice): void {
    const nowMs = this._clock.nowMs()
    notice.members.forEach(member => this._replica.connect(replicaName(member)))
    if (notice.members.length > 0) this._noticedMembers = notice.members
    if (notice.leader !== undefined) this._noticedLeader = { leader: notice.leader, atMs: nowMs }
    if (this._replica.isDamaged) return
    if (this._replica.view.members.length === 0) return this._formGroupIfReady(this._formation?.receive(notice, nowMs))
    if (notice.members.length === 0) this.notify(from)
  }

  public dispose (): void {
    clearInterval(this._timer)
  }

  /** Only a replica that belongs to no group announces itself; a member answers with the members of its group. */
  private _announce (): void {
    if (this._replica.isDamaged || this._replica.view.members.length > 0) return
    this._formGroupIfReady(this._formation?.agreedGroup(this._clock.nowMs()))
    this._replica.broadcast(this._makeNotice())
  }

  private _makeNotice (): Extract<ReplicaToReplica, { type: 'formation' }> {
    const { id, view: { members, leader } } = this._replica
    const notice = this._formation?.makeNotice(members, this._clock.nowMs()) ?? { replica: id, members, heard: [] }
    return { type: 'formation', notice: leader === undefined ? notice : { ...notice, leader } }
  }

  private _formGroupIfReady (members: readonly ReplicaId[] | undefined): void {
    if (members === undefined) return
    this._log.info({ members }, 'forming the group')
    this._replica.formGroup(members)
  }
}
