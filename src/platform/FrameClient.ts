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
  private readonly connections = new Emitter<FrameChannel<In, Out>>()
  private readonly losses = new Emitter<string>()
  private current: FrameChannel<In, Out> | undefined
  private socket: Socket | undefined
  private timer: NodeJS.Timeout | undefined
  private waitMs = RECONNECT_MIN_MS
  private disposed = false

  /**
   * @param address `host:port` of the other end.
   * @param random Spreads the waits, so that many clients don't come back at once.
   */
  public constructor (
    public readonly address: string,
    private readonly clock: Clock,
    private readonly random: Random
  ) {}

  /** Fires with each new channel. */
  public readonly onChannel = this.connections.event

  /** Fires with the reason when a connect failed or a channel ended. */
  public readonly onLoss = this.losses.event

  /** The open channel, if there is one. */
  public get channel (): FrameChannel<In, Out> | undefined {
    return this.current
  }

  /** Starts to connect. */
  public start (): void {
    if (this.disposed || this.socket !== undefined) return
    const socket = connect(parseAddress(this.address))
    this.socket = socket
    const timeout = setTimeout(() => socket.destroy(new Error('connect timed out')), CONNECT_TIMEOUT_MS)
    const fail = (error: Error): void => this.handleLoss(error.message)
    socket.once('error', fail)
    socket.once('connect', () => {
      clearTimeout(timeout)
      socket.off('error', fail)
      this.open(new FrameChannel<In, Out>(socket, this.clock))
    })
    socket.once('close', () => clearTimeout(timeout))
  }

  /** Ends the channel and connects no more. */
  public dispose (): void {
    this.disposed = true
    clearTimeout(this.timer)
    this.current?.dispose()
    this.socket?.destroy()
  }

  private open (channel: FrameChannel<In, Out>): void {
    this.waitMs = RECONNECT_MIN_MS
    this.current = channel
    channel.onClose(reason => this.handleLoss(reason))
    this.connections.fire(channel)
  }

  private handleLoss (reason: string): void {
    if (this.socket === undefined) return
    this.current = undefined
    this.socket = undefined
    this.losses.fire(reason)
    if (this.disposed) return
    this.timer = setTimeout(() => this.start(), this.waitMs * (0.5 + this.random.next()))
    this.waitMs = Math.min(this.waitMs * 2, RECONNECT_MAX_MS)
  }
}
