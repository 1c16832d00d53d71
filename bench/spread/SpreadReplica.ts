/** A control replica's spreading side, joined as the control daemon joins it; agreement is a delay. */
import type { ControlToNode, MembershipFrame, NodeToControl } from '../../src/control/Types.js'
import type { ConfigurationRegister } from '../../src/parts/configuration/ConfigurationRegister.js'
import { ALL_SERVICES } from '../../src/parts/membership/Constants.js'
import { MembershipTable } from '../../src/parts/membership/MembershipTable.js'
import type { MembershipEvent } from '../../src/parts/membership/Types.js'
import { type Endpoint, type VirtualNetwork, noSpending } from './VirtualNetwork.js'

/** One control replica with its attached nodes. */
export class SpreadReplica implements Endpoint {
  public readonly spending = noSpending()
  /** Members that this replica knows as live. */
  public readonly table = new MembershipTable({ role: 'replica' })
  private readonly sessions = new Map<string, { version: number }>()

  public constructor (
    private readonly network: VirtualNetwork,
    private readonly register: ConfigurationRegister,
    public readonly name: string,
    public readonly region: number
  ) {}

  public attachReplica (other: string): void {
    this.step({ type: 'interest', from: other, services: [ALL_SERVICES] })
  }

  public detach (peer: string): void {
    this.sessions.delete(peer)
    this.step({ type: 'lost', from: peer })
  }

  public runTimers (): void {
    this.step({ type: 'tick' })
  }

  /** The change is committed and applied here. */
  public push (): void {
    for (const [node, session] of this.sessions) {
      if (session.version < this.register.inForce.version) {
        this.sendNewest(node, session, false)
      }
    }
  }

  public receive (from: string, message: unknown): void {
    const frame = message as NodeToControl
    const session = this.sessions.get(from)
    if (frame.type === 'nodeHello') {
      const opened = { version: frame.version }
      this.sessions.set(from, opened)
      if (frame.version < this.register.inForce.version) this.sendNewest(from, opened, false)
    } else if (frame.type === 'heartbeat' && session !== undefined) {
      this.answer(from, session, frame.version, frame.askedAtMs)
    } else if (frame.type === 'askCopy') {
      this.toNode(from, { type: 'copy', confirmed: false, copy: this.register.inForce })
    } else {
      this.receiveMembership(from, frame as MembershipFrame)
    }
  }

  private receiveMembership (from: string, frame: MembershipFrame): void {
    if (frame.type === 'membership' && from.startsWith('node-')) {
      frame.members.forEach((member) => this.step({ type: 'announce', member }))
    } else if (frame.type === 'membership') {
      this.step({ ...frame, type: 'merge', from })
    } else if (frame.type === 'alive') {
      this.step({ type: 'heartbeat', node: from, incarnation: frame.incarnation, sequence: frame.sequence })
    } else if (frame.type === 'interest' || frame.type === 'digest' || frame.type === 'beats') {
      this.step({ ...frame, from } as MembershipEvent)
    }
  }

  private answer (node: string, session: { version: number }, version: number, askedAtMs: number | undefined): void {
    const { inForce } = this.register
    session.version = version
    const asked = askedAtMs === undefined ? {} : { askedAtMs }
    if (version !== inForce.version) {
      this.sendNewest(node, session, true, askedAtMs)
      return
    }
    this.toNode(node, { type: 'confirm', version, term: inForce.term, ...asked })
  }

  private sendNewest (node: string, session: { version: number }, confirmed: boolean, askedAtMs?: number): void {
    const asked = askedAtMs === undefined ? {} : { askedAtMs }
    const difference = this.register.differenceFrom(session.version)
    if (difference === undefined) {
      this.toNode(node, { type: 'copy', confirmed, copy: this.register.inForce, ...asked })
    } else {
      this.toNode(node, { type: 'difference', confirmed, difference, ...asked })
    }
    session.version = this.register.inForce.version
  }

  private toNode (node: string, frame: ControlToNode): void {
    this.network.send(this.name, node, frame)
  }

  private step (event: MembershipEvent): void {
    for (const action of this.table.step(event, this.network.nowMs)) {
      if (action.type === 'send') {
        const whole = action.whole === undefined ? {} : { whole: action.whole }
        this.network.send(this.name, action.to, { type: 'membership', members: action.members, ...whole })
      } else if (action.type === 'sendBeats') {
        this.network.send(this.name, action.to, { type: 'beats', beats: action.beats })
      } else if (action.type === 'sendDigest') {
        this.network.send(this.name, action.to, { type: 'digest', digests: action.digests })
      }
    }
  }
}
