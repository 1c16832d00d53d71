import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { ConnectionLimit } from '../parts/admission/ConnectionLimit.js'
import { FrameChannel } from './FrameChannel.js'
import { FrameMemory } from './FrameMemory.js'
import { Emitter } from './Emitter.js'
import { listenOn } from './Listen.js'
import type { Clock, Disposable } from './Types.js'

/** Limits of a process for a listener; defaults where the settings do not tell them. */
export interface FrameLimits {
  /** In megabytes. */
  readonly memoryMb?: number | undefined
  readonly maxDescriptors?: number | undefined
}

/** TCP server that accepts frame channels on one address. */
export class FrameServer<In extends object, Out extends object> implements Disposable {
  private readonly _channels = new Set<FrameChannel<In, Out>>()
  private readonly _channelEmitter = new Emitter<FrameChannel<In, Out>>()
  private readonly _server: Server
  /** Channels on which no frame has arrived yet. */
  private readonly _silent: ConnectionLimit<FrameChannel<In, Out>>

  /**
   * @param limits Memory of the process, an eighth of which incomplete frames may take, and its descriptors.
   */
  public constructor (clock: Clock, limits: FrameLimits = {}) {
    const memory = new FrameMemory(limits.memoryMb)
    this._silent = new ConnectionLimit(limits.maxDescriptors, channel => channel.destroy('too many connections say nothing'))
    this._server = createServer(socket => this._accept(new FrameChannel<In, Out>(socket, clock, memory)))
  }

  /** Fires with each accepted channel. */
  public readonly onChannel = this._channelEmitter.event

  /**
   * Starts to listen.
   * @param address `host:port`; with port 0 the operating system picks a free port.
   * @returns The address in use, with the actual port.
   */
  public async listen (address: string): Promise<string> {
    return await listenOn(this._server, address)
  }

  /** Stops accepting connections; open ones stay open. */
  public close (): void {
    if (this._server.listening) this._server.close()
  }

  /** Stops listening and finishes all channels; see `FrameChannel.finish`. */
  public async finish (lingerMs: number): Promise<void> {
    this.close()
    await Promise.all([...this._channels].map(async channel => await channel.finish(lingerMs)))
  }

  /** Stops listening and closes all channels. */
  public dispose (): void {
    this.close()
    for (const channel of this._channels) channel.dispose()
  }

  private _accept (channel: FrameChannel<In, Out>): void {
    this._channels.add(channel)
    this._silent.recordIdle(channel)
    const first = channel.onMessage(() => {
      first.dispose()
      this._silent.remove(channel)
    })
    channel.onClose(() => {
      this._channels.delete(channel)
      this._silent.remove(channel)
    })
    this._channelEmitter.fire(channel)
  }
}
