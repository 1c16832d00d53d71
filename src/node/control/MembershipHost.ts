import type { ControlToNode } from '../../control/Types.js'
import { ALL_SERVICES } from '../../parts/membership/Constants.js'
import { MembershipTable } from '../../parts/membership/MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent, MemberState } from '../../parts/membership/Types.js'
import type { Incarnation, NodeId, Place, ServiceName } from '../../parts/Types.js'
import { Emitter } from '../../platform/Emitter.js'
import type { Clock, Disposable, Log } from '../../platform/Types.js'
import type { Announcement } from '../upstreamside/Types.js'
import type { ControlLinks } from './ControlLinks.js'

/** This node as others see it. */
export interface Identity {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly place: Place
  /** Peer listener, `host:port`. */
  readonly address: string
}

/** Name under which the table knows the control replica that is the home. */
const HOME = 'home'

const TICK_MS = 250

/** Ticks between two signs of life to the home. */
const TICKS_PER_SIGN = 2

/** Hosts the membership table: announces the local upstream and keeps the members of the services of interest. */
export class MembershipHost implements Disposable {
  private readonly table: MembershipTable
  private readonly changes = new Emitter<ServiceName>()
  private readonly timer: NodeJS.Timeout
  private interest: readonly ServiceName[] = []
  private sequence = 0
  private ticks = 0
  private announced: Member | undefined

  public constructor (
    private readonly identity: Identity,
    private readonly links: ControlLinks,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly mayBeat: () => boolean
  ) {
    this.table = new MembershipTable({ role: 'node', self: identity.node })
    links.onFrame(frame => this.handleFrame(frame))
    links.onHome(() => this.greetHome())
    this.timer = setInterval(() => this.tick(), TICK_MS)
  }

  /** Fires with the service whose members changed. */
  public readonly onChange = this.changes.event

  /** Members of a service that are neither silent nor left. */
  public membersOf (service: ServiceName): Member[] {
    return this.table.membersOf(service)
  }

  /** Asks for the members of these services. */
  public setInterest (services: readonly ServiceName[]): void {
    this.interest = services
    this.tellInterest()
  }

  /** Tells others of the local upstream. A repeated announcement costs nothing. */
  public announce (announcement: Pick<Announcement, 'service' | 'slots'>, state: MemberState): void {
    const { service, slots } = announcement
    const before = this.announced
    if (before?.service === service && before.slots === slots && before.state === state) return
    this.announced = { ...this.identity, service, slots, state, sequence: ++this.sequence }
    this.step({ type: 'announce', member: this.announced })
  }

  /** Tells others that the local upstream has left. */
  public leave (): void {
    if (this.announced !== undefined) this.announce(this.announced, 'left')
  }

  /** Bounded description for the state dump. */
  public describe (): object {
    const members = this.table.members().map(({ node, service, state, silent }) => ({ node, service, state, silent }))
    return { interest: this.interest, counters: this.table.counters, members: members.slice(0, 200) }
  }

  /** Stops the ticks. */
  public dispose (): void {
    clearInterval(this.timer)
  }

  private tick (): void {
    this.step({ type: 'tick' })
    if (++this.ticks % TICKS_PER_SIGN !== 0 || this.announced === undefined || !this.mayBeat()) return
    const { incarnation, sequence } = this.announced
    this.links.sendHome({ type: 'alive', incarnation, sequence })
  }

  private handleFrame (frame: ControlToNode): void {
    if (frame.type === 'membership') this.step({ ...frame, type: 'merge', from: HOME })
    if (frame.type === 'digest') this.step({ type: 'digest', from: HOME, digests: frame.digests })
  }

  private greetHome (): void {
    this.step({ type: 'lost', from: HOME })
    this.step({ type: 'interest', from: HOME, services: [ALL_SERVICES] })
    this.renew()
    this.tellInterest()
  }

  // A new home may hold the silence that another saw: only a later sequence ends that for certain.
  private renew (): void {
    if (this.announced === undefined) return
    this.announced = { ...this.announced, sequence: ++this.sequence }
    this.step({ type: 'announce', member: this.announced })
  }

  private tellInterest (): void {
    const known = new Set(this.interest)
    const digests = this.table.digests().filter(digest => known.has(digest.service))
    this.links.sendHome({ type: 'interest', services: this.interest, digests })
  }

  private step (event: MembershipEvent): void {
    for (const action of this.table.step(event, this.clock.nowMs())) this.handleAction(action)
  }

  private handleAction (action: MembershipAction): void {
    if (action.type === 'send') {
      this.links.sendHome({ type: 'membership', members: action.members })
      return
    }
    if (action.type === 'sendDigest') {
      this.links.sendHome({ type: 'digest', digests: action.digests })
      return
    }
    if (action.type === 'sendBeats') return
    const { node, service, state } = action.member
    this.log.info({ node, service, state }, `member ${action.type}`)
    this.changes.fire(service)
  }
}
