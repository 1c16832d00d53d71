import { findFreeAddresses } from '../../src/demo/FreePorts.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { ControlFeed } from '../../src/routenode/ControlFeed.js'
import type { CallClientFrame, CallServerFrame } from '../../src/routenode/Types.js'
import type { FrameChannel } from '../../src/runtime/FrameChannel.js'
import { FrameServer } from '../../src/runtime/FrameServer.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'
import type { Log } from '../../src/runtime/Types.js'
import type { MeshNode } from './RouteMesh.js'

const SILENT_LOG: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

/** Connection of another node to the fake one. */
export type FakeNodeChannel = FrameChannel<CallClientFrame, CallServerFrame>

/** Status that the fake node attaches to its replies: an idle instance. */
export const IDLE_STATUS = { running: 0, queued: 0, limit: 6, slowness: 1, workMs: 5, failing: 0 }

/** A node with an instance of the mesh's service that publishes itself, and whose replies a test decides on. */
export class FakeNode {
  /** Frames that arrived, apart from pings, in order. */
  public readonly frames: CallClientFrame[] = []
  private readonly _server = new FrameServer<CallClientFrame, CallServerFrame>(new SystemClock())
  private _feed: ControlFeed | undefined

  /**
   * @param _onFrame Handles each frame but pings, which are answered.
   */
  public constructor (private readonly _onFrame: (channel: FakeNodeChannel, frame: CallClientFrame) => void) {
    this._server.onChannel(channel => channel.onMessage(frame => {
      if (frame.type === 'ping') return channel.send({ type: 'pong' })
      this.frames.push(frame)
      this._onFrame(channel, frame)
    }))
  }

  /**
   * Starts to listen and publishes itself.
   * @param other Node of the mesh whose control replica is used.
   */
  public async start ({ settings }: MeshNode): Promise<void> {
    const [address] = await findFreeAddresses(1) as [string]
    await this._server.listen(address)
    const instance = { id: 'fake', bornMs: 1, service: 'svc', slots: 6, state: 'ready' } as const
    const entry = { node: address, zone: 'a', epoch: 1, revision: 1, state: 'up', instance } as const
    const source = { nextEntry: () => entry, crashReports: () => [] }
    this._feed = new ControlFeed(settings.seeds, source, new SystemClock(), new SeededRandom(5), SILENT_LOG)
    this._feed.start()
  }

  public dispose (): void {
    this._feed?.dispose()
    this._server.dispose()
  }
}
