import { connect, type Socket } from 'node:net'
import { PORTS } from '../../soak/Constants.js'

/** Longest wait for all clients of a crowd to have sent what they send, in milliseconds. */
const SEND_LIMIT_MS = 10_000

/** Size of the buffers that are written to a connection. */
const WRITE_BYTES = 64 * 1024

/** What each client of a crowd sends: buffers in turn; a client without an end sends until its connection closes. */
export type Sending = (index: number) => Iterable<Buffer>

/** How a crowd connects. */
export interface CrowdOptions {
  readonly host: string
  readonly port?: number
  readonly count: number
  /** Pause between two buffers of a client, in milliseconds; none by default. */
  readonly pauseMs?: number
  /** Clients that never read what they are sent. */
  readonly readsNothing?: boolean
}

/** One connection of a crowd. */
interface Client {
  readonly socket: Socket
  readonly hasSent: Promise<void>
}

/**
 * Clients on connections of their own that send bytes as they are, and stay open until `leave`.
 *
 * Memory: the buffers of a sending are shared by its clients.
 */
export class Crowd {
  private readonly _clients: Client[] = []
  /** First bytes of what the clients were sent, in the order of arrival. */
  public readonly received: string[] = []

  /** Opens all connections and starts to send. */
  public constructor (private readonly _options: CrowdOptions, sending: Sending) {
    for (let index = 0; index < _options.count; index++) this._clients.push(this._open(sending(index)))
  }

  /** Number of connections that are open. */
  public get openCount (): number {
    return this._clients.filter(({ socket }) => !socket.destroyed).length
  }

  /** Waits until each client has sent everything, or its connection has closed, or it can't send any more. */
  public async sent (limitMs = SEND_LIMIT_MS): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const limit = new Promise<void>(resolve => { timer = setTimeout(resolve, limitMs) })
    await Promise.race([Promise.all(this._clients.map(async ({ hasSent }) => await hasSent)), limit])
    clearTimeout(timer)
  }

  /** Closes all connections. */
  public leave (): void {
    for (const { socket } of this._clients) socket.destroy()
  }

  private _open (pieces: Iterable<Buffer>): Client {
    const { host, port = PORTS.callers, readsNothing = false, pauseMs = 0 } = this._options
    const socket = connect({ host, port, noDelay: true })
    socket.on('error', () => {}) // The system may close the connection at any time.
    if (readsNothing) socket.pause()
    else {
      socket.once('data', chunk => this.received.push(chunk.subarray(0, 200).toString('latin1')))
      socket.resume()
    }
    return { socket, hasSent: send(socket, pieces, pauseMs) }
  }
}

async function send (socket: Socket, pieces: Iterable<Buffer>, pauseMs: number): Promise<void> {
  const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
  for (const piece of pieces) {
    if (socket.destroyed) return
    await Promise.race([closed, new Promise(resolve => socket.write(piece, resolve))])
    if (pauseMs > 0) await new Promise(resolve => setTimeout(resolve, pauseMs))
  }
}

let lastId = 0

/** Head of a request with a body to a path. */
export function makeHead (path: string, headers: readonly string[]): Buffer {
  const lines = [`POST ${path} HTTP/1.1`, 'host: one.example', `x-request-id: crowd-${++lastId}`, ...headers]
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`)
}

/** A body with its length, of which the last `missing` bytes are not sent. */
export function * sendBody (path: string, bytes: number, missing = 1, writeBytes = WRITE_BYTES): Iterable<Buffer> {
  yield makeHead(path, [`content-length: ${bytes}`])
  yield * repeat('a', bytes - missing, writeBytes)
}

/** A body in chunks of a size, whose end is not sent. */
export function * sendChunks (path: string, bytes: number, chunkBytes: number, extension = ''): Iterable<Buffer> {
  yield makeHead(path, ['transfer-encoding: chunked'])
  const chunk = `${chunkBytes.toString(16)}${extension}\r\n${'a'.repeat(chunkBytes)}\r\n`
  yield * repeat(chunk, bytes / chunkBytes)
}

/** A text so many times, in buffers of about a size. */
export function * repeat (text: string, times: number, writeBytes = WRITE_BYTES): Iterable<Buffer> {
  const timesPerBuffer = Math.max(1, Math.floor(writeBytes / text.length))
  const full = Buffer.from(text.repeat(Math.min(times, timesPerBuffer)))
  let left = Math.floor(times)
  for (; left >= timesPerBuffer; left -= timesPerBuffer) yield full
  if (left > 0) yield full.subarray(0, left * text.length)
}
