import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { parseAddress } from '../../src/runtime/Address.js'

/** Bytes that the relay passes on at a time: a packet. */
const PACKET_BYTES = 1460

const BITS_PER_BYTE = 8

/** Bits in a millisecond at 1 Mbit/s. */
const BITS_PER_MS_AND_MBPS = 1000

type Direction = 'up' | 'down'

/** Link whose rate in each direction is shared by all connections of its relays, in the order in which bytes arrive. */
export class PacedLink {
  private readonly _freeAtMs: Record<Direction, number> = { up: 0, down: 0 }

  /**
   * @param _mbps Rate in Mbit/s.
   */
  public constructor (private readonly _mbps: number) {}

  /** Puts a packet in the queue and returns after how many milliseconds it has passed. */
  public queue (direction: Direction, bytes: number): number {
    const nowMs = performance.now()
    const startsAtMs = Math.max(nowMs, this._freeAtMs[direction])
    this._freeAtMs[direction] = startsAtMs + bytes * BITS_PER_BYTE / (this._mbps * BITS_PER_MS_AND_MBPS)
    return this._freeAtMs[direction] - nowMs
  }
}

/** A TCP relay that passes on bytes at the rate of a link, in each direction and in the order of arrival. */
export class PacedRelay {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private readonly _bytes: Record<Direction, number> = { up: 0, down: 0 }

  /**
   * @param target Address to forward to, `host:port`.
   * @param link Link that all connections share, or the rate in Mbit/s of a link for each connection.
   */
  public constructor (target: string, link: PacedLink | number) {
    this._server = createServer(client => {
      const server = connect(parseAddress(target))
      const own = link instanceof PacedLink ? link : new PacedLink(link)
      this._forward(client, server, own, 'up')
      this._forward(server, client, own, 'down')
    })
  }

  /** Bytes that were received so far, from clients (`up`) and for them (`down`). */
  public get bytes (): Readonly<Record<Direction, number>> {
    return this._bytes
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

  private _forward (from: Socket, to: Socket, link: PacedLink, direction: Direction): void {
    this._sockets.add(from)
    from.setNoDelay(true)
    from.on('error', () => {})
    from.once('close', () => to.destroy())
    // Timers that were set while the event loop was busy may fire out of order.
    const packets: Buffer[] = []
    from.on('data', (chunk: Buffer) => {
      this._bytes[direction] += chunk.length
      for (let start = 0; start < chunk.length; start += PACKET_BYTES) {
        const packet = chunk.subarray(start, start + PACKET_BYTES)
        packets.push(packet)
        setTimeout(() => { to.write(packets.shift()!) }, link.queue(direction, packet.length))
      }
    })
  }
}
