import type { ControlToNode, NodeToControl } from '../../src/control/Types.js'
import type { RecordCommand, RecordReply } from '../../src/parts/records/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { FrameClient } from '../../src/runtime/FrameClient.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'

/** Sends record commands to one control replica as a node would. */
export class RecordClient {
  private readonly _client: FrameClient<ControlToNode, NodeToControl>
  private readonly _pendingReplies = new Map<number, (reply: RecordReply | undefined) => void>()
  private _nextId = 1

  /**
   * @param address Peer listener of the replica.
   * @param node Node name for the hello frame.
   */
  public constructor (address: string, node: string) {
    const clock = new SystemClock()
    this._client = new FrameClient(address, clock, new SeededRandom(1))
    this._client.onChannel(channel => {
      const place = { region: 'kyushu', zone: 'fukuoka' }
      channel.onMessage(frame => this._onFrame(frame))
      channel.send({ type: 'nodeHello', node, incarnation: 1, place, version: 0 })
    })
    this._client.onDisconnect(() => this._failPending())
  }

  /** Resolves when the connection is open. */
  public async connect (): Promise<void> {
    const connected = new Promise<void>(resolve => this._client.onChannel(() => resolve()))
    this._client.start()
    await connected
  }

  /** Sends one command; resolves to undefined when the replica does not lead or the connection is lost. */
  public send (command: RecordCommand): Promise<RecordReply | undefined> {
    const { channel } = this._client
    if (channel === undefined) return Promise.resolve(undefined)
    return new Promise(resolve => {
      const id = this._nextId++
      this._pendingReplies.set(id, resolve)
      channel.send({ type: 'record', id, command })
    })
  }

  /** Requests an execution permit for a new key. */
  public begin (key: string, call: number): Promise<RecordReply | undefined> {
    const holder = { node: 'bench', incarnation: 1, call }
    return this.send({ type: 'begin', record: { service: 'custody', key }, fingerprint: key, holder, runForMs: 60_000 })
  }

  /** Disconnects and resolves pending commands to undefined. */
  public dispose (): void {
    this._client.dispose()
    this._failPending()
  }

  private _onFrame (frame: ControlToNode): void {
    if (frame.type !== 'recordReply' && frame.type !== 'notLeader') return
    const settle = this._pendingReplies.get(frame.id)
    this._pendingReplies.delete(frame.id)
    settle?.(frame.type === 'recordReply' ? frame.reply : undefined)
  }

  private _failPending (): void {
    for (const settle of this._pendingReplies.values()) settle(undefined)
    this._pendingReplies.clear()
  }
}
