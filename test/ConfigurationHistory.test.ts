import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { HistoryRun, KNOWN_FAULTS } from '../soak/histories/HistoryRun.js'
import type { HistoryPlan } from '../soak/histories/HistorySchedule.js'
import { judgeHistory } from '../soak/histories/Judge.js'

const PROGRAMS = { node: 'dist/platform/node.js', control: 'dist/platform/control.js' } as const

const PLAN: HistoryPlan = {
  seed: 1,
  controls: 3,
  nodes: 3,
  operators: 3,
  busyProcesses: 0,
  faults: [
    { atMs: 1000, kind: 'killAfterAcknowledgement', pick: 0, forMs: 500 },
    { atMs: 2500, kind: 'killAllAfterAcknowledgement', pick: 0, forMs: 800 },
    { atMs: 5000, kind: 'stopNode', pick: 0.5, forMs: 0 },
    { atMs: 5500, kind: 'pauseControl', pick: 0.9, forMs: 1500 },
    { atMs: 9500, kind: 'wipeAndKillAll', pick: 0.4, forMs: 500 }
  ]
}

/** Time for the run, in milliseconds: its faults, the first order's limit and that of orders without an answer. */
const TEST_LIMIT_MS = 180_000

const folders: string[] = []

afterEach(() => folders.splice(0).forEach(folder => rmSync(folder, { recursive: true, force: true })))

// Guards against orders, reads and nodes that break a promise on configurations beside crashes and a lost disk.
test('the history of a seeded run keeps the promises on configurations', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'history-'))
  const network = `127.${20 + process.pid % 200}.1`
  const history = await new HistoryRun(PLAN, folder, network, KNOWN_FAULTS, PROGRAMS).run()
  writeFileSync(join(folder, 'history.json'), JSON.stringify(history))
  const findings = judgeHistory(history)
  if (findings.length === 0) folders.push(folder)
  expect(findings, `history and logs in ${folder}`).toEqual([])
}, TEST_LIMIT_MS)
