import { replicaName } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import type { ReplicaId } from '../parts/Types.js'
import type { Log } from '../runtime/Types.js'
import type { ProposalOutcome } from './ReplicaHost.js'

/** The part of the group that a replacement uses. */
export interface ReplacementGroup {
  readonly view: ReplicaView
  changeMembers (members: readonly ReplicaId[]): Promise<ProposalOutcome<unknown>>
}

/** Lifetime of a join request, in milliseconds; the replica repeats it while it runs. */
const JOIN_REQUEST_VALID_MS = 1000

/**
 * Replaces members whose disks were lost, at the leader. When a replica with a new disk asks to join, the former
 * identity of the same name is removed first, then the new one is added. That the configured name now answers with an
 * empty disk proves that the former disk is gone.
 *
 * Memory: one join request for each configured name.
 */
export class MemberReplacement {
  private readonly _joinRequests = new Map<string, { readonly replica: ReplicaId, readonly atMs: number }>()
  private _isChanging = false

  /**
   * @param _names Names of the replicas in the settings; requests of others are ignored.
   * @param _group The group, as seen by this replica.
   * @param _log Log of the member changes.
   */
  public constructor (
    private readonly _names: readonly string[],
    private readonly _group: ReplacementGroup,
    private readonly _log: Log
  ) {}

  /**
   * Records that a replica belongs to no group and waits to be added.
   * @param replica Id of the replica.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordJoinRequest (replica: ReplicaId, nowMs: number): void {
    const name = replicaName(replica)
    if (this._names.includes(name)) this._joinRequests.set(name, { replica, atMs: nowMs })
  }

  /**
   * Starts the next member change if one is needed and none is in progress.
   * @param nowMs Monotonic time in milliseconds.
   */
  public tick (nowMs: number): void {
    if (this._isChanging || this._group.view.role !== 'leader') return
    const members = this._nextMembers(nowMs)
    if (members === undefined) return
    this._isChanging = true
    this._log.info({ members }, 'changing the members to replace a lost disk')
    this._changeMembers(members).catch((error: Error) => this._log.error({ error: error.message }, 'members change failed'))
  }

  private async _changeMembers (members: readonly ReplicaId[]): Promise<void> {
    const outcome = await this._group.changeMembers(members)
    this._isChanging = false
    this._log.info({ members, outcome: outcome.type }, 'members change ended')
  }

  private _nextMembers (nowMs: number): ReplicaId[] | undefined {
    const { members } = this._group.view
    for (const [name, { replica, atMs }] of this._joinRequests) {
      if (members.includes(replica) || nowMs - atMs > JOIN_REQUEST_VALID_MS) {
        this._joinRequests.delete(name)
        continue
      }
      const replaced = members.find(member => replicaName(member) === name)
      return replaced === undefined ? [...members, replica] : members.filter(member => member !== replaced)
    }
    return undefined
  }
}
