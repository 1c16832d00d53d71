import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import express from 'express'
import type { Express, Request, Response } from 'express'
import { expect, onTestFinished, test } from 'vitest'
import type { ChangeReply, ChangeRequest } from '../parts/configuration/Types.js'
import { ConfigurationFile } from './ConfigurationFile.js'
import { CtlProgram } from './CtlProgram.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

const CONFIGURATION = `
zones = [{ region = "kyushu", zone = "fukuoka" }]
measuring = { bytesPerSecond = 12000, messagesPerCall = 0.1 }
[[services]]
name = "custody"
guarded = ["POST /checkouts"]
`

interface RunResult {
  readonly exit: number
  readonly out: string
  readonly err: string
}

function writeFile (name: string, text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'ctl-')), name)
  writeFileSync(file, text)
  return file
}

async function run (...args: string[]): Promise<RunResult> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()]
  const exit = await new CtlProgram().run(args, { stdout, stderr })
  return { exit, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') }
}

async function startServer (install: (app: Express) => void): Promise<string> {
  const app = express()
  app.use(express.json())
  install(app)
  const server = createServer(app)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  onTestFinished(() => { server.close().closeAllConnections() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function startReplyServer (status: number, reply: ChangeReply): Promise<string> {
  return await startServer(app => { app.post('/changes', (_request, response) => { response.status(status).json(reply) }) })
}

async function apply (control: string, ...more: string[]): Promise<RunResult> {
  const file = writeFile('mesh.toml', CONFIGURATION)
  return await run('apply', file, '--base', '4', '--operation', 'op-1', '--control', control, ...more)
}

test('each reply to a change has its exit code', async () => {
  const accepted = await apply(await startReplyServer(200, { type: 'accepted', version: 5 }))
  expect([accepted.exit, accepted.out]).toEqual([CTL_EXIT_CODES.ok, 'accepted: version 5 is in force\n'])
  const conflict = await apply(await startReplyServer(409, { type: 'conflict', inForce: 7, differs: ['services.custody.drainMs'] }))
  expect(conflict.exit).toBe(CTL_EXIT_CODES.conflict)
  expect(conflict.err).toContain('--base 7')
  expect(conflict.err).toContain('services.custody.drainMs')
  const finding = { place: 'services[0].name', problem: 'is empty', expected: 'a name' }
  const invalid = await apply(await startReplyServer(422, { type: 'invalid', findings: [finding] }))
  expect(invalid.exit).toBe(CTL_EXIT_CODES.invalid)
  const reused = await apply(await startReplyServer(409, { type: 'operationReused', version: 3 }))
  expect(reused.exit).toBe(CTL_EXIT_CODES.conflict)
})

test('an invalid file is reported with all findings and nothing is sent', async () => {
  let changes = 0
  const control = await startServer(app => { app.post('/changes', (_request, response) => { changes++; response.json({}) }) })
  const file = writeFile('mesh.toml', CONFIGURATION.replace('POST /checkouts', 'checkouts').replace('0.1', '2'))
  const { exit, out } = await run('apply', file, '--base', '0', '--control', control, '--json')
  expect(exit).toBe(CTL_EXIT_CODES.invalid)
  const places = (JSON.parse(out) as { findings: Array<{ place: string }> }).findings.map(finding => finding.place)
  expect(places.sort()).toEqual([`${file}: measuring.messagesPerCall`, `${file}: services[0].guarded[0]`])
  expect(changes).toBe(0)
})

test('a change follows the redirect to the leader', async () => {
  const received: ChangeRequest[] = []
  const leader = await startServer(app => {
    app.post('/changes', (request: Request, response: Response) => {
      received.push(request.body as ChangeRequest)
      response.json({ type: 'accepted', version: 5 })
    })
  })
  const follower = await startServer(app => {
    app.post('/changes', (_request, response) => { response.redirect(307, `http://${leader}/changes`) })
  })
  const { exit } = await apply(follower)
  expect(exit).toBe(CTL_EXIT_CODES.ok)
  expect(received).toMatchObject([{ operation: 'op-1', base: 4, configuration: { services: [{ name: 'custody' }] } }])
})

// The connection closes before the first answer. The change may be accepted already: only a request with the same
// operation id can't apply it twice.
test('a change whose answer is lost is sent again with the same operation id', async () => {
  const operations: string[] = []
  const control = await startServer(app => {
    app.post('/changes', (request: Request, response: Response) => {
      operations.push((request.body as ChangeRequest).operation)
      if (operations.length === 1) request.socket.destroy()
      else response.json({ type: 'accepted', version: 5 })
    })
  })
  const { exit } = await apply(control)
  expect(exit).toBe(CTL_EXIT_CODES.ok)
  expect(operations).toEqual(['op-1', 'op-1'])
})

// After a lost answer or a 503 the change may still be accepted; the report must not say that nothing was changed.
test('a change whose answer stays lost is unknown, one that reached no process is unavailable', async () => {
  const unresponsive = await startServer(app => { app.post('/changes', request => { request.socket.destroy() }) })
  const lost = await apply(unresponsive, '--timeout-ms', '700')
  expect(lost.exit).toBe(CTL_EXIT_CODES.unknown)
  expect(lost.err).toContain('--operation op-1')
  const minority = await apply(await startReplyServer(503, { type: 'unavailable', retryAfterMs: 1 }), '--timeout-ms', '700')
  expect(minority.exit).toBe(CTL_EXIT_CODES.unknown)
  const unreachable = await apply('127.0.0.1:1', '--timeout-ms', '700')
  expect(unreachable.exit).toBe(CTL_EXIT_CODES.unavailable)
  expect(unreachable.err).toContain('Nothing was changed')
})

async function startInForceServer (): Promise<string> {
  const configuration = new ConfigurationFile('').check(CONFIGURATION).unwrap()
  const nodes = [{ node: 'custody-1', version: 5, heardMsAgo: 3 }, { node: 'custody-2', version: 4, heardMsAgo: 2500 }]
  return await startServer(app => {
    app.get('/configuration', (_request, response) => { response.json({ version: 5, term: 1, operation: 'op-1', configuration }) })
    app.get('/in-force', (_request, response) => { response.json(nodes) })
  })
}

test('get lists the nodes that lag behind', async () => {
  const { exit, err } = await run('get', '--control', await startInForceServer())
  expect(exit).toBe(CTL_EXIT_CODES.lagging)
  expect(err).toContain('1 of 2 nodes have version 5 in force; lagging:\n  custody-2 has 4, reported 2500 ms ago')
})

test('diff lists what a file would change', async () => {
  const control = await startInForceServer()
  const same = await run('diff', writeFile('mesh.toml', CONFIGURATION), '--control', control)
  expect(same.exit).toBe(CTL_EXIT_CODES.ok)
  const other = writeFile('mesh.toml', `${CONFIGURATION}drainMs = 5\n`)
  const changed = await run('diff', other, '--control', control, '--json')
  expect(changed.exit).toBe(CTL_EXIT_CODES.differs)
  expect(JSON.parse(changed.out)).toMatchObject({ inForce: 5, differs: ['services.custody.drainMs'] })
})

// A failure to read the nodes afterwards must not look like a rejected change.
test('an accepted change is reported as accepted even when the versions of the nodes cannot be read', async () => {
  const control = await startServer(app => {
    app.post('/changes', (_request, response) => { response.json({ type: 'accepted', version: 5 }) })
    app.get('/in-force', (_request, response) => { response.status(503).json({}) })
  })
  const { exit, err } = await apply(control, '--wait-ms', '0', '--timeout-ms', '700')
  expect([exit, err.split('\n')[0]]).toEqual([CTL_EXIT_CODES.lagging, 'accepted: version 5 is in force'])
})

test('processes are addressed by their names in the settings or by their addresses', async () => {
  const posts: string[] = []
  const node = await startServer(app => {
    app.get('/state', (_request, response) => { response.json({ inFlight: 3 }) })
    app.post(['/drain', '/resume'], (request, response) => { posts.push(request.path); response.json({}) })
  })
  const settings = writeFile('ctl.toml', `processes = { custody-1 = "${node}" }`)
  expect((await run('dump', 'custody-1', '--settings', settings)).out).toContain('"inFlight": 3')
  expect((await run('drain', 'custody-1', '--settings', settings)).exit).toBe(CTL_EXIT_CODES.ok)
  expect((await run('resume', node)).exit).toBe(CTL_EXIT_CODES.ok)
  expect(posts).toEqual(['/drain', '/resume'])
  const unknown = await run('dump', 'custody-9', '--settings', settings)
  expect([unknown.exit, unknown.err.includes('custody-1')]).toEqual([CTL_EXIT_CODES.invalid, true])
})

test('an invalid command line exits with the code for invalid input', async () => {
  expect((await run('apply', 'mesh.toml')).exit).toBe(CTL_EXIT_CODES.invalid)
  expect((await run('check', '/nonexistent', '--kind', 'node')).exit).toBe(CTL_EXIT_CODES.invalid)
  expect((await run('get')).exit).toBe(CTL_EXIT_CODES.invalid)
  expect((await run('get', '--control', '127.0.0.1:1', '--timeout-ms', 'soon')).exit).toBe(CTL_EXIT_CODES.invalid)
})
