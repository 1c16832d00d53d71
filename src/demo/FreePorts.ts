import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** Ports below the ephemeral range, so that no outgoing connection can take a port before the caller binds it. */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000

// Processes that search at the same time start at different ports, by their ids. The offset persists between calls, so
// that a process does not return the same port twice in succession.
let portOffset = (process.pid * 7919) % (LAST_PORT - FIRST_PORT)

function nextPort (): number {
  portOffset = (portOffset + 1) % (LAST_PORT - FIRST_PORT)
  return FIRST_PORT + portOffset
}

/**
 * Finds free ports on loopback. All are kept open until the last is found, so that none is returned twice.
 * @param count Number of addresses.
 * @returns Addresses as `host:port`.
 */
export async function findFreeAddresses (count: number): Promise<string[]> {
  const servers: Server[] = []
  const addresses: string[] = []
  while (addresses.length < count) {
    const port = nextPort()
    const server = await tryListen(port)
    if (server !== undefined) {
      servers.push(server)
      addresses.push(`127.0.0.1:${port}`)
    }
  }
  await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
  return addresses
}

async function tryListen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined)
      else reject(error)
    })
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
