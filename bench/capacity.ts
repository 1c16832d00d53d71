/** Computes docs/CAPACITY.md from bench/results and docs/capacity-text.md: `npm run capacity`. */
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { CapacityFigures } from './capacity/CapacityFigures.js'
import type { Figure, LimitCheck } from './capacity/CapacityFigures.js'
import { readResults } from './capacity/ResultReader.js'
import type { Results } from './capacity/ResultReader.js'

const TEMPLATE_PATH = join('docs', 'capacity-text.md')
const PAGE_PATH = join('docs', 'CAPACITY.md')

function formatTable (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')
}

function formatFigureTable (figures: readonly Figure[]): string {
  return formatTable(['what', 'at the design size', 'from'], figures.map(({ what, value, from }) => [what, value, from]))
}

function formatLimitTable (checks: readonly LimitCheck[]): string {
  const rows = checks.map(({ what, value, limit, met, from }) => [what, value, limit, met ? 'met' : '**missed**', from])
  return formatTable(['what', 'computed', 'limit', 'verdict', 'from'], rows)
}

function formatSourceTable (results: Results): string {
  const rows = Object.entries(results).map(([name, { command, commit, changed, cores, date, loadAverage }]) => {
    const state = changed ? `${commit} with changes` : commit
    return [`${name}.json`, `\`${command}\``, state, String(cores), String(loadAverage ?? 'not noted'), date.slice(0, 10)]
  })
  return formatTable(['result', 'command', 'commit', 'cores', 'load average', 'date'], rows)
}

const results = readResults(join('bench', 'results'))
const figures = new CapacityFigures(results)
const tables: Readonly<Record<string, string>> = {
  limits: formatLimitTable(figures.limits()),
  dataPath: formatFigureTable(figures.dataPath()),
  replica: formatFigureTable([figures.rest(), ...figures.replica()]),
  records: formatFigureTable(figures.records()),
  recovery: formatFigureTable(figures.recovery()),
  sources: formatSourceTable(results)
}
const page = readFileSync(TEMPLATE_PATH, 'utf8').replace(/^\{\{(\w+)\}\}$/gm, (mark, name: string) => tables[name] ?? mark)
writeFileSync(PAGE_PATH, page)
console.log(`${PAGE_PATH} written; limits: ${figures.limits().map(({ what, met }) => `${what}: ${met ? 'met' : 'missed'}`).join('; ')}`)
