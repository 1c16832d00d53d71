/** Descriptors of a process whose settings do not tell them: those of the smallest VMs in use. */
const DEFAULT_MAX_DESCRIPTORS = 4100

/** Descriptors that are kept for files. */
const RESERVED_DESCRIPTORS = 200

/** Share of the other descriptors that idle connections of one listener may take, and the least number of them. */
const IDLE_SHARE = 0.125
const MIN_IDLE_CONNECTIONS = 8

/**
 * Bound on the connections of a listener that are idle: those that have not sent a whole request, or first frame, yet,
 * or whose request is answered. Beyond it the one that has been idle for longest is closed.
 *
 * Memory: one entry for each idle connection.
 */
export class ConnectionLimit<Connection> {
  private readonly _maxIdle: number
  private readonly _idle = new Set<Connection>()

  /**
   * @param maxDescriptors Descriptors of the process; undefined when they are not known.
   * @param _close Closes a connection.
   */
  public constructor (maxDescriptors: number | undefined, private readonly _close: (connection: Connection) => void) {
    const forSockets = (maxDescriptors ?? DEFAULT_MAX_DESCRIPTORS) - RESERVED_DESCRIPTORS
    this._maxIdle = Math.max(MIN_IDLE_CONNECTIONS, Math.floor(IDLE_SHARE * forSockets))
  }

  /** A connection has opened, or its request is answered. */
  public recordIdle (connection: Connection): void {
    this._idle.delete(connection)
    this._idle.add(connection)
    if (this._idle.size <= this._maxIdle) return
    const longest = this._idle.values().next().value as Connection
    this._idle.delete(longest)
    this._close(longest)
  }

  /** A connection is in use, or has closed. */
  public remove (connection: Connection): void {
    this._idle.delete(connection)
  }
}
