import type { Socket } from 'node:net'
import { connectTo } from './Address.js'
import { CONNECT_TIMEOUT_MAX_MS, CONNECT_TIMEOUT_MIN_MS, RECONNECT_MAX_MS, RECONNECT_MIN_MS } from './Constants.js'
import { Emitter } from './Emitter.js'
import { FrameChannel } from './FrameChannel.js'
import type { Random } from '../parts/Types.js'
import type { Clock, Disposable } from './Types.js'

/** Keeps one channel to an address open; reconnects with exponential backoff and jitter when it closes. */
export class FrameClient<In extends object, Out extends object> implements Disposable {
  private readonly _channelEmitter = new Emitter<FrameChannel<In, Out>>()
  private readonly _disconnectEmitter = new Emitter<string>()
  private _channel: FrameChannel<In, Out> | undefined
  private _socket: Socket | undefined
  private _timer: NodeJS.Timeout | undefined
  private _backoffMs = RECONNECT_MIN_MS
  private _connectTimeoutMs = CONNECT_TIMEOUT_MIN_MS
  private _disposed = false
  private _refusedSinceMs: number | undefined

  /**
   * @param address `host:port` of the other end.
   * @param _random Source of the jitter, so that many clients don't reconnect at once.
   */
  public constructor (
    public readonly address: string,
    private readonly _clock: Clock,
    private readonly _random: Random
  ) {}

  /** Fires with each new channel. */
  public readonly onChannel = this._channelEmitter.event

  /** Fires with the reason when a connection attempt failed or a channel closed. */
  public readonly onDisconnect = this._disconnectEmitter.event

  /** The open channel, if there is one. */
  public get channel (): FrameChannel<In, Out> | undefined {
    return this._channel
  }

  /**
   * For how long each attempt to connect has been refused, in milliseconds; 0 while a channel is open, or after an
   * attempt that failed in another way.
   */
  public get refusedMs (): number {
    return this._refusedSinceMs === undefined ? 0 : this._clock.nowMs() - this._refusedSinceMs
  }

  /** Starts to connect; does nothing while a connection is open or being opened, or after `dispose`. */
  public start (): void {
    if (this._disposed || this._socket !== undefined) return
    const socket = connectTo(this.address)
    this._socket = socket
    const timeout = setTimeout(() => {
      this._connectTimeoutMs = Math.min(2 * this._connectTimeoutMs, CONNECT_TIMEOUT_MAX_MS)
      socket.destroy(new Error('connect timed out'))
    }, this._connectTimeoutMs)
    const onConnectError = (error: NodeJS.ErrnoException): void => {
      this._refusedSinceMs = error.code === 'ECONNREFUSED' ? this._refusedSinceMs ?? this._clock.nowMs() : undefined
      this._onDisconnect(error.message)
    }
    socket.once('error', onConnectError)
    socket.once('connect', () => {
      clearTimeout(timeout)
      socket.off('error', onConnectError)
      this._onConnect(new FrameChannel<In, Out>(socket, this._clock))
    })
    socket.once('close', () => clearTimeout(timeout))
  }

  /** Closes the channel and stops reconnecting. */
  public dispose (): void {
    this._disposed = true
    clearTimeout(this._timer)
    this._channel?.dispose()
    this._socket?.destroy()
  }

  private _onConnect (channel: FrameChannel<In, Out>): void {
    this._backoffMs = RECONNECT_MIN_MS
    this._connectTimeoutMs = CONNECT_TIMEOUT_MIN_MS
    this._refusedSinceMs = undefined
    this._channel = channel
    channel.onClose(reason => this._onDisconnect(reason))
    this._channelEmitter.fire(channel)
  }

  private _onDisconnect (reason: string): void {
    if (this._socket === undefined) return
    this._channel = undefined
    this._socket = undefined
    this._disconnectEmitter.fire(reason)
    if (this._disposed) return
    this._timer = setTimeout(() => this.start(), this._backoffMs * (0.5 + this._random.next()))
    this._backoffMs = Math.min(this._backoffMs * 2, RECONNECT_MAX_MS)
  }
}
