import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { LocalMesh } from '../src/demo/LocalMesh.js'
import type { MeshLayout, PairLayout } from '../src/demo/Types.js'
import { DownloadCheck } from '../src/load/DownloadCheck.js'
import { loadPlan } from '../src/load/LoadPlan.js'
import { LoadRun } from '../src/load/LoadRun.js'
import type { LoadSummary } from '../src/load/LoadSummary.js'
import { DownloadBody } from '../src/runtime/DownloadBody.js'
import { readJournal } from '../src/standin/Journal.js'

const DOWNLOAD_BYTES = 64 * 1024 * 1024
const DOWNLOAD_BYTES_PER_S = 16 * 1024 * 1024
const BACKGROUND_MS = 3000
const BIN_FOLDER = new URL('../dist/src/bin/', import.meta.url)

const plan = {
  region: 'kyushu',
  zones: ['fukuoka', 'kumamoto'],
  services: { custody: 2, vault: 2 },
  slots: 6,
  connections: 240,
  serviceTimeMs: 2
}
const mesh = new LocalMesh(plan, mkdtempSync(join(tmpdir(), 'stop-')), BIN_FOLDER)
let layout: MeshLayout

beforeAll(async () => {
  layout = (await mesh.start('examples/kagamino/mesh.toml', () => {})).layout
})

afterAll(() => { mesh.dispose() })

function findPair (id: string): PairLayout {
  return layout.pairs.find(pair => pair.id === id) as PairLayout
}

async function startDownload (through: string, id: string): Promise<Dispatcher.ResponseData> {
  const path = `/downloads/${DOWNLOAD_BYTES}?rate=${DOWNLOAD_BYTES_PER_S}&seed=5`
  const headers = { host: 'vault.mesh', 'x-request-id': id }
  const download = await request(`http://${findPair(through).caller}${path}`, { headers, bodyTimeout: 0, headersTimeout: 0 })
  expect([download.statusCode, download.statusCode === 200 ? '' : await download.body.text()]).toEqual([200, ''])
  return download
}

/** Reads a download to its end and compares it with the expected body. */
async function isDownloadIntact (download: Dispatcher.ResponseData): Promise<boolean> {
  const check = new DownloadCheck(new DownloadBody(DOWNLOAD_BYTES, 5))
  for await (const chunk of download.body) check.update(chunk as Buffer)
  return check.isComplete
}

/** Returns the pair whose upstream's journal shows that it runs the request. */
function findRunningPair (id: string): PairLayout {
  const runs = (pair: PairLayout): boolean => readJournal(pair.journal).some(line => line.event === 'start' && line.requestId === id)
  return layout.pairs.find(runs) as PairLayout
}

/** Sends lookups and at-most-once calls to the targets while a test stops processes. */
async function runBackgroundLoad (name: string, targets: readonly PairLayout[]): Promise<LoadSummary> {
  return await new LoadRun(loadPlan.parse({
    targets: targets.map(pair => pair.caller),
    journals: layout.pairs.map(pair => pair.journal),
    durationMs: BACKGROUND_MS,
    retry: { attempts: 20 },
    streams: [
      { kind: 'lookup', service: 'vault', rate: 40, deadlineMs: 30_000 },
      { kind: 'guarded', service: 'custody', rate: 20, deadlineMs: 30_000 }
    ]
  }), name).run()
}

function expectAllAnswered ({ all, audit }: LoadSummary): void {
  expect(all.reasons).toEqual({})
  expect(all.ends.ok).toBe(all.sent)
  expect(audit).toMatchObject({ lost: 0, doubled: 0, falseNotRun: 0 })
}

test('stops of an upstream and of a control replica cut nothing', async () => {
  const download = await startDownload('custody-1', 'first')
  const isIntact = isDownloadIntact(download)
  const vault = findRunningPair('first')
  const calls = runBackgroundLoad('beside-upstream', layout.pairs)
  const exitCodes = await Promise.all([mesh.processGroup.stop(`upstream-${vault.id}`), mesh.processGroup.stop('control-1')])
  expect(await isIntact).toBe(true)
  expect(exitCodes).toEqual([0, 0])
  expectAllAnswered(await calls)
  const journal = readJournal(vault.journal)
  const drainAtMs = journal.find(line => line.event === 'drain')?.atMs ?? 0
  // Calls that are on their way may start until 2 s after the drain, later ones must go elsewhere.
  const lateStarts = journal.filter(line => line.event === 'start' && line.atMs > drainAtMs + 2000)
  expect(lateStarts).toEqual([])
  await mesh.restartUpstream(layout, vault.id)
  await mesh.restartReplica(layout, 'control-1')
})

test('stops of the nodes at both sides of a download cut nothing', async () => {
  const download = await startDownload('custody-1', 'second')
  const isIntact = isDownloadIntact(download)
  const vault = findRunningPair('second')
  const others = layout.pairs.filter(pair => pair.id !== 'custody-1' && pair !== vault)
  const calls = runBackgroundLoad('beside-nodes', others)
  const exitCodes = await Promise.all([mesh.processGroup.stop('node-custody-1'), mesh.processGroup.stop(`node-${vault.id}`)])
  expect(await isIntact).toBe(true)
  expect(exitCodes).toEqual([0, 0])
  expectAllAnswered(await calls)
})
