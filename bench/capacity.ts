/** Computes docs/CAPACITY.md from bench/results and docs/capacity-text.md: `npm run capacity`. */
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Figures } from './capacity/Figures.js'
import type { Figure, Judged } from './capacity/Figures.js'
import { readResults } from './capacity/ResultReader.js'
import type { Results } from './capacity/ResultReader.js'

const TEXT = join('docs', 'capacity-text.md')
const PAGE = join('docs', 'CAPACITY.md')

function tableOf (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')
}

function figureTable (figures: readonly Figure[]): string {
  return tableOf(['what', 'at the design size', 'from'], figures.map(({ what, value, from }) => [what, value, from]))
}

function limitTable (judged: readonly Judged[]): string {
  const rows = judged.map(({ what, value, limit, met, from }) => [what, value, limit, met ? 'met' : '**missed**', from])
  return tableOf(['what', 'computed', 'limit', 'verdict', 'from'], rows)
}

function sourceTable (results: Results): string {
  const rows = Object.entries(results).map(([name, { command, commit, changed, cores, date, loadAverage }]) => {
    const state = changed ? `${commit} with changes` : commit
    return [`${name}.json`, `\`${command}\``, state, String(cores), String(loadAverage ?? 'not noted'), date.slice(0, 10)]
  })
  return tableOf(['result', 'command', 'commit', 'cores', 'load average', 'date'], rows)
}

const results = readResults(join('bench', 'results'))
const figures = new Figures(results)
const tables: Readonly<Record<string, string>> = {
  limits: limitTable(figures.limits()),
  dataPath: figureTable(figures.dataPath()),
  replica: figureTable([figures.rest(), ...figures.replica()]),
  records: figureTable(figures.records()),
  recovery: figureTable(figures.recovery()),
  sources: sourceTable(results)
}
const page = readFileSync(TEXT, 'utf8').replace(/^\{\{(\w+)\}\}$/gm, (mark, name: string) => tables[name] ?? mark)
writeFileSync(PAGE, page)
console.log(`${PAGE} written; limits: ${figures.limits().map(({ what, met }) => `${what}: ${met ? 'met' : 'missed'}`).join('; ')}`)
