import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Transform } from 'node:stream'

/** Forwards TCP connections to one address, and can delay, block, reset or close them. */
export class TcpRelay {
  private readonly _server: Server
  private readonly _pairs = new Set<readonly [Socket, Socket]>()
  /** Local ports of the clients whose connection the target has refused. */
  private readonly _refusedPorts = new Set<number>()
  private _isSilent = false
  private _delayMs = 0

  /** @param _target Address to forward to, `host:port`. */
  public constructor (private readonly _target: string) {
    this._server = createServer(socket => this._accept(socket))
  }

  /**
   * Starts to listen and returns the relay's address, `host:port`.
   * @param host Loopback address.
   * @param port Port, or 0 for any free one.
   */
  public async listen (host = '127.0.0.1', port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
    return `${host}:${(this._server.address() as AddressInfo).port}`
  }

  /** Returns whether the target has refused the connection of the client with this local port. */
  public hasRefused (port: number | undefined): boolean {
    return port !== undefined && this._refusedPorts.has(port)
  }

  /** Delays each chunk by so many milliseconds; 0 turns the delay off. */
  public delay (ms: number): void {
    this._delayMs = ms
  }

  /** Blocks data from the target on connections that are open now; data to the target still arrives. */
  public blockResponses (): void {
    for (const [client, target] of this._pairs) {
      target.unpipe()
      target.pause()
      client.once('end', () => target.destroy())
    }
  }

  /** Resets all open connections. */
  public resetAll (): void {
    for (const pair of this._pairs) for (const socket of pair) socket.resetAndDestroy()
  }

  /** Blocks both directions of the connections that are open now, without closing them; new ones work. */
  public silenceOpen (): void {
    for (const pair of this._pairs) this._silencePair(pair)
  }

  /** Blocks both directions of all connections, also of new ones, until `heal`. */
  public silenceAll (): void {
    this._isSilent = true
    this.silenceOpen()
  }

  /** Lets new connections work again and closes all open ones. */
  public heal (): void {
    this._isSilent = false
    this.closeAll()
  }

  /** Closes all open connections. */
  public closeAll (): void {
    for (const pair of this._pairs) for (const socket of pair) socket.destroy()
  }

  /** Closes all connections and the listener. */
  public async dispose (): Promise<void> {
    this.closeAll()
    await new Promise(resolve => this._server.close(resolve))
  }

  private _accept (client: Socket): void {
    const [host, port] = this._target.split(':') as [string, string]
    const target = connect(Number(port), host)
    const pair = [client, target] as const
    const { remotePort } = client
    if (remotePort !== undefined) {
      this._refusedPorts.delete(remotePort)
      target.once('error', (error: Error & { code?: string }) => {
        if (error.code === 'ECONNREFUSED') this._refusedPorts.add(remotePort)
      })
    }
    this._pairs.add(pair)
    client.pipe(this._createDelay()).pipe(target)
    target.pipe(this._createDelay()).pipe(client)
    for (const socket of pair) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        this._pairs.delete(pair)
        client.destroy()
        target.destroy()
      })
    }
    if (this._isSilent) this._silencePair(pair)
  }

  private _createDelay (): Transform {
    return new Transform({
      transform: (chunk: Buffer, _encoding, pass) => {
        if (this._delayMs === 0) pass(null, chunk)
        else setTimeout(() => pass(null, chunk), this._delayMs)
      }
    })
  }

  private _silencePair (pair: readonly [Socket, Socket]): void {
    for (const socket of pair) {
      socket.unpipe()
      socket.pause()
    }
  }
}
