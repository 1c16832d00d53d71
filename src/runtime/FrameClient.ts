import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { parseAddress } from './Address.js'
import { CONNECT_TIMEOUT_MS, RECONNECT_MAX_MS, RECONNECT_MIN_MS } from './Constants.js'
import { Emitter } from './Emitter.js'
import { FrameChannel } from './FrameChannel.js'
import type { Random } from '../parts/Types.js'
import type { Clock, Disposable } from './Types.js'

/** Keeps one channel to an address open: connects again, with growing and spread waits, when it ends. */
export class FrameClient<In extends object, Out extends object> implements Disposable {
  private readonly _connections = new Emitter<FrameChannel<In, Out>>()
  private readonly _losses = new Emitter<string>()
  private _current: FrameChannel<In, Out> | undefined
  private _socket: Socket | undefined
  private _timer: NodeJS.Timeout | undefined
  private _waitMs = RECONNECT_MIN_MS
  private _disposed = false

  /**
   * @param address `host:port` of the other end.
   * @param _random Spreads the waits, so that many clients don't come back at once.
   */
  public constructor (
    public readonly address: string,
    private readonly _clock: Clock,
    private readonly _random: Random
  ) {}

  /** Fires with each new channel. */
  public readonly onChannel = this._connections.event

  /** Fires with the reason when a connect failed or a channel ended. */
  public readonly onLoss = this._losses.event

  /** The open channel, if there is one. */
  public get channel (): FrameChannel<In, Out> | undefined {
    return this._current
  }

  /** Starts to connect. */
  public start (): void {
    if (this._disposed || this._socket !== undefined) return
    const socket = connect(parseAddress(this.address))
    this._socket = socket
    const timeout = setTimeout(() => socket.destroy(new Error('connect timed out')), CONNECT_TIMEOUT_MS)
    const fail = (error: Error): void => this._handleLoss(error.message)
    socket.once('error', fail)
    socket.once('connect', () => {
      clearTimeout(timeout)
      socket.off('error', fail)
      this._open(new FrameChannel<In, Out>(socket, this._clock))
    })
    socket.once('close', () => clearTimeout(timeout))
  }

  /** Ends the channel and connects no more. */
  public dispose (): void {
    this._disposed = true
    clearTimeout(this._timer)
    this._current?.dispose()
    this._socket?.destroy()
  }

  private _open (channel: FrameChannel<In, Out>): void {
    this._waitMs = RECONNECT_MIN_MS
    this._current = channel
    channel.onClose(reason => this._handleLoss(reason))
    this._connections.fire(channel)
  }

  private _handleLoss (reason: string): void {
    if (this._socket === undefined) return
    this._current = undefined
    this._socket = undefined
    this._losses.fire(reason)
    if (this._disposed) return
    this._timer = setTimeout(() => this.start(), this._waitMs * (0.5 + this._random.next()))
    this._waitMs = Math.min(this._waitMs * 2, RECONNECT_MAX_MS)
  }
}
