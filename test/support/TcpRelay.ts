import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** Passes TCP connections on to one address, until told to fall silent or to break them. */
export class TcpRelay {
  private readonly _server: Server
  private readonly _pairs = new Set<readonly [Socket, Socket]>()
  private _silent = false

  /** @param _target `host:port`. */
  public constructor (private readonly _target: string) {
    this._server = createServer(socket => this._join(socket))
  }

  /** Starts to listen and returns the relay's address. */
  public async listen (): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Connections that are open now carry nothing more in either direction; new ones work. */
  public silenceOpen (): void {
    for (const pair of this._pairs) this._silencePair(pair)
  }

  /** All connections, also new ones, carry nothing until `heal`. */
  public silenceAll (): void {
    this._silent = true
    this.silenceOpen()
  }

  /** New connections work again; silent ones are broken. */
  public heal (): void {
    this._silent = false
    this.breakAll()
  }

  /** Breaks all open connections. */
  public breakAll (): void {
    for (const pair of this._pairs) for (const socket of pair) socket.destroy()
  }

  public async dispose (): Promise<void> {
    this.breakAll()
    await new Promise(resolve => this._server.close(resolve))
  }

  private _join (near: Socket): void {
    const [host, port] = this._target.split(':') as [string, string]
    const far = connect(Number(port), host)
    const pair = [near, far] as const
    this._pairs.add(pair)
    near.pipe(far)
    far.pipe(near)
    for (const socket of pair) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        this._pairs.delete(pair)
        near.destroy()
        far.destroy()
      })
    }
    if (this._silent) this._silencePair(pair)
  }

  private _silencePair (pair: readonly [Socket, Socket]): void {
    for (const socket of pair) {
      socket.unpipe()
      socket.pause()
    }
  }
}
