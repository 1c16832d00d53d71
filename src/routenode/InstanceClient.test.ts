import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { parseAddress } from '../runtime/Address.js'
import { SystemClock } from '../runtime/SystemClock.js'
import { MAX_ANSWER_BYTES } from './Constants.js'
import { InstanceClient } from './InstanceClient.js'
import type { HeaderNames, RoutedCall } from './Types.js'

const NAMES: HeaderNames = {
  requestId: 'call-id',
  deadlineMs: 'deadline-ms',
  targetInstance: 'target',
  instanceId: 'instance',
  notExecuted: 'not-run',
  load: 'load',
  callerService: 'caller',
  signature: 'signature',
  requestLimit: 'request-limit',
  leaving: 'leaving',
  apiKey: 'api-key',
  workspace: 'workspace',
  coldMs: 'cold-ms'
}

let server: Server | undefined
const sockets = new Set<Socket>()

afterEach(() => {
  server?.close()
  sockets.forEach(socket => socket.destroy())
  sockets.clear()
})

/** Starts an instance that handles the n-th request by the n-th reaction. */
async function startInstance (...reactions: Array<(socket: Socket, id: string) => void>): Promise<InstanceClient> {
  const [address] = await findFreeAddresses(1) as [string]
  const { host, port } = parseAddress(address)
  server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    let text = ''
    socket.on('data', chunk => {
      text += chunk.toString('latin1')
      if (!text.includes('\r\n\r\n')) return
      const id = /call-id: (\S+)/i.exec(text)?.[1] ?? ''
      text = ''
      reactions.shift()?.(socket, id)
    })
  })
  await new Promise<void>(resolve => server?.listen(port, host, resolve))
  return new InstanceClient(address, NAMES, new SystemClock())
}

function makeCall (requestId: string, kind: RoutedCall['kind']): RoutedCall {
  return {
    id: 1,
    service: 's',
    method: 'GET',
    target: '/a',
    headers: ['Host', 'h', 'Call-Id', requestId],
    body: new Uint8Array(0),
    requestId,
    work: 'w',
    kind,
    nested: false,
    priority: 0,
    leftMs: 5000,
    objectiveLeftMs: 100,
    moveMs: undefined,
    attempt: 'first'
  }
}

async function run (
  client: InstanceClient, requestId: string, kind: RoutedCall['kind'] = 'once', timeoutMs = 5000, mayResend = true
): Promise<string> {
  return await new Promise(resolve => {
    client.run(makeCall(requestId, kind), 'i-1', timeoutMs, {
      onAnswer: ({ status, body }) => resolve(`${status} ${Buffer.from(body).toString()}`),
      onFailure: (proof, reason) => resolve(`${proof} ${reason}`),
      onLoad: () => {},
      onRequestLimit: () => {},
      onLeaving: () => {},
      mayResend: () => mayResend
    })
  })
}

const head = (id: string, rest: string): string => `HTTP/1.1 200 OK\r\nCall-Id: ${id}\r\nSignature: s\r\n${rest}`

/** Writes to a connection until the other end closes it; resolves then. */
async function writeWithoutEnd (socket: Socket, piece: string): Promise<void> {
  const timer = setInterval(() => { if (!socket.destroyed) socket.write(piece) }, 1)
  await new Promise(resolve => socket.once('close', resolve))
  clearInterval(timer)
}

