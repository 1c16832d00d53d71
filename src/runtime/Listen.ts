import type { Server } from 'node:net'
import { parseAddress } from './Address.js'

/**
 * Makes a server listen on an address.
 * @param server Any TCP or HTTP server.
 * @param address `host:port`; with port 0 the operating system picks a free port.
 * @returns The address in use, with the actual port. Rejects when the server can't listen on the address.
 */
export async function listenOn (server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address()
  return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address
}
