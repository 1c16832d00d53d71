import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** First lines whose status is none of a final answer in HTTP. */
const ODD_LINES = [
  ...['000', '001', '099', '199', '600', '700', '999', '20', '1000'].map(status => `HTTP/1.1 ${status} Odd`), 'HTTP/1.0 000 Odd'
]

/** Statuses of the system's own: the answer was of no use, or its instance gets no calls for a while. */
const OWN_FAILURES = [502, 503]

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Writes an answer with a first line as it stands. */
function writeAnswer (
  { headers }: IncomingMessage, { socket }: ServerResponse, line: string, fields: readonly string[]
): void {
  const id = String(headers[HEADER_NAMES.requestId])
  const head = [line, `${HEADER_NAMES.requestId}: ${id}`, 'content-length: 2', ...fields]
  socket?.write(`${head.join('\r\n')}\r\n\r\nok`)
}

const ODD_HEADERS: Readonly<Record<string, readonly string[]>> = {
  'no signature': [],
  'a signature': [`${HEADER_NAMES.signature}: s`],
  'the proof of a rejection': [`${HEADER_NAMES.notExecuted}: 1`]
}

for (const [name, fields] of Object.entries(ODD_HEADERS)) {
  // Statuses from 600 on were handed to the caller as the answer of the instance.
  test(`an answer with an odd status and ${name} reaches no caller, and proves nothing`, async () => {
    mesh = await RouteMesh.start(2)
    let line = ''
    for (const { instance } of mesh.nodes) {
      instance.behaviour = (request, response, self) => {
        if (line === '') self.answer(request, response)
        else writeAnswer(request, response, line, fields)
      }
    }
    for (const odd of ODD_LINES) {
      line = odd
      for (const node of mesh.nodes) {
        const before = mesh.startedCount
        const { statusCode, headers } = await mesh.call(node, '/once/odd')
        const signature = headers[HEADER_NAMES.signature]
        expect([odd, OWN_FAILURES.includes(statusCode), signature]).toEqual([odd, true, undefined])
        // A request that has reached an instance may have run, so no refusal may say that it has not.
        if (mesh.startedCount > before) expect([odd, statusCode]).toEqual([odd, 502])
      }
      line = ''
      for (const node of mesh.nodes) await awaitService(mesh, node)
    }
  }, 60_000)
}

// Its id and its load counted, as of any answer.
test('an answer with an odd status to a health check says nothing', async () => {
  mesh = await RouteMesh.start(2)
  const [{ daemon, instance }, caller] = mesh.nodes as [MeshNode, MeshNode]
  instance.spoilHealth = () => Buffer.from(`HTTP/1.1 000 Odd\r\n${HEADER_NAMES.instanceId}: ${instance.id}\r\ncontent-length: 0\r\n\r\n`)
  const settled = mesh.awaitLog('report settled')
  const { address } = instance
  daemon.report({ id: 'i-x', bornMs: 9, sequence: 1, service: 'svc', address, slots: 6, state: 'ready', coldMs: 0 })
  expect((await settled)['identity']).toBeUndefined()
  expect((await mesh.call(caller, '/read/x')).statusCode).toBe(200)
})

/** Waits until a node answers requests with 200 again. */
async function awaitService (started: RouteMesh, node: MeshNode): Promise<void> {
  while ((await started.call(node, '/read/x')).statusCode !== 200);
}
