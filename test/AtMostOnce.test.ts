import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { LocalMesh } from '../src/demo/LocalMesh.js'
import type { MeshLayout, PairLayout } from '../src/demo/Types.js'
import { readJournal } from '../src/standin/Journal.js'
import { call } from './support/HttpCall.js'
import type { Answer } from './support/HttpCall.js'

const BIN_FOLDER = new URL('../dist/src/bin/', import.meta.url)
const plan = {
  region: 'kyushu',
  zones: ['fukuoka', 'kumamoto'],
  services: { custody: 3 },
  slots: 6,
  connections: 240,
  serviceTimeMs: 2
}
const mesh = new LocalMesh(plan, mkdtempSync(join(tmpdir(), 'guarded-')), BIN_FOLDER)
let layout: MeshLayout

beforeAll(async () => {
  layout = (await mesh.start('examples/kagamino/mesh.toml', () => {})).layout
})

afterAll(() => { mesh.dispose() })

/** Service time that requests of each key ask for; a resent request must equal the first. */
const serviceMs = new Map<string, number>()

async function sendCheckout (pair: PairLayout, key: string): Promise<Answer> {
  const port = Number(pair.caller.split(':')[1])
  const headers = { 'idempotency-key': key, 'sassafras-deadline-ms': '4000' }
  return await call(`/checkouts/${key}?ms=${serviceMs.get(key) ?? 0}`, { service: 'custody', port, method: 'POST', headers, body: key })
}

function pairAt (index: number): PairLayout {
  return layout.pairs[index] as PairLayout
}

/** Returns the pairs whose upstream started to run the request, one entry for each run. */
function findRuns (key: string): PairLayout[] {
  return layout.pairs.flatMap(pair => {
    const starts = readJournal(pair.journal).filter(line => line.event === 'start' && line.key === key)
    return starts.map(() => pair)
  })
}

/** Waits until an upstream has started to run the request. */
async function awaitRun (key: string): Promise<PairLayout> {
  for (;;) {
    const pair = findRuns(key)[0]
    if (pair !== undefined) return pair
    await new Promise(resolve => setImmediate(resolve))
  }
}

/** Resends the request through one node after another until the answer is final rather than `in-progress`. */
async function resendUntilSettled (key: string, pairs: readonly PairLayout[]): Promise<Answer> {
  for (let attempt = 0; ; attempt++) {
    const answer = await sendCheckout(pairs[attempt % pairs.length] as PairLayout, key)
    if (answer.headers['sassafras-reason'] !== 'in-progress') return answer
  }
}

test('one key sent to three nodes at once runs once, and all get the same answer', async () => {
  serviceMs.set('at-once', 50)
  const answers = await Promise.all(layout.pairs.map(async pair => await sendCheckout(pair, 'at-once')))
  const settled = await resendUntilSettled('at-once', layout.pairs)
  expect(findRuns('at-once')).toHaveLength(1)
  expect(settled.status).toBe(200)
  for (const answer of answers) {
    if (answer.status === 200) expect(answer.body).toBe(settled.body)
    else expect(answer.headers).toMatchObject({ 'sassafras-disposition': 'unknown', 'sassafras-reason': 'in-progress' })
  }
})

// Guards against a new leader that doesn't know the outcome of a run and grants a second one.
test('a resent request gets the first answer after kill -9 of the control leader', async () => {
  const first = await sendCheckout(pairAt(0), 'new-leader')
  const leader = await mesh.findLeader(layout)
  await mesh.processGroup.stop(leader, 'SIGKILL')
  await mesh.findLeader(layout)
  // Until the new leader serves and the first outcome is recorded, the reply is not-run or in-progress.
  let resent = await resendUntilSettled('new-leader', [pairAt(1)])
  while (resent.headers['sassafras-disposition'] === 'not-run') resent = await resendUntilSettled('new-leader', [pairAt(1)])
  expect(resent).toMatchObject({ status: 200, body: first.body })
  expect(findRuns('new-leader')).toHaveLength(1)
  await mesh.restartReplica(layout, leader)
})

// It can't be known whether the killed upstream completed the request, so no answer may permit another run.
test('kill -9 of the upstream in the middle of a run gives unknown, and the key never runs again', async () => {
  serviceMs.set('upstream-killed', 3000)
  const answer = sendCheckout(pairAt(0), 'upstream-killed')
  const runner = await awaitRun('upstream-killed')
  await mesh.processGroup.stop(`upstream-${runner.id}`, 'SIGKILL')
  expect((await answer).headers['sassafras-disposition']).toBe('unknown')
  const others = layout.pairs.filter(pair => pair !== runner)
  const settled = await resendUntilSettled('upstream-killed', others)
  expect(settled.headers['sassafras-disposition']).toBe('unknown')
  expect(findRuns('upstream-killed')).toHaveLength(1)
  await mesh.restartUpstream(layout, runner.id)
})

test('kill -9 of the node in the middle of a run gives unknown, and the key never runs again', async () => {
  serviceMs.set('node-killed', 3000)
  const answers = layout.pairs.map(async pair => await sendCheckout(pair, 'node-killed').catch(() => undefined))
  const runner = await awaitRun('node-killed')
  await mesh.processGroup.stop(`node-${runner.id}`, 'SIGKILL')
  for (const answer of await Promise.all(answers)) {
    if (answer !== undefined) expect(answer.headers['sassafras-disposition']).toBe('unknown')
  }
  const others = layout.pairs.filter(pair => pair !== runner)
  const settled = await resendUntilSettled('node-killed', others)
  expect(settled.headers['sassafras-disposition']).toBe('unknown')
  expect(findRuns('node-killed')).toHaveLength(1)
  await mesh.restartNode(layout, runner.id)
})

// Guards against a poison request that is retried at one instance after another and crashes each. After its quarantine
// other requests must be served.
test('a request that crashes its upstream is quarantined for everyone', async () => {
  const send = async (pair: PairLayout): Promise<Answer> => await call('/lookups/poison', {
    service: 'custody', port: Number(pair.caller.split(':')[1]), headers: { 'x-crash': '1' }
  })
  const sendThrough = async (index: number): Promise<Answer> => await send(pairAt(index))
  let crashes = 0
  let answer = await sendThrough(0)
  while (answer.headers['sassafras-disposition'] !== 'quarantined') {
    const crashed = mesh.processGroup.exitedNames()
    crashes += crashed.length
    for (const id of crashed) await mesh.processGroup.stop(id)
    for (const id of crashed) await mesh.restartUpstream(layout, id.replace('upstream-', ''))
    answer = await sendThrough(0)
  }
  crashes += mesh.processGroup.exitedNames().length
  expect(crashes).toBeGreaterThan(0)
  expect(crashes).toBeLessThanOrEqual(4)
  for (const index of [1, 2]) expect((await sendThrough(index)).headers['sassafras-disposition']).toBe('quarantined')
  const stopped = mesh.processGroup.exitedNames()
  for (const id of stopped) await mesh.processGroup.stop(id)
  for (const id of stopped) await mesh.restartUpstream(layout, id.replace('upstream-', ''))
  const port = Number(pairAt(0).caller.split(':')[1])
  let harmlessAnswer = await call('/lookups/innocent', { service: 'custody', port })
  while (harmlessAnswer.headers['sassafras-disposition'] === 'not-run') {
    harmlessAnswer = await call('/lookups/innocent', { service: 'custody', port })
  }
  expect([harmlessAnswer.status, harmlessAnswer.headers['sassafras-reason']]).toEqual([200, undefined])
})
