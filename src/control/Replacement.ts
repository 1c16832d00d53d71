import { replicaName } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import type { ReplicaId } from '../parts/Types.js'
import type { Log } from '../runtime/Types.js'
import type { ProposalOutcome } from './GroupHost.js'

/** What a replacement needs of the group. */
export interface ReplacementGroup {
  readonly view: ReplicaView
  changeMembers (members: readonly ReplicaId[]): Promise<ProposalOutcome<unknown>>
}

/** How long a replica that asks to be taken in counts as there, in milliseconds. */
const ASKED_VALID_MS = 1000

/**
 * Takes a replica whose disk is new into the group, at the leader: first the identity that the same name
 * had before is removed, then the new one is added. A name of the settings under which an empty disk
 * answers proves that the earlier disk is gone.
 */
export class Replacement {
  private readonly _asked = new Map<string, { readonly replica: ReplicaId, readonly atMs: number }>()
  private _busy = false

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
  public hear (replica: ReplicaId, nowMs: number): void {
    const name = replicaName(replica)
    if (this._names.includes(name)) this._asked.set(name, { replica, atMs: nowMs })
  }

  /**
   * Starts the next step, if there is one.
   * @param nowMs Monotonic time in milliseconds.
   */
  public tick (nowMs: number): void {
    if (this._busy || this._group.view.role !== 'leader') return
    const members = this._nextMembers(nowMs)
    if (members === undefined) return
    this._busy = true
    this._log.info({ members }, 'changing the members to replace a lost disk')
    this._change(members).catch((error: Error) => this._log.error({ error: error.message }, 'members change failed'))
  }

  private async _change (members: readonly ReplicaId[]): Promise<void> {
    const outcome = await this._group.changeMembers(members)
    this._busy = false
    this._log.info({ members, outcome: outcome.type }, 'members change ended')
  }

  private _nextMembers (nowMs: number): ReplicaId[] | undefined {
    const { members } = this._group.view
    for (const [name, { replica, atMs }] of this._asked) {
      if (members.includes(replica) || nowMs - atMs > ASKED_VALID_MS) {
        this._asked.delete(name)
        continue
      }
      const earlier = members.find(member => replicaName(member) === name)
      return earlier === undefined ? [...members, replica] : members.filter(member => member !== earlier)
    }
    return undefined
  }
}
