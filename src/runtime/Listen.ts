import type { Server } from 'node:net'
import { parseAddress } from './Address.js'

/** Pause before an address that is in use is tried again, in milliseconds. */
const RETRY_MS = 50

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

/**
 * Listens on an address like `listen`, and waits while another process, such as the former one, still uses it.
 * @param listen Listens on the address, and rejects when it can't.
 * @param limitMs Longest wait in milliseconds; after it, the error is thrown.
 */
export async function listenWhenFree<Result> (listen: () => Promise<Result>, limitMs: number): Promise<Result> {
  const untilMs = performance.now() + limitMs
  for (;;) {
    try {
      return await listen()
    } catch (error) {
      const isInUse = (error as NodeJS.ErrnoException).code === 'EADDRINUSE'
      if (!isInUse || performance.now() >= untilMs) throw error
      await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
  }
}
