import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TcpServer } from 'node:net'
import type { Socket } from 'node:net'

/** Use of one connection. */
interface ConnectionUse {
  /** Requests that are not answered completely yet. */
  openRequests: number
  /** Bytes received when the last of them was answered; more bytes belong to the next request. */
  bytesReadWhenIdle: number
}

/**
 * Open connections of an HTTP server. `Server.close` and `Server.closeIdleConnections` of Node.js destroy a connection
 * as soon as its response was ended, although a slow receiver has not got all of it yet. This class closes it after
 * the last byte was passed to the operating system.
 *
 * Memory: one entry for each open connection.
 */
export class CallerConnections {
  private readonly _uses = new Map<Socket, ConnectionUse>()
  private _isClosing = false

  /**
   * @param _server Server whose connections are tracked.
   */
  public constructor (private readonly _server: Server) {
    _server.on('connection', socket => this._track(socket))
    _server.on('request', (message, response) => this._onRequest(message, response))
  }

  /**
   * Closes the listener, and each connection once no request on it is read or answered. Resolves when all connections
   * have closed.
   */
  public async close (): Promise<void> {
    this._isClosing = true
    await new Promise<void>(resolve => {
      TcpServer.prototype.close.call(this._server, () => resolve())
      for (const [socket, use] of this._uses) closeIfIdle(socket, use)
    })
  }

  private _track (socket: Socket): void {
    this._uses.set(socket, { openRequests: 0, bytesReadWhenIdle: 0 })
    socket.once('close', () => { this._uses.delete(socket) })
  }

  private _onRequest ({ socket }: IncomingMessage, response: ServerResponse): void {
    const use = this._uses.get(socket)
    if (use === undefined) return
    use.openRequests++
    response.once('close', () => {
      use.openRequests--
      use.bytesReadWhenIdle = socket.bytesRead
      if (this._isClosing) closeIfIdle(socket, use)
    })
  }
}

function closeIfIdle (socket: Socket, { openRequests, bytesReadWhenIdle }: ConnectionUse): void {
  if (openRequests === 0 && socket.bytesRead === bytesReadWhenIdle) socket.destroySoon()
}
