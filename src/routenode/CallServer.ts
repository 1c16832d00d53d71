import type { CallId } from '../parts/Types.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameServer } from '../runtime/FrameServer.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { LINK_TIMEOUT_MS } from './Constants.js'
import type { CallClientFrame, CallServerFrame, RoutedCall, RoutedCallHandle, RoutedCallTarget } from './Types.js'

type Channel = FrameChannel<CallClientFrame, CallServerFrame>

/**
 * Accepts calls of other nodes for the instance on this VM. When a connection closes, its calls are cancelled.
 *
 * Memory: one handle for each call in progress.
 */
export class CallServer implements Disposable {
  private readonly _server: FrameServer<CallClientFrame, CallServerFrame>
  private readonly _channels = new Set<Channel>()
  private _isStopping = false
  private _isFinishing = false

  /**
   * @param _target Proxy of the instance.
   */
  public constructor (private readonly _target: RoutedCallTarget, clock: Clock) {
    this._server = new FrameServer(clock)
    this._server.onChannel(channel => this._onChannel(channel))
  }

  /** Starts to listen on `host:port`. */
  public async listen (address: string): Promise<void> {
    await this._server.listen(address)
  }

  /** Notifies all connected nodes that this one is shutting down. */
  public announceStop (): void {
    this._isStopping = true
    for (const channel of this._channels) channel.send({ type: 'stopping' })
  }

  /** Closes the listener, and each connection once the frames for it have arrived at the other node. */
  public async finish (): Promise<void> {
    this._isFinishing = true
    await this._server.finish(LINK_TIMEOUT_MS)
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    this._server.dispose()
  }

  private _onChannel (channel: Channel): void {
    const handles = new Map<CallId, RoutedCallHandle>()
    this._channels.add(channel)
    channel.onClose(() => {
      this._channels.delete(channel)
      for (const handle of handles.values()) handle.cancel()
      handles.clear()
    })
    channel.onMessage(frame => {
      // Its answer could not be sent any more.
      if (frame.type === 'call' && this._isFinishing) return
      if (frame.type === 'call') this._start(channel, handles, frame.call)
      if (frame.type === 'ping') channel.send({ type: 'pong' })
      if (frame.type !== 'cancel') return
      handles.get(frame.id)?.cancel()
      handles.delete(frame.id)
    })
    if (this._isStopping) channel.send({ type: 'stopping' })
  }

  private _start (channel: Channel, handles: Map<CallId, RoutedCallHandle>, call: RoutedCall): void {
    const { id } = call
    let ended = false
    const finish = (frame: CallServerFrame): void => {
      ended = true
      handles.delete(id)
      channel.send(frame)
    }
    const handle = this._target.start(call, {
      onAnswer: (answer, load) => finish({ type: 'answer', id, answer, load }),
      onDeclined: (reason, retryAfterMs, load) => finish({ type: 'turnedAway', id, reason, retryAfterMs, load }),
      onFailed: (proof, reason, load) => finish({ type: 'failed', id, proof, reason, load: load as NonNullable<typeof load> })
    })
    // The target may have answered before it returned.
    if (!ended) handles.set(id, handle)
  }
}
