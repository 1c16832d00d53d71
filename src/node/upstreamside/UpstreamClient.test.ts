import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../../demo/FreePorts.js'
import { parseAddress } from '../../runtime/Address.js'
import type { CallRequest } from '../Types.js'
import { UpstreamClient } from './UpstreamClient.js'

const REQUEST = {
  kind: 'lookup', target: '/', method: 'GET', headers: [], body: new Uint8Array(0), from: 'node', id: 1, depth: 0
} as unknown as CallRequest

let server: Server | undefined
let client: UpstreamClient | undefined

afterEach(() => {
  client?.dispose()
  server?.close()
})

const ENDLESS: ReadonlyArray<readonly [string, string, string]> = [
  ['series of informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['head', 'HTTP/1.1 200 OK\r\n', 'A: b\r\n'],
  ['head line', 'HTTP/1.1 200 OK\r\nA: ', 'b']
]

for (const [part, start, piece] of ENDLESS) {
  test(`a request fails at its deadline on a ${part} without end, and its connection is closed`, async () => {
    const [address] = await findFreeAddresses(1) as [string]
    const { host, port } = parseAddress(address)
    let closed: Promise<unknown> | undefined
    const writeWithoutEnd = (socket: Socket): void => {
      const timer = setInterval(() => { if (!socket.destroyed) socket.write(piece) }, 1)
      closed = new Promise<void>(resolve => socket.once('close', resolve)).then(() => clearInterval(timer))
    }
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write(start)
        writeWithoutEnd(socket)
      })
    })
    await new Promise<void>(resolve => server?.listen(port, host, resolve))
    client = new UpstreamClient(address, 2)
    const failure = await new Promise<string>(resolve => {
      const fail = (): void => resolve('answer')
      client?.run(REQUEST, 200, { onFailure: resolve, onAnswer: fail, onHead: fail, onBody: fail, onEnd: fail })
    })
    expect(failure).toBe('timeout')
    await closed
  })
}

// A faulty upstream may write a shed once more, while it runs the next request on the connection.
test('a shed that is repeated does not reach the next request', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const { host, port } = parseAddress(address)
  const shed = 'HTTP/1.1 503 Busy\r\nSassafras-Shed: not-run\r\nContent-Length: 0\r\n\r\n'
  let requests = 0
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => {
      if (requests++ === 0) {
        socket.write(shed)
        setTimeout(() => { if (!socket.destroyed) socket.write(shed) }, 20)
      } else setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'), 60)
    })
  })
  await new Promise<void>(resolve => server?.listen(port, host, resolve))
  client = new UpstreamClient(address, 1)
  const send = async (): Promise<number | string> => await new Promise(resolve => {
    const ignore = (): void => {}
    const onAnswer = ({ status }: { readonly status: number }): void => resolve(status)
    client?.run(REQUEST, 1000, { onFailure: resolve, onAnswer, onHead: ignore, onBody: ignore, onEnd: ignore })
  })
  expect([await send(), await send()]).toEqual([503, 200])
})

const WHOLE: ReadonlyArray<readonly [string, string]> = [
  ['a length', 'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world'],
  ['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n']
]

for (const [framing, whole] of WHOLE) {
  test(`an answer with ${framing} that ends before its last byte is never taken for whole`, async () => {
    const [address] = await findFreeAddresses(1) as [string]
    const { host, port } = parseAddress(address)
    let bytes = 0
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end(whole.slice(0, bytes)))
    })
    await new Promise<void>(resolve => server?.listen(port, host, resolve))
    client = new UpstreamClient(address, 1)
    const ignore = (): void => {}
    for (; bytes < whole.length; bytes++) {
      const outcome = await new Promise<string>(resolve => {
        const end = (): void => resolve('whole')
        client?.run(REQUEST, 1000, { onFailure: resolve, onAnswer: end, onHead: ignore, onBody: ignore, onEnd: end })
      })
      expect([bytes, outcome]).toEqual([bytes, 'lost'])
    }
  })
}
