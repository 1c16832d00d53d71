import { replicaName } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import type { ReplicaId } from '../parts/Types.js'
import type { Log } from '../runtime/Types.js'
import type { ProposalOutcome } from './ReplicaHost.js'

/** What a replacement needs of the group. */
export interface ReplacementGroup {
  readonly view: ReplicaView
  changeMembers (members: readonly ReplicaId[]): Promise<ProposalOutcome<unknown>>
}

/** How long a replica that asks to be taken in counts as there, in milliseconds. */
const JOIN_REQUEST_VALID_MS = 1000

/**
 * Takes a replica whose disk is new into the group, at the leader: first the identity that the same name
 * had before is removed, then the new one is added. A name of the settings under which an empty disk
 * answers proves that the earlier disk is gone.
 */
export class MemberReplacement {
  private readonly _joinRequests = new Map<string, { readonly replica: ReplicaId, readonly atMs: number }>()
  private _isChanging = false

  /**
   * @param _names Names that the settings list.
   * @param _group The group.
   * @param _log Told of each step.
   */
  public constructor (
    private readonly _names: readonly string[],
    private readonly _group: ReplacementGroup,
    private readonly _log: Log
  ) {}

  /**
   * Takes note of a replica that belongs to no group.
   * @param replica Its id.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordJoinRequest (replica: ReplicaId, nowMs: number): void {
    const name = replicaName(replica)
    if (this._names.includes(name)) this._joinRequests.set(name, { replica, atMs: nowMs })
  }

  /**
   * Starts the next step, if there is one.
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
