import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { writeReport } from './BenchReport.js'
import { measureCatchUp } from './state/CatchUp.js'
import { measureCommits } from './state/Commits.js'
import { measureRollout } from './state/ConfigurationRollout.js'
import { measureLeaderLoss } from './state/LeaderLoss.js'
import { measureLogWrites } from './state/LogWrites.js'
import { measureRestart } from './state/Restart.js'
import { measureSnapshots } from './state/Snapshots.js'

/** Measurements by name; each uses its own folder on the measured disk. */
const MEASUREMENTS: Readonly<Record<string, (folder: string) => unknown>> = {
  logWrites: measureLogWrites,
  snapshots: measureSnapshots,
  commits: measureCommits,
  leaderLoss: measureLeaderLoss,
  catchUp: measureCatchUp,
  restart: measureRestart,
  inForce: measureRollout
}

const selected = process.argv.slice(2)
const folder = mkdtempSync(join(process.env['STATE_BENCH_FOLDER'] ?? tmpdir(), 'sassafras-state-'))
const results: Record<string, unknown> = {}
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (selected.length > 0 && !selected.includes(name)) continue
  results[name] = await measure(join(folder, name))
  console.log(JSON.stringify({ [name]: results[name] }))
}
rmSync(folder, { recursive: true, force: true })
writeReport('state', { arguments: selected, seeds: [1], ...results })
