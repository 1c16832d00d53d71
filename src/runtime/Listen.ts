import type { Server } from 'node:net'
import { parseAddress } from './Address.js'

/**
 * Starts a server on an address.
 * @param server Any TCP or HTTP server.
 * @param address `host:port`; port 0 takes a free one.
 * @returns The address in use. Rejects when the address can't be taken.
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
