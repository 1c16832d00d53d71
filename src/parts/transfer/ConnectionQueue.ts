/** Share of a process's descriptors that connections of callers may take; links to nodes and instances need others. */
const CONNECTION_SHARE = 0.5

/** Descriptors of a process whose settings do not tell their number. */
const DEFAULT_MAX_DESCRIPTORS = 4096

/**
 * What a connection does: `waiting` has not sent a whole head yet, `idle` has no open request, `receiving` has an open
 * request whose body has not arrived completely, `working` has only requests that have arrived completely.
 */
export type ConnectionState = 'waiting' | 'idle' | 'receiving' | 'working'

/** States whose connections give way, in this order: the request of none of them has run. */
const GIVING_WAY = ['waiting', 'idle', 'receiving'] as const

/** Returns how many connections of callers a process may have open. */
export function computeConnectionLimit (maxDescriptors: number | undefined): number {
  return Math.max(1, Math.floor((maxDescriptors ?? DEFAULT_MAX_DESCRIPTORS) * CONNECTION_SHARE))
}

/**
 * Decides which connection gives way to a new one.
 *
 * Memory: one entry for each connection.
 */
export class ConnectionQueue<Connection> {
  private readonly _states = new Map<Connection, ConnectionState>()
  /** Connections by state, beginning with the one that has been in it for the longest time. */
  private readonly _connections: Readonly<Record<ConnectionState, Set<Connection>>> = {
    waiting: new Set(), idle: new Set(), receiving: new Set(), working: new Set()
  }

  /** Number of connections. */
  public get size (): number {
    return this._states.size
  }

  /** Adds a connection, or notes its new state. */
  public set (connection: Connection, state: ConnectionState): void {
    this.delete(connection)
    this._states.set(connection, state)
    this._connections[state].add(connection)
  }

  /** Removes a connection. */
  public delete (connection: Connection): void {
    const state = this._states.get(connection)
    if (state === undefined) return
    this._states.delete(connection)
    this._connections[state].delete(connection)
  }

  /** Returns the connection that gives way first, or undefined when all have requests that may run. */
  public findFirst (): Connection | undefined {
    const state = GIVING_WAY.find(state => this._connections[state].size > 0)
    return state === undefined ? undefined : this._connections[state].values().next().value
  }
}
