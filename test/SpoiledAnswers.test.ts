import { Agent, request as sendRequest } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** Values that a spoiled byte gets: ends of lines, separators of heads and chunks, a digit and no text. */
const BYTES = [0, 10, 13, 32, 48, 58, 255]

/** Time that callers wait for an answer, in milliseconds; an answer whose end is spoiled never ends. */
const DEADLINE_MS = 300

let mesh: RouteMesh | undefined
let agent: Agent | undefined

afterEach(() => {
  agent?.destroy()
  mesh?.dispose()
  mesh = agent = undefined
})

/** Ids of one length, so that all answers have their parts at the same places. */
function nameRequest (number: number): string {
  return `request-${String(number).padStart(5, '0')}`
}

/** An answer whose body is the id of its request, in two chunks, with a trailer. */
function makeAnswer (requestId: string): Buffer {
  const head = `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${requestId}\r\n${HEADER_NAMES.signature}: s\r\n` +
    `${HEADER_NAMES.load}: 1,0,6,100\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n`
  const chunks = [requestId.slice(0, 5), requestId.slice(5)].map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')
  return Buffer.from(`${head}${chunks}0\r\nx-sum: 5\r\n\r\n`)
}

interface Answer {
  readonly status: number
  readonly body: string
}

/** Sends a request on the kept connection of the only caller. */
async function call (node: MeshNode, id: string, path: string): Promise<Answer> {
  return await new Promise((resolve, reject) => {
    const headers = { host: 'h.example', [HEADER_NAMES.requestId]: id, [HEADER_NAMES.deadlineMs]: String(DEADLINE_MS) }
    const outgoing = sendRequest(`${node.callerUrl}${path}`, { agent: agent!, headers }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode!, body: Buffer.concat(chunks).toString('latin1') }))
      response.on('error', reject)
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}

// The bytes behind an answer's head are read after its status is known; none may reach the next request.
test('a spoiled byte in a body, its chunks or trailers breaks no connection of a caller and mixes no answers', async () => {
  const started = await RouteMesh.start(2)
  mesh = started
  let spoil: ((answer: Buffer) => void) | undefined
  for (const { instance } of started.nodes) {
    instance.behaviour = request => {
      const id = String(request.headers[HEADER_NAMES.requestId])
      const answer = makeAnswer(id)
      if (request.url === '/once/spoiled') spoil?.(answer)
      request.socket.write(answer)
    }
  }
  // One connection, as a connection that breaks takes the next request with it.
  agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const sample = makeAnswer(nameRequest(0))
  const statuses = new Set<number>()
  let count = 0
  for (let place = sample.indexOf('\r\n\r\n') + 4; place < sample.length; place++) {
    for (const byte of BYTES) {
      spoil = answer => { answer[place] = byte }
      const node = started.nodes[count % 2]!
      const spoiled = await call(node, nameRequest(++count), '/once/spoiled')
      statuses.add(spoiled.status)
      if (spoiled.status === 200) expect(spoiled.body.length).toBe(nameRequest(0).length)
      const id = nameRequest(++count)
      expect(await call(node, id, '/once/x')).toEqual({ status: 200, body: id })
    }
  }
  expect([...statuses].filter(status => ![200, 502, 504].includes(status))).toEqual([])
  expect([statuses.has(200), statuses.has(502)]).toEqual([true, true])
}, 120_000)
