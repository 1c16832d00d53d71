import type { ControlToNode, NodeToControl } from '../../src/control/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { FrameClient } from '../../src/runtime/FrameClient.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'

const HEARTBEAT_MS = 200

/** A connection to a control replica as a node has it, on which a test sends and awaits frames. */
export class NodeProbe {
  private readonly _client: FrameClient<ControlToNode, NodeToControl>
  private _waiters: Array<(frame: ControlToNode) => boolean> = []

  /**
   * @param address Peer listener of the replica.
   * @param node Name of the node in its hello frame.
   */
  public constructor (address: string, node: string) {
    this._client = new FrameClient(address, new SystemClock(), new SeededRandom(1))
    this._client.onChannel(channel => {
      channel.onMessage(frame => { this._waiters = this._waiters.filter(tryFrame => !tryFrame(frame)) })
      channel.send({ type: 'nodeHello', node, incarnation: 1, place: { region: 'kyushu', zone: 'fukuoka' }, version: 0 })
    })
  }

  /** Connects and sends the hello frame. */
  public async connect (): Promise<void> {
    const connected = new Promise<void>(resolve => this._client.onChannel(() => resolve()))
    this._client.start()
    await connected
  }

  /** Sends a frame if the connection is open. */
  public send (frame: NodeToControl): void {
    this._client.channel?.send(frame)
  }

  /** Resolves with the next frame that matches. */
  public async awaitFrame (matches: (frame: ControlToNode) => boolean): Promise<ControlToNode> {
    return await new Promise(resolve => {
      this._waiters.push(frame => {
        if (!matches(frame)) return false
        resolve(frame)
        return true
      })
    })
  }

  /** Sends a heartbeat at a fixed interval, as a node does, until a reply matches; returns that reply. */
  public async awaitHeartbeatReply (
    frame: Extract<NodeToControl, { type: 'heartbeat' }>, matches: (frame: ControlToNode) => boolean
  ): Promise<ControlToNode> {
    const answer = this.awaitFrame(matches)
    const timer = setInterval(() => this.send(frame), HEARTBEAT_MS)
    this.send(frame)
    return await answer.finally(() => clearInterval(timer))
  }

  /** Disconnects. */
  public dispose (): void {
    this._client.dispose()
  }
}

/** Returns the version that a node has after a full copy or a delta; undefined for other frames. */
export function resultingVersion (frame: ControlToNode): number | undefined {
  if (frame.type === 'copy') return frame.copy.version
  return frame.type === 'difference' ? frame.difference.version : undefined
}
