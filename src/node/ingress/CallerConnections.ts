import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TcpServer } from 'node:net'
import type { Socket } from 'node:net'
import { type ConnectionState, ConnectionQueue } from '../../parts/transfer/ConnectionQueue.js'
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
  /** Of these, those whose body has not arrived completely. */
  readonly unfinished: Set<ServerResponse>
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
  /** Returns the bytes of an answer that are not written to its connection yet; 0 when absent. */
  readonly unwrittenBytes?: (response: ServerResponse) => number
  /** Most connections that may be open; without a limit when absent. */
  readonly limit?: number
  /** Called when a connection was closed for a new one, with its state. */
  readonly onGivenWay?: (state: ConnectionState) => void
}

/**
 * Open connections of an HTTP server. `Server.close` and `Server.closeIdleConnections` of Node.js destroy a connection
 * as soon as its response was ended, although a slow receiver has not got all of it yet. This class closes it after
 * the last byte was passed to the operating system. From `recordStop` on it logs each answer that is cut.
 *
 * When there are too many connections, one whose requests have not run is closed for each new one; when there is none,
 * the new one is closed.
 *
 * Memory: one entry for each open connection, and one for each request on it.
 */
export class CallerConnections {
  private readonly _uses = new Map<Socket, ConnectionUse>()
  private readonly _queue = new ConnectionQueue<Socket>()
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
    const { limit = Infinity, onGivenWay } = this._options
    if (this._queue.size >= limit && !this._closeFirst()) {
      socket.destroy()
      onGivenWay?.('waiting')
      return
    }
    const use: ConnectionUse = { open: new Map(), unfinished: new Set(), bytesReadWhenIdle: 0 }
    this._uses.set(socket, use)
    this._queue.set(socket, 'waiting')
    socket.once('close', () => {
      this._uses.delete(socket)
      this._queue.delete(socket)
      const unreadBytes = socket.bytesRead - use.bytesReadWhenIdle
      if (unreadBytes > 0 && use.open.size === 0) this._recordUnread(unreadBytes)
    })
  }

  /** Closes the connection that gives way first; returns false when there is none. */
  private _closeFirst (): boolean {
    const first = this._queue.findFirst()
    if (first === undefined) return false
    const state = stateOf(this._uses.get(first))
    this._queue.delete(first)
    first.destroy()
    this._options.onGivenWay?.(state)
    return true
  }

  private _onRequest (message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message
    const use = this._uses.get(socket)
    if (use === undefined) return
    const requestId = readHeader(message, this._options.requestIdHeader)
    use.open.set(response, { requestId, sinceMs: this._options.clock.nowMs(), bytesWrittenBefore: socket.bytesWritten })
    use.unfinished.add(response)
    this._note(socket, use)
    message.once('end', () => {
      use.unfinished.delete(response)
      this._note(socket, use)
    })
    response.once('close', () => {
      this._endAnswer(socket, use, response, 'connection-closed')
      use.unfinished.delete(response)
      this._note(socket, use)
      if (this._isClosing) closeIfIdle(socket, use)
    })
  }

  private _note (socket: Socket, use: ConnectionUse): void {
    if (!socket.destroyed) this._queue.set(socket, stateOf(use))
  }

  private _endAnswer (socket: Socket, use: ConnectionUse, response: ServerResponse, reason: CutReason): void {
    const answer = use.open.get(response)
    if (answer === undefined) return
    use.open.delete(response)
    use.bytesReadWhenIdle = socket.bytesRead
    if (this._stopAtMs === undefined || response.writableFinished) return
    const nowMs = this._options.clock.nowMs()
    const { writableLength, writableEnded } = response
    const unwrittenBytes = this._options.unwrittenBytes?.(response) ?? 0
    this._options.log.info({
      requestId: answer.requestId,
      reason,
      isWritten: writableEnded || unwrittenBytes > 0,
      sentBytes: Math.max(0, socket.bytesWritten - writableLength - answer.bytesWrittenBefore),
      leftBytes: writableLength + unwrittenBytes,
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

function stateOf (use: ConnectionUse | undefined): ConnectionState {
  if (use === undefined || use.open.size === 0) return use?.bytesReadWhenIdle === 0 ? 'waiting' : 'idle'
  return use.unfinished.size === use.open.size ? 'receiving' : 'working'
}

function closeIfIdle (socket: Socket, { open, bytesReadWhenIdle }: ConnectionUse): void {
  if (open.size === 0 && socket.bytesRead === bytesReadWhenIdle) socket.destroySoon()
}
