import type { ControlToNode } from '../../control/Types.js'
import { ALL_SERVICES } from '../../parts/membership/Constants.js'
import { MembershipTable } from '../../parts/membership/MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent, MemberState } from '../../parts/membership/Types.js'
import type { Incarnation, NodeId, ProcessLocation, ServiceName } from '../../parts/Types.js'
import { Emitter } from '../../runtime/Emitter.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import type { Announcement } from '../upstreamside/Types.js'
import type { ControlLinks } from './ControlLinks.js'

/** Identity of this node in the membership. */
export interface NodeIdentity {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly place: ProcessLocation
  /** Peer listener, `host:port`. */
  readonly address: string
}

/** Name under which the membership table knows the home control replica, whichever replica that is. */
const HOME = 'home'

/** Interval of the table's ticks. */
const TICK_MS = 250

/** Number of ticks between two heartbeats to the home replica. */
const TICKS_PER_HEARTBEAT = 2

/**
 * Runs the membership table of a node: announces the local upstream, and keeps the members of the services of interest
 * up to date with the home control replica.
 */
export class MembershipHost implements Disposable {
  private readonly _table: MembershipTable
  private readonly _changes = new Emitter<ServiceName>()
  private readonly _timer: NodeJS.Timeout
  private _interest: readonly ServiceName[] = []
  private _sequence = 0
  private _ticks = 0
  private _announced: Member | undefined

  /**
   * @param _maySendHeartbeat Returns whether the budget for control traffic allows one more heartbeat, and charges it.
   */
  public constructor (
    private readonly _identity: NodeIdentity,
    private readonly _links: ControlLinks,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _maySendHeartbeat: () => boolean
  ) {
    this._table = new MembershipTable({ role: 'node', self: _identity.node })
    _links.onFrame(frame => this._onFrame(frame))
    _links.onHomeReady(() => this._onHomeChange())
    this._timer = setInterval(() => this._tick(), TICK_MS)
  }

  /** Fires with the name of a service whose members have changed. */
  public readonly onChange = this._changes.event

  /** Members of a service that have neither timed out nor left. */
  public membersOf (service: ServiceName): Member[] {
    return this._table.membersOf(service)
  }

  /** Subscribes to the members of these services, in place of the previous ones. */
  public setInterest (services: readonly ServiceName[]): void {
    this._interest = services
    this._sendInterest()
  }

  /** Announces the local upstream to the membership; an announcement without a change sends nothing. */
  public announce (announcement: Pick<Announcement, 'service' | 'slots'>, state: MemberState): void {
    const { service, slots } = announcement
    const previous = this._announced
    if (previous?.service === service && previous.slots === slots && previous.state === state) return
    this._announced = { ...this._identity, service, slots, state, sequence: ++this._sequence }
    this._step({ type: 'announce', member: this._announced })
  }

  /** Announces that the local upstream has left. */
  public announceLeft (): void {
    if (this._announced !== undefined) this.announce(this._announced, 'left')
  }

  /** Description for the state dump, limited to 200 members. */
  public describe (): object {
    const members = this._table.members().map(({ node, service, state, silent }) => ({ node, service, state, silent }))
    return { interest: this._interest, counters: this._table.counters, members: members.slice(0, 200) }
  }

  /** Stops the ticks. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private _tick (): void {
    this._step({ type: 'tick' })
    if (++this._ticks % TICKS_PER_HEARTBEAT !== 0 || this._announced === undefined || !this._maySendHeartbeat()) return
    const { incarnation, sequence } = this._announced
    this._links.sendToHome({ type: 'alive', incarnation, sequence })
  }

  private _onFrame (frame: ControlToNode): void {
    if (frame.type === 'membership') this._step({ ...frame, type: 'merge', from: HOME })
    if (frame.type === 'digest') this._step({ type: 'digest', from: HOME, digests: frame.digests })
  }

  private _onHomeChange (): void {
    // The home is handled like a newly connected peer: the table sends it the local member again.
    this._step({ type: 'lost', from: HOME })
    this._step({ type: 'interest', from: HOME, services: [ALL_SERVICES] })
    this._reannounce()
    this._sendInterest()
  }

  // The new home replica may have recorded this member as silent; only a later sequence number is certain to override
  // that.
  private _reannounce (): void {
    if (this._announced === undefined) return
    this._announced = { ...this._announced, sequence: ++this._sequence }
    this._step({ type: 'announce', member: this._announced })
  }

  private _sendInterest (): void {
    const interest = new Set(this._interest)
    const digests = this._table.digests().filter(digest => interest.has(digest.service))
    this._links.sendToHome({ type: 'interest', services: this._interest, digests })
  }

  private _step (event: MembershipEvent): void {
    for (const action of this._table.step(event, this._clock.nowMs())) this._performAction(action)
  }

  private _performAction (action: MembershipAction): void {
    if (action.type === 'send') {
      this._links.sendToHome({ type: 'membership', members: action.members })
      return
    }
    if (action.type === 'sendDigest') {
      this._links.sendToHome({ type: 'digest', digests: action.digests })
      return
    }
    // Only control replicas relay heartbeats; a node sends its own in `_tick`.
    if (action.type === 'sendBeats') return
    const { node, service, state } = action.member
    this._log.info({ node, service, state }, `member ${action.type}`)
    this._changes.fire(service)
  }
}
