import type { FromControl, ToControl } from '../control/Types.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { type FrameLimits, FrameServer } from '../runtime/FrameServer.js'
import type { Clock, Disposable } from '../runtime/Types.js'

type Channel = FrameChannel<ToControl, FromControl>

type FrameHandlers = {
  readonly [Type in ToControl['type']]?: (channel: Channel, frame: Extract<ToControl, { type: Type }>) => void
}

/** What a node knows of the control replicas. */
export interface ReplicaKnowledge {
  /** Addresses of the replicas, `host:port`; empty while the node knows none. */
  readonly knownReplicas: readonly string[]
  /** Takes over the address of a replica that has announced itself. */
  addReplica (address: string): void
}

/**
 * Tells other processes where the control replicas are, at the address at which a replica would listen on this VM.
 * Settings name as seeds any processes that serve operators, so seeds may be nodes: replicas announce themselves there,
 * and nodes and replicas that have lost their memory ask there.
 */
export class GroupDirectory implements Disposable {
  private readonly _server: FrameServer<ToControl, FromControl>

  private readonly _handlers: FrameHandlers = {
    replicaHello: (channel, { address }) => {
      this._replicas.addReplica(address)
      channel.send({ type: 'controls', controls: this._replicas.knownReplicas })
    },
    feedHello: channel => {
      const { knownReplicas } = this._replicas
      if (knownReplicas.length > 0) channel.send({ type: 'controls', controls: knownReplicas })
      channel.send({ type: 'feedPong', fit: false })
    },
    operatorCall: channel => { channel.send({ type: 'operatorReply', reply: { type: 'notLeader' } }) },
    operatorOffer: channel => { channel.send({ type: 'operatorReply', reply: { type: 'notLeader' } }) }
  }

  /**
   * @param _replicas What this node knows of the replicas.
   * @param limits Memory and descriptors of the node; defaults when absent.
   */
  public constructor (private readonly _replicas: ReplicaKnowledge, clock: Clock, limits: FrameLimits = {}) {
    this._server = new FrameServer(clock, limits)
    this._server.onChannel(channel => channel.onMessage(frame => {
      const handler = this._handlers[frame.type] as ((channel: Channel, frame: ToControl) => void) | undefined
      handler?.(channel, frame)
    }))
  }

  /** Starts to listen on `host:port`. */
  public async listen (address: string): Promise<void> {
    await this._server.listen(address)
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    this._server.dispose()
  }
}
