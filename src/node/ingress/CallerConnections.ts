import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TcpServer } from 'node:net'
import type { Socket } from 'node:net'
import { readHeader } from '../../runtime/RequestHeader.js'
import type { Clock, Log } from '../../runtime/Types.js'

/** A request whose answer has not left completely. */
interface OpenAnswer {
  readonly requestId: string | undefined
  readonly sinceMs: number
  /** Bytes that had been written to the connection when the request arrived. */
  readonly bytesWrittenBefore: number
}

/** Use of one connection. */
interface ConnectionUse {
  /** Requests that are not answered completely yet. */
  readonly open: Map<ServerResponse, OpenAnswer>
  /** Bytes received when the last of them was answered; more bytes belong to the next request. */
  bytesReadWhenIdle: number
}

/** Why an answer was cut: this node closed its connection at the limit of a stop, or it was closed before. */
type CutReason = 'limit' | 'connection-closed'

/** What the connections need of their server. */
export interface CallerConnectionsOptions {
  /** Server whose connections are tracked. */
  readonly server: Server
  /** Name of the header with the id of a request. */
  readonly requestIdHeader: string
  readonly clock: Clock
  readonly log: Log
}

/**
 * Open connections of an HTTP server. `Server.close` and `Server.closeIdleConnections` of Node.js destroy a connection
 * as soon as its response was ended, although a slow receiver has not got all of it yet. This class closes it after
 * the last byte was passed to the operating system. From `recordStop` on it logs each answer that is cut.
 *
 * Memory: one entry for each open connection, and one for each request on it.
 */
export class CallerConnections {
  private readonly _uses = new Map<Socket, ConnectionUse>()
  private _isClosing = false
  private _stopAtMs: number | undefined

  public constructor (private readonly _options: CallerConnectionsOptions) {
    _options.server.on('connection', socket => this._track(socket))
    _options.server.on('request', (message, response) => this._onRequest(message, response))
  }

  /** True once the shutdown has begun. */
  public get isStopping (): boolean {
    return this._stopAtMs !== undefined
  }

  /** The shutdown begins: answers that are cut from now on are logged. */
  public recordStop (): void {
    this._stopAtMs ??= this._options.clock.nowMs()
  }

  /**
   * Closes the listener, and each connection once no request on it is read or answered. Connections and requests that
   * have arrived before, but lie unread, are taken first. Resolves when all connections have closed.
   * @param onArrived Called when all requests that arrived before the listener closed have been read.
   */
  public async close (onArrived: () => void): Promise<void> {
    await takeArrived()
    const closed = new Promise<void>(resolve => {
      TcpServer.prototype.close.call(this._options.server, () => resolve())
    })
    await takeArrived()
    onArrived()
    this._isClosing = true
    for (const [socket, use] of this._uses) closeIfIdle(socket, use)
    await closed
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    for (const [socket, use] of this._uses) {
      for (const response of [...use.open.keys()]) this._endAnswer(socket, use, response, 'limit')
    }
    this._options.server.close()
    this._options.server.closeAllConnections()
  }

  private _track (socket: Socket): void {
    const use: ConnectionUse = { open: new Map(), bytesReadWhenIdle: 0 }
    this._uses.set(socket, use)
    socket.once('close', () => {
      this._uses.delete(socket)
      const unreadBytes = socket.bytesRead - use.bytesReadWhenIdle
      if (unreadBytes > 0 && use.open.size === 0) this._recordUnread(unreadBytes)
    })
  }

  private _onRequest (message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message
    const use = this._uses.get(socket)
    if (use === undefined) return
    const requestId = readHeader(message, this._options.requestIdHeader)
    use.open.set(response, { requestId, sinceMs: this._options.clock.nowMs(), bytesWrittenBefore: socket.bytesWritten })
    response.once('close', () => {
      this._endAnswer(socket, use, response, 'connection-closed')
      if (this._isClosing) closeIfIdle(socket, use)
    })
  }

  private _endAnswer (socket: Socket, use: ConnectionUse, response: ServerResponse, reason: CutReason): void {
    const answer = use.open.get(response)
    if (answer === undefined) return
    use.open.delete(response)
    use.bytesReadWhenIdle = socket.bytesRead
    if (this._stopAtMs === undefined || response.writableFinished) return
    const nowMs = this._options.clock.nowMs()
    const leftBytes = response.writableLength
    this._options.log.info({
      requestId: answer.requestId,
      reason,
      isWritten: response.writableEnded,
      sentBytes: Math.max(0, socket.bytesWritten - leftBytes - answer.bytesWrittenBefore),
      leftBytes,
      ageMs: Math.round(nowMs - answer.sinceMs),
      sinceStopMs: Math.round(nowMs - this._stopAtMs)
    }, 'answer cut while stopping')
  }

  private _recordUnread (unreadBytes: number): void {
    if (this._stopAtMs === undefined) return
    const sinceStopMs = Math.round(this._options.clock.nowMs() - this._stopAtMs)
    this._options.log.info({ unreadBytes, sinceStopMs }, 'part of a request cut while stopping')
  }
}

/** Resolves after a whole turn of the event loop, in which what has arrived at its beginning is accepted and read. */
async function takeArrived (): Promise<void> {
  for (let turn = 0; turn < 2; turn++) await new Promise(resolve => setImmediate(resolve))
}

function closeIfIdle (socket: Socket, { open, bytesReadWhenIdle }: ConnectionUse): void {
  if (open.size === 0 && socket.bytesRead === bytesReadWhenIdle) socket.destroySoon()
}
