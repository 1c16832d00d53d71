import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** Ports below those that the system gives to outgoing connections: none of them can take a port in between. */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000

// The process id spreads programs that look at the same time; no port is tried twice in a row by one of them.
let portOffset = (process.pid * 7919) % (LAST_PORT - FIRST_PORT)

function nextPort (): number {
  portOffset = (portOffset + 1) % (LAST_PORT - FIRST_PORT)
  return FIRST_PORT + portOffset
}

/**
 * Finds free ports on loopback. All are held until the last is found, so that none comes twice.
 * @param count How many.
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
