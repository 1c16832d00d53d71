import { Agent } from 'node:http'
import type { ClientRequest } from 'node:http'
import type { NetConnectOpts, Socket } from 'node:net'
import { MAX_IDLE_CONNECTIONS } from './Constants.js'

/**
 * Keep-alive connections to the instance on the same VM. An idle connection on which data arrives is closed: the data
 * belongs to no request, and the next request must not take it for its answer.
 *
 * Memory: at most `MAX_IDLE_CONNECTIONS` idle connections.
 */
export class InstanceAgent extends Agent {
  private readonly _idleSinceMs = new Map<Socket, number>()
  private readonly _idleDataListeners = new Map<Socket, () => void>()
  private readonly _resetSockets = new WeakSet<Socket>()

  public constructor () {
    super({ keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo' })
  }

  /**
   * Closes the connections that have been idle since before a given time.
   * @param beforeMs Monotonic time in milliseconds.
   */
  public closeIdleSince (beforeMs: number): void {
    for (const [socket, sinceMs] of this._idleSinceMs) {
      if (sinceMs < beforeMs) this._closeIdle(socket)
    }
  }

  /**
   * Returns whether a connection was reset. Node.js reports a reset that arrives together with data as `end`, so the
   * `end` listener in `createConnection` checks the remote address, which a reset socket no longer has, before this
   * side ends the socket.
   * @param socket The connection; null when it is gone, which counts as reset.
   */
  public wasReset (socket: Socket | null): boolean {
    return socket === null || this._resetSockets.has(socket)
  }

  /** @inheritdoc */
  public override createConnection (options: NetConnectOpts, onOpen: () => void): Socket {
    const socket = super.createConnection(options, onOpen)
    socket.prependOnceListener('end', () => { if (socket.remoteAddress === undefined) this._resetSockets.add(socket) })
    socket.once('error', () => { this._resetSockets.add(socket) })
    socket.once('close', () => this._untrackIdle(socket))
    return socket
  }

  /** @inheritdoc */
  public override keepSocketAlive (socket: Socket): boolean {
    // Bytes after a complete answer belong to no request.
    if (socket.readableLength > 0 || super.keepSocketAlive(socket) === false) return false
    const closeOnData = (): void => this._closeIdle(socket)
    this._idleDataListeners.set(socket, closeOnData)
    this._idleSinceMs.set(socket, performance.now())
    socket.on('data', closeOnData)
    return true
  }

  /** @inheritdoc */
  public override reuseSocket (socket: Socket, request: ClientRequest): void {
    this._untrackIdle(socket)
    super.reuseSocket(socket, request)
  }

  private _closeIdle (socket: Socket): void {
    this._untrackIdle(socket)
    socket.destroy()
  }

  private _untrackIdle (socket: Socket): void {
    const closeOnData = this._idleDataListeners.get(socket)
    if (closeOnData !== undefined) socket.off('data', closeOnData)
    this._idleDataListeners.delete(socket)
    this._idleSinceMs.delete(socket)
  }
}

declare module 'node:http' {
  interface Agent {
    /** Called when a request is done; false closes the connection. Documented, but missing in the type definitions. */
    keepSocketAlive (socket: Socket): boolean
    reuseSocket (socket: Socket, request: ClientRequest): void
    createConnection (options: NetConnectOpts, onOpen: () => void): Socket
  }
}
