import { createServer } from 'node:net'
import type { Server } from 'node:net'
import { FrameChannel } from './FrameChannel.js'
import { Emitter } from './Emitter.js'
import { parseAddress } from './Address.js'
import type { Clock, Disposable } from './Types.js'

/** Accepts frame channels on one address. */
export class FrameServer<In extends object, Out extends object> implements Disposable {
  private readonly channels = new Set<FrameChannel<In, Out>>()
  private readonly connections = new Emitter<FrameChannel<In, Out>>()
  private readonly server: Server

  public constructor (private readonly clock: Clock) {
    this.server = createServer(socket => this.accept(new FrameChannel<In, Out>(socket, this.clock)))
  }

  /** Fires with each accepted channel. */
  public readonly onChannel = this.connections.event

  /**
   * Starts to listen.
   * @param address `host:port`; port 0 takes a free one.
   * @returns The address in use.
   */
  public async listen (address: string): Promise<string> {
    const { host, port } = parseAddress(address)
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const bound = this.server.address()
    return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address
  }

  /** Takes no new connections; the open ones live on. */
  public close (): void {
    if (this.server.listening) this.server.close()
  }

  /** Ends the listener and all channels. */
  public dispose (): void {
    this.close()
    for (const channel of this.channels) channel.dispose()
  }

  private accept (channel: FrameChannel<In, Out>): void {
    this.channels.add(channel)
    channel.onClose(() => { this.channels.delete(channel) })
    this.connections.fire(channel)
  }
}
