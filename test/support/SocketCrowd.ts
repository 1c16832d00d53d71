import { connect } from 'node:net'
import type { Socket } from 'node:net'

/** Time without any progress after which a crowd counts as settled, and the interval of the checks, in milliseconds. */
const SETTLE_MS = 500
const CHECK_INTERVAL_MS = 50

/** Longest time for a crowd to settle, in milliseconds: one that is served piece by piece may take long. */
const SETTLE_LIMIT_MS = 15_000

/** Bytes that one connection of a crowd sends, in the pieces in which they are written. */
export type Pieces = Iterable<Buffer>

/** What a crowd does. */
export interface CrowdPlan {
  readonly host: string
  readonly port: number
  readonly count: number
  /** Returns what a connection sends; it sends nothing when absent. */
  readonly send?: (index: number) => Pieces
  /** True when what the connections receive is left unread. */
  readonly unread?: boolean
  /** Pause after each piece, in milliseconds; none when absent. */
  readonly pauseMs?: number
  /** Returns what else moves while the crowd is served. */
  readonly progress?: () => number
}

/** Connections that stay open until they are told to leave. */
export class SocketCrowd {
  private readonly _sockets: Socket[] = []
  private _sending = 0

  /** Opens the connections, sends, and waits until nothing moves any more. */
  public static async open (plan: CrowdPlan): Promise<SocketCrowd> {
    const crowd = new SocketCrowd(plan)
    for (let i = 0; i < plan.count; i++) crowd._open(i)
    await crowd._settle()
    return crowd
  }

  private constructor (private readonly _plan: CrowdPlan) {}

  /** Connections that are open. */
  public get openCount (): number {
    return this._sockets.filter(({ destroyed }) => !destroyed).length
  }

  /** Closes all connections. */
  public async leave (): Promise<void> {
    await Promise.all(this._sockets.map(async socket => {
      if (socket.closed) return
      const closed = new Promise(resolve => socket.once('close', resolve))
      socket.destroy()
      await closed
    }))
  }

  private _open (index: number): void {
    const { host, port, unread = false, send } = this._plan
    const socket = connect({ host, port, noDelay: true })
    this._sockets.push(socket)
    socket.on('error', () => {})
    if (!unread) socket.resume()
    if (send === undefined) return
    this._sending++
    this._send(socket, send(index)).catch(() => {}).finally(() => { this._sending-- })
  }

  private async _send (socket: Socket, pieces: Pieces): Promise<void> {
    for (const piece of pieces) {
      if (socket.destroyed) return
      if (!socket.write(piece)) await waitForDrain(socket)
      if (this._plan.pauseMs !== undefined) await pause(this._plan.pauseMs)
    }
  }

  private async _settle (): Promise<void> {
    let last = -1
    let quietMs = 0
    for (let i = 0; i * CHECK_INTERVAL_MS < SETTLE_LIMIT_MS && quietMs < SETTLE_MS; i++) {
      await pause(CHECK_INTERVAL_MS)
      const moved = this._sockets.reduce((sum, { bytesWritten, writableLength, destroyed }) =>
        sum + bytesWritten - writableLength + (destroyed ? 1 : 0), 0)
      const total = moved + (this._plan.progress?.() ?? 0)
      quietMs = total === last ? quietMs + CHECK_INTERVAL_MS : 0
      last = total
    }
  }
}

/** A head with a body of `bytes`, of which the last is never sent. */
export function * bodyWithLength (head: string, bytes: number): Pieces {
  yield Buffer.from(`${head}content-length: ${bytes}\r\n\r\n`)
  yield * pieces(bytes - 1)
}

/** A head with a body in chunks, of which the last is never sent. */
export function * bodyInChunks (head: string, bytes: number, chunkBytes: number): Pieces {
  yield Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n`)
  const chunk = Buffer.concat([Buffer.from(`${chunkBytes.toString(16)}\r\n`), Buffer.alloc(chunkBytes, 32), Buffer.from('\r\n')])
  const chunksInPiece = Math.max(1, Math.floor(PIECE_BYTES / chunk.length))
  const piece = Buffer.concat(Array.from({ length: chunksInPiece }, () => chunk))
  for (let sent = 0; sent < bytes; sent += chunksInPiece * chunkBytes) yield piece
}

/** The length of a frame, and the first of its bytes: all but the last, unless `sentBytes` tells how many. */
export function * unfinishedFrame (bytes: number, pieceBytes = PIECE_BYTES, sentBytes = bytes - 1): Pieces {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(bytes)
  yield length
  yield * pieces(sentBytes, pieceBytes)
}

const PIECE_BYTES = 64 * 1024

function * pieces (bytes: number, pieceBytes = PIECE_BYTES): Pieces {
  const piece = Buffer.alloc(pieceBytes, 32)
  for (let left = bytes; left > 0; left -= pieceBytes) yield piece.subarray(0, Math.min(left, pieceBytes))
}

async function waitForDrain (socket: Socket): Promise<void> {
  if (socket.destroyed) return
  await new Promise<void>(resolve => {
    const finish = (): void => {
      socket.off('drain', finish)
      socket.off('close', finish)
      resolve()
    }
    socket.once('drain', finish)
    socket.once('close', finish)
  })
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
