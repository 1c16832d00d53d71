import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { parseAddress } from '../../src/runtime/Address.js'

/** Bytes that the relay passes on at a time: a packet. */
const PACKET_BYTES = 1460

const BITS_PER_BYTE = 8

/** Bits in a millisecond at 1 Mbit/s. */
const BITS_PER_MS_AND_MBPS = 1000

/** A TCP relay that passes on bytes at the rate of a link, in each direction and in the order of arrival. */
export class PacedRelay {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  /**
   * @param target Address to forward to, `host:port`.
   * @param _mbps Rate in Mbit/s.
   */
  public constructor (target: string, private readonly _mbps: number) {
    this._server = createServer(client => {
      const server = connect(parseAddress(target))
      this._forward(client, server)
      this._forward(server, client)
    })
  }

  /** Starts to listen and returns the address, `host:port`. */
  public async listen (): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  public dispose (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _forward (from: Socket, to: Socket): void {
    this._sockets.add(from)
    from.setNoDelay(true)
    from.on('error', () => {})
    from.once('close', () => to.destroy())
    let freeAtMs = 0
    // Timers that were set while the event loop was busy may fire out of order.
    const packets: Buffer[] = []
    from.on('data', (chunk: Buffer) => {
      for (let start = 0; start < chunk.length; start += PACKET_BYTES) {
        const packet = chunk.subarray(start, start + PACKET_BYTES)
        const nowMs = performance.now()
        freeAtMs = Math.max(nowMs, freeAtMs) + packet.length * BITS_PER_BYTE / (this._mbps * BITS_PER_MS_AND_MBPS)
        packets.push(packet)
        setTimeout(() => { to.write(packets.shift()!) }, freeAtMs - nowMs)
      }
    })
  }
}
