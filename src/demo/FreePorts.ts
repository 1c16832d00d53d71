import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'

/**
 * Finds free ports on loopback. All are held until the last is found, so that none comes twice.
 * @param count How many.
 * @returns Addresses as `host:port`.
 */
export async function findFreeAddresses (count: number): Promise<string[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen))
  const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`)
  await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
  return addresses
}

async function listen (): Promise<Server> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', resolve)
  })
  return server
}
