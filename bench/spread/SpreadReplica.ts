/** Distributes configuration and membership like the control daemon; agreement is replaced by a delay. */
import type { ControlToNode, MembershipFrame, NodeToControl } from '../../src/control/Types.js'
import type { ConfigurationStore } from '../../src/parts/configuration/ConfigurationStore.js'
import { ALL_SERVICES } from '../../src/parts/membership/Constants.js'
import { MembershipTable } from '../../src/parts/membership/MembershipTable.js'
import type { MembershipEvent } from '../../src/parts/membership/Types.js'
import { type Endpoint, type VirtualNetwork, createResourceUsage } from './VirtualNetwork.js'

/** Simulates a control replica with its attached nodes. */
export class SpreadReplica implements Endpoint {
  public readonly resourceUsage = createResourceUsage()
  /** Members that this replica considers live. */
  public readonly table = new MembershipTable({ role: 'replica' })
  private readonly _sessions = new Map<string, { version: number }>()

  public constructor (
    private readonly _network: VirtualNetwork,
    private readonly _store: ConfigurationStore,
    public readonly name: string,
    public readonly region: number
  ) {}

  public attachReplica (other: string): void {
    this._step({ type: 'interest', from: other, services: [ALL_SERVICES] })
  }

  public detach (peer: string): void {
    this._sessions.delete(peer)
    this._step({ type: 'lost', from: peer })
  }

  public runTimers (): void {
    this._step({ type: 'tick' })
  }

  /** Sends the newest configuration to the nodes that lack it, once the change is applied here. */
  public push (): void {
    for (const [node, session] of this._sessions) {
      if (session.version < this._store.inForce.version) {
        this._sendNewest(node, session, false)
      }
    }
  }

  public receive (from: string, message: unknown): void {
    const frame = message as NodeToControl
    const session = this._sessions.get(from)
    if (frame.type === 'nodeHello') {
      const opened = { version: frame.version }
      this._sessions.set(from, opened)
      if (frame.version < this._store.inForce.version) this._sendNewest(from, opened, false)
    } else if (frame.type === 'heartbeat' && session !== undefined) {
      this._replyToHeartbeat(from, session, frame.version, frame.askedAtMs)
    } else if (frame.type === 'askCopy') {
      this._sendToNode(from, { type: 'copy', confirmed: false, copy: this._store.inForce })
    } else {
      this._receiveMembership(from, frame as MembershipFrame)
    }
  }

  private _receiveMembership (from: string, frame: MembershipFrame): void {
    if (frame.type === 'membership' && from.startsWith('node-')) {
      frame.members.forEach((member) => this._step({ type: 'announce', member }))
    } else if (frame.type === 'membership') {
      this._step({ ...frame, type: 'merge', from })
    } else if (frame.type === 'alive') {
      this._step({ type: 'heartbeat', node: from, incarnation: frame.incarnation, sequence: frame.sequence })
    } else if (frame.type === 'interest' || frame.type === 'digest' || frame.type === 'beats') {
      this._step({ ...frame, from } as MembershipEvent)
    }
  }

  private _replyToHeartbeat (
    node: string,
    session: { version: number },
    version: number,
    askedAtMs: number | undefined
  ): void {
    const { inForce } = this._store
    session.version = version
    const asked = askedAtMs === undefined ? {} : { askedAtMs }
    if (version !== inForce.version) {
      this._sendNewest(node, session, true, askedAtMs)
      return
    }
    this._sendToNode(node, { type: 'confirm', version, term: inForce.term, ...asked })
  }

  private _sendNewest (node: string, session: { version: number }, confirmed: boolean, askedAtMs?: number): void {
    const asked = askedAtMs === undefined ? {} : { askedAtMs }
    const difference = this._store.deltaFrom(session.version)
    if (difference === undefined) {
      this._sendToNode(node, { type: 'copy', confirmed, copy: this._store.inForce, ...asked })
    } else {
      this._sendToNode(node, { type: 'difference', confirmed, difference, ...asked })
    }
    session.version = this._store.inForce.version
  }

  private _sendToNode (node: string, frame: ControlToNode): void {
    this._network.send(this.name, node, frame)
  }

  private _step (event: MembershipEvent): void {
    for (const action of this.table.step(event, this._network.nowMs)) {
      if (action.type === 'send') {
        const whole = action.whole === undefined ? {} : { whole: action.whole }
        this._network.send(this.name, action.to, { type: 'membership', members: action.members, ...whole })
      } else if (action.type === 'sendBeats') {
        this._network.send(this.name, action.to, { type: 'beats', beats: action.beats })
      } else if (action.type === 'sendDigest') {
        this._network.send(this.name, action.to, { type: 'digest', digests: action.digests })
      }
    }
  }
}
