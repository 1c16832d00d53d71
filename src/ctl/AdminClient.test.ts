import { createServer } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { parseAddress } from '../runtime/Address.js'
import { AdminClient } from './AdminClient.js'

let dispose: (() => void) | undefined

afterEach(() => dispose?.())

test('an answer without end is given up, and its connection closed', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const piece = Buffer.alloc(1024 * 1024, 'x')
  let closed: Promise<unknown> | undefined
  const server = createServer(socket => {
    socket.on('error', () => {})
    closed = new Promise(resolve => socket.once('close', resolve))
    const write = (): void => { while (!socket.destroyed && socket.write(piece)); }
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n')
      socket.on('drain', write)
      write()
    })
  })
  dispose = () => server.close()
  const { host, port } = parseAddress(address)
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  const outcome = await new AdminClient([address], 500).send({ method: 'GET', path: '/state' })
  expect(outcome.type).toBe('lost')
  await closed
})
