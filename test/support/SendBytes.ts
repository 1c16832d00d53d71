import { connect } from 'node:net'
import { parseAddress } from '../../src/runtime/Address.js'

/**
 * Sends bytes on a new connection and resolves when the other end has closed it.
 * @param address Where to connect, `host:port`.
 */
export async function sendBytes (address: string, bytes: Uint8Array): Promise<void> {
  const { host, port } = parseAddress(address)
  await new Promise<void>(resolve => {
    const socket = connect(port, host, () => socket.end(bytes))
    socket.on('error', () => {})
    socket.on('close', () => resolve())
    socket.resume()
  })
}
