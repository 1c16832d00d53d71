import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, makeRoute, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'

const KEY = 'key-of-a-customer'
const SLOTS = 6

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

async function startWithKey (): Promise<{ started: RouteMesh, node: MeshNode }> {
  mesh = await RouteMesh.start(1)
  const workspaces = [{ name: 'acme', keys: [KEY], priority: 2 }]
  await mesh.configureWith({ routes: [makeRoute('read', 'idempotent')], workspaces })
  return { started: mesh, node: mesh.nodes[0]! }
}

function findLine (started: RouteMesh, message: string, requestId: string): unknown {
  return started.logLines.find(line => line.message === message && line.fields['requestId'] === requestId)?.fields
}

/** Everything that operators can read. */
async function readAll (started: RouteMesh, { daemon }: MeshNode): Promise<string> {
  return JSON.stringify([started.logLines, daemon.state(), await daemon.metrics.text()])
}

// Without these fields, nobody can tell a customer why it was refused and not another one.
test('the log line of a refused request names the workspace, its priority and the share it has used', async () => {
  const { started, node } = await startWithKey()
  const answers: Array<() => void> = []
  node.instance.behaviour = (request, response) => answers.push(() => node.instance.answer(request, response))
  const headers = { [HEADER_NAMES.apiKey]: KEY }
  const running = Array.from({ length: SLOTS }, () => started.call(node, '/read/x', 5000, headers))
  while (answers.length < SLOTS) await pause()
  const id = { [HEADER_NAMES.requestId]: 'refused' }
  expect((await started.call(node, '/read/x', 60, { ...headers, ...id })).statusCode).toBe(503)
  answers.forEach(answer => answer())
  await Promise.all(running)
  expect(findLine(started, 'not answered', 'refused')).toMatchObject({
    outcome: 'refused', workspace: 'acme', workspacePriority: 2, shareUsed: expect.any(Number), retryAfterMs: expect.any(Number)
  })
  const metrics = await node.daemon.metrics.text()
  expect(metrics).toContain(`sassafras_workspace_requests_total{workspace="acme"} ${SLOTS + 1}`)
  expect(metrics).toContain('sassafras_workspace_refusals_total{workspace="acme",reason="share"} 1')
  expect(metrics).toContain('sassafras_workspace_share_used{workspace="acme"}')
  expect(await readAll(started, node)).not.toContain(KEY)
})

test('a request with an unknown key leaves a log line without the key', async () => {
  const { started, node } = await startWithKey()
  const headers = { [HEADER_NAMES.apiKey]: 'key-of-a-stranger', [HEADER_NAMES.requestId]: 'stranger' }
  expect((await started.call(node, '/read/x', 5000, headers)).statusCode).toBe(401)
  expect(findLine(started, 'request refused', 'stranger')).toMatchObject({ status: 401, reason: 'unknown-key' })
  const metrics = await node.daemon.metrics.text()
  expect(metrics).toContain('sassafras_workspace_refusals_total{workspace="_none",reason="key"} 1')
  expect(await readAll(started, node)).not.toContain('key-of-a-stranger')
})