const ENDLESS: ReadonlyArray<readonly [string, string, string]> = [
  ['body with a length', 'HTTP/1.1 200 OK\r\nLoad: 1,0,6,100\r\nContent-Length: 1000000000\r\n\r\n', 'x'.repeat(100)],
  ['chunked body', 'HTTP/1.1 200 OK\r\nLoad: 1,0,6,100\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'],
  ['body up to the end of the connection', 'HTTP/1.1 200 OK\r\nLoad: 1,0,6,100\r\n\r\n', 'x'],
  ['head', 'HTTP/1.1 200 OK\r\n', 'A: b\r\n'],
  ['head line', 'HTTP/1.1 200 OK\r\nA: ', 'b'],
  ['series of informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['status line', 'HTTP/1.1 200 ', 'O']
]

for (const [part, start, piece] of ENDLESS) {
  for (const query of ['queryLoad', 'checkHealth'] as const) {
    test(`${query} closes the connection on a ${part} without end`, async () => {
      let closed: Promise<void> | undefined
      const client = await startInstance(socket => {
        socket.write(start)
        closed = writeWithoutEnd(socket, piece)
      })
      await new Promise(resolve => client[query]('/health', resolve))
      await closed
    })
  }

  test(`a call fails at its deadline on a ${part} without end, and the connection is closed`, async () => {
    let closed: Promise<void> | undefined
    const client = await startInstance((socket, id) => {
      socket.write(start.replace('Load: 1,0,6,100', `Call-Id: ${id}\r\nSignature: s`))
      closed = writeWithoutEnd(socket, piece)
    })
    expect(await run(client, 'a', 'once', 300)).toMatch(/^unknown /)
    await closed
  })
}

test('an answer without a length is complete when its connection ends', async () => {
  const client = await startInstance((socket, id) => socket.end(head(id, '\r\nwhole')))
  expect(await run(client, 'a')).toBe('200 whole')
})

// It was complete once this side had closed its connection, and was kept by whoever sends answers on.
for (const kind of ['idempotent', 'once', 'upload', 'download'] as const) {
  test(`an answer without a length to a call of kind ${kind} that is larger than the limit has one outcome`, async () => {
    let closed: Promise<unknown> | undefined
    const client = await startInstance((socket, id) => {
      closed = new Promise(resolve => socket.once('close', resolve))
      socket.write(head(id, '\r\n'))
      socket.write(Buffer.alloc(MAX_ANSWER_BYTES + 1))
    })
    const outcomes: string[] = []
    const failed = new Promise<void>(resolve => {
      client.run(makeCall('a', kind), 'i-1', 5000, {
        onAnswer: ({ status }) => { outcomes.push(`answer ${status}`) },
        onFailure: (proof, reason) => {
          outcomes.push(`${proof} ${reason}`)
          resolve()
        },
        onLoad: () => {},
        onRequestLimit: () => {},
        onLeaving: () => {},
        mayResend: () => true
      })
    })
    await failed
    await closed
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(outcomes).toEqual(['unknown answer-invalid'])
  })
}

test('a call that is cancelled in the middle of an answer without a length has no outcome', async () => {
  let onPart: () => void
  const part = new Promise<void>(resolve => { onPart = resolve })
  let closed: Promise<unknown> | undefined
  const client = await startInstance((socket, id) => {
    closed = new Promise(resolve => socket.once('close', resolve))
    socket.write(head(id, '\r\npart'), () => onPart())
  })
  const outcomes: string[] = []
  const handle = client.run(makeCall('a', 'once'), 'i-1', 5000, {
    onAnswer: ({ status }) => { outcomes.push(`answer ${status}`) },
    onFailure: (proof, reason) => { outcomes.push(`${proof} ${reason}`) },
    onLoad: () => {},
    onRequestLimit: () => {},
    onLeaving: () => {},
    mayResend: () => true
  })
  await part
  await new Promise(resolve => setTimeout(resolve, 50))
  handle.cancel()
  await closed
  await new Promise(resolve => setTimeout(resolve, 50))
  expect(outcomes).toEqual([])
})

test('an answer without a length is incomplete when its connection is reset', async () => {
  const client = await startInstance((socket, id) => {
    socket.write(head(id, '\r\npart'), () => setTimeout(() => socket.resetAndDestroy(), 20))
  })
  expect(await run(client, 'a')).toBe('unknown instance-lost')
})

// Node.js reports a reset as an end when the data before it is read in the same iteration of the event loop.
test('a reset that arrives together with data is not taken for the end of the answer', async () => {
  const client = await startInstance((socket, id) => {
    socket.write(head(id, '\r\npart'), () => {
      socket.resetAndDestroy()
      // Blocks the event loop, so that the client reads the data and the reset in the same iteration.
      const untilMs = performance.now() + 30
      while (performance.now() < untilMs);
    })
  })
  expect(await run(client, 'a')).toBe('unknown instance-lost')
})

test('an answer that is shorter than its Content-Length is incomplete', async () => {
  const client = await startInstance((socket, id) => socket.end(head(id, 'Content-Length: 10\r\n\r\npart')))
  expect(await run(client, 'a')).toBe('unknown instance-lost')
})

const WHOLE: ReadonlyArray<readonly [string, string]> = [
  ['a length', 'Content-Length: 11\r\n\r\nhello world'],
  ['chunks', 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n'],
  ['trailers', 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n']
]

for (const [framing, rest] of WHOLE) {
  test(`an answer with ${framing} that ends before its last byte is never taken for whole`, async () => {
    const { length } = head('a', rest)
    for (let bytes = 0; bytes < length; bytes++) {
      const client = await startInstance((socket, id) => socket.end(head(id, rest).slice(0, bytes)))
      expect([bytes, await run(client, 'a')]).toEqual([bytes, 'unknown instance-lost'])
      client.dispose()
      server?.close()
    }
  })
}

test('an answer that carries the id of another request is rejected', async () => {
  const client = await startInstance(socket => socket.end(head('b', 'Content-Length: 0\r\n\r\n')))
  expect(await run(client, 'a')).toBe('unknown answer-foreign')
})

// Data after a complete answer would be parsed as the answer to the next request on the connection.
test('bytes after a complete answer close the connection and reach no other request', async () => {
  const answer = (id: string): string => head(id, 'Content-Length: 2\r\n\r\nok')
  const client = await startInstance(
    (socket, id) => {
      socket.write(answer(id))
      setTimeout(() => socket.write(answer('extra')), 20)
    },
    (socket, id) => socket.write(answer(id))
  )
  expect(await run(client, 'a')).toBe('200 ok')
  await new Promise(resolve => [...sockets][0]?.once('close', resolve))
  expect(await run(client, 'b')).toBe('200 ok')
})

test('a connection that is reused many times does not accumulate listeners', async () => {
  const warnings: string[] = []
  const note = (warning: Error): void => { warnings.push(warning.name) }
  process.on('warning', note)
  const answer = (id: string): string => head(id, 'Content-Length: 2\r\n\r\nok')
  const client = await startInstance(...Array.from({ length: 30 }, () => (socket: Socket, id: string) => {
    socket.write(answer(id))
  }))
  for (let i = 0; i < 30; i++) expect(await run(client, `r${i}`, 'idempotent')).toBe('200 ok')
  await new Promise(resolve => setImmediate(resolve))
  process.off('warning', note)
  expect([sockets.size, warnings]).toEqual([1, []])
})

test('a successful answer without a signature is rejected', async () => {
  const client = await startInstance((socket, id) => socket.end(`HTTP/1.1 200 OK\r\nCall-Id: ${id}\r\nContent-Length: 0\r\n\r\n`))
  expect(await run(client, 'a')).toBe('unknown answer-invalid')
})

test('an answer that guarantees that nothing ran fails the call as rejected', async () => {
  const client = await startInstance((socket, id) => {
    socket.end(`HTTP/1.1 503 Busy\r\nCall-Id: ${id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`)
  })
  expect(await run(client, 'a')).toBe('rejected instance-rejected')
})

const refusal = (idHeader: string): string => `HTTP/1.1 503 Busy\r\n${idHeader}Not-Run: 1\r\nContent-Length: 0\r\n\r\n`

// A faulty instance may write an earlier refusal once more, while it runs the next request on the connection.
test('a refusal without an id is no proof on a connection that was used before', async () => {
  const client = await startInstance(
    (socket, id) => socket.write(head(id, 'Content-Length: 2\r\n\r\nok')),
    socket => socket.write(refusal(''))
  )
  expect(await run(client, 'a')).toBe('200 ok')
  expect(await run(client, 'b')).toBe('unknown answer-foreign')
  expect(sockets.size).toBe(1)
})

test('a refusal without an id is proof on a new connection', async () => {
  const client = await startInstance(socket => socket.write(refusal('')))
  expect(await run(client, 'a')).toBe('rejected instance-rejected')
})

test('a refusal that is repeated does not reach the next request, also when that has the same id', async () => {
  const client = await startInstance(
    (socket, id) => {
      socket.write(refusal(`Call-Id: ${id}\r\n`))
      setTimeout(() => { if (!socket.destroyed) socket.write(refusal(`Call-Id: ${id}\r\n`)) }, 20)
    },
    (socket, id) => setTimeout(() => socket.write(head(id, 'Content-Length: 2\r\n\r\nok')), 60)
  )
  expect(await run(client, 'a')).toBe('rejected instance-rejected')
  expect(await run(client, 'a')).toBe('200 ok')
})

test('a call fails as unsent when the connection is refused', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  expect(await run(new InstanceClient(address, NAMES, new SystemClock()), 'a')).toBe('unsent instance-unreachable')
})

/** Starts an instance that answers, resets the kept connection at the second request, and then reacts as given. */
async function startResetting (reaction: (socket: Socket, id: string) => void): Promise<InstanceClient> {
  const client = await startInstance(answerOk, socket => socket.resetAndDestroy(), reaction)
  expect(await run(client, 'a')).toBe('200 ok')
  return client
}

function answerOk (socket: Socket, id: string): void {
  socket.write(head(id, 'Content-Length: 2\r\n\r\nok'))
}

test('an idempotent request is sent again when its kept connection was reset', async () => {
  const client = await startResetting(answerOk)
  expect(await run(client, 'b', 'idempotent')).toBe('200 ok')
})

test('an at-most-once request is not sent again after a reset', async () => {
  const client = await startResetting(answerOk)
  expect(await run(client, 'b', 'once')).toBe('unknown instance-lost')
})

// The first send may have run before the reset, whatever the instance says of the second.
test('a rejection after a resend leaves it unknown whether the request has run', async () => {
  const client = await startResetting((socket, id) => {
    socket.write(`HTTP/1.1 421 Other\r\nCall-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
  })
  expect(await run(client, 'b', 'idempotent')).toBe('unknown instance-replaced')
})

test('a request that the limit of the instance does not allow once more is not resent', async () => {
  const client = await startInstance(
    (socket, id) => socket.write(head(id, 'Content-Length: 0\r\n\r\n')),
    socket => socket.destroy(),
    (socket, id) => socket.write(head(id, 'Content-Length: 0\r\n\r\n'))
  )
  expect(await run(client, 'r-1', 'idempotent')).toBe('200 ')
  expect(await run(client, 'r-2', 'idempotent', 5000, false)).toBe('unknown instance-lost')
})

for (const query of ['queryLoad', 'checkHealth'] as const) {
  test(`${query} passes on what the answer says of the cold state, whether the instance is healthy or not`, async () => {
    const client = await startInstance(socket => {
      socket.write('HTTP/1.1 503 Busy\r\nInstance: i-1\r\nCold-Ms: 250\r\nContent-Length: 0\r\n\r\n')
    })
    const notice = await new Promise(resolve => client[query]('/health', (_result: unknown, told: unknown) => resolve(told)))
    expect(notice).toEqual({ instance: 'i-1', header: '250' })
  })
}

const MALFORMED_HEADS: ReadonlyArray<readonly [string, string]> = [
  ['a space in a header name', 'instance load: 1,0,6\r\nContent-Length: 1\r\n\r\na'],
  ['an empty header name', ': 1,0,6\r\nContent-Length: 1\r\n\r\na'],
  ['a control byte in a header value', 'A: \x01\r\nContent-Length: 1\r\n\r\na'],
  ['a control byte in a header name', 'A\x7f: b\r\nContent-Length: 1\r\n\r\na'],
  ['a parenthesis in a header name', 'A(: b\r\nContent-Length: 1\r\n\r\na']
]

// Node.js reads some of these heads and throws where they are written.
for (const [what, rest] of MALFORMED_HEADS) {
  test(`an answer with ${what} is no answer, and the next request is answered`, async () => {
    const sendOdd = (socket: Socket, id: string): void => { socket.write(Buffer.from(head(id, rest), 'latin1')) }
    const client = await startInstance(sendOdd, (socket, id) => socket.write(head(id, 'Content-Length: 1\r\n\r\nb')))
    expect(await run(client, 'r-1')).toMatch(/^unknown (answer-invalid|instance-lost)$/)
    expect(await run(client, 'r-2')).toBe('200 b')
    client.dispose()
  })
}

for (const line of ['101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade', '099 Odd', '1000 Odd', '-1 Odd', 'OK']) {
  test(`an answer with the status line ${JSON.stringify(line)} is no answer`, async () => {
    const client = await startInstance((socket, id) => socket.write(`HTTP/1.1 ${line}\r\nCall-Id: ${id}\r\n\r\n`))
    expect(await run(client, 'r-1', 'once', 1000)).toMatch(/^unknown (answer-invalid|instance-lost|timeout)$/)
    client.dispose()
  })
}

test('an answer to a health check with an id that cannot be sent as a header finds no instance', async () => {
  const answer = (id: string) => (socket: Socket): void => {
    socket.write(Buffer.from(`HTTP/1.1 200 OK\r\nInstance: ${id}\r\nContent-Length: 0\r\n\r\n`, 'latin1'))
  }
  const client = await startInstance(answer('\xe9'), answer(''), answer('i-1'))
  const check = async (path = '/healthz'): Promise<string | undefined> => {
    return await new Promise(resolve => client.checkHealth(path, health => resolve(health?.id)))
  }
  expect([await check(), await check(), await check('/a b'), await check()]).toEqual([undefined, undefined, undefined, 'i-1'])
  client.dispose()
})
