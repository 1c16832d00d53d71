import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/** Passes TCP connections on to one address, until told to fall silent or to break them. */
export class TcpRelay {
  private readonly server: Server
  private readonly pairs = new Set<readonly [Socket, Socket]>()
  private silent = false

  /** @param target `host:port`. */
  public constructor (private readonly target: string) {
    this.server = createServer(socket => this.join(socket))
  }

  /** Starts to listen and returns the relay's address. */
  public async listen (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Connections that are open now carry nothing more in either direction; new ones work. */
  public silenceOpen (): void {
    for (const pair of this.pairs) this.silencePair(pair)
  }

  /** All connections, also new ones, carry nothing until `heal`. */
  public silenceAll (): void {
    this.silent = true
    this.silenceOpen()
  }

  /** New connections work again; silent ones are broken. */
  public heal (): void {
    this.silent = false
    this.breakAll()
  }

  /** Breaks all open connections. */
  public breakAll (): void {
    for (const pair of this.pairs) for (const socket of pair) socket.destroy()
  }

  public async dispose (): Promise<void> {
    this.breakAll()
    await new Promise(resolve => this.server.close(resolve))
  }

  private join (near: Socket): void {
    const [host, port] = this.target.split(':') as [string, string]
    const far = connect(Number(port), host)
    const pair = [near, far] as const
    this.pairs.add(pair)
    near.pipe(far)
    far.pipe(near)
    for (const socket of pair) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('close', () => {
        this.pairs.delete(pair)
        near.destroy()
        far.destroy()
      })
    }
    if (this.silent) this.silencePair(pair)
  }

  private silencePair (pair: readonly [Socket, Socket]): void {
    for (const socket of pair) {
      socket.unpipe()
      socket.pause()
    }
  }
}
