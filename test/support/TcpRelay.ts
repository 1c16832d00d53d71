import { once } from 'node:events'
import { connect, createServer, type Server, type Socket } from 'node:net'

/** Passes bytes on to one address, until it is told to swallow them in silence. */
export class TcpRelay {
  private readonly _sockets = new Set<Socket>()
  private _silent = false

  private constructor (
    private readonly _server: Server,
    private readonly _target: string
  ) {
    _server.on('connection', socket => this._pass(socket))
  }

  /**
   * Starts a relay on a free port.
   * @param target Address that it passes on to.
   */
  public static async start (target: string): Promise<TcpRelay> {
    const server = createServer()
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return new TcpRelay(server, target)
  }

  /** Address of the relay. */
  public get address (): string {
    return `127.0.0.1:${(this._server.address() as { readonly port: number }).port}`
  }

  /** Swallows all bytes from now on; connections stay open, and new ones are taken. */
  public cut (): void {
    this._silent = true
  }

  /** Passes bytes on again. Connections that lost some are closed, as no stream may have a gap. */
  public heal (): void {
    this._silent = false
    this._sockets.forEach(socket => socket.destroy())
  }

  /** Ends the relay. */
  public dispose (): void {
    this._server.close()
    this._sockets.forEach(socket => socket.destroy())
  }

  private _pass (near: Socket): void {
    const [host, port] = this._target.split(':') as [string, string]
    const far = connect(Number(port), host)
    for (const [from, to] of [[near, far], [far, near]] as const) {
      this._sockets.add(from)
      from.on('data', bytes => { if (!this._silent) to.write(bytes) })
      from.on('error', () => {})
      from.on('close', () => {
        this._sockets.delete(from)
        to.destroy()
      })
    }
  }
}
