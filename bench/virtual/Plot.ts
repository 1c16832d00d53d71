import type { Result } from './Runner.js'
import type { StrategyName } from './Strategies.js'

const COLOURS: { readonly [N in StrategyName]: string } = {
  random: '#b0b0b0',
  roundRobin: '#8c8c8c',
  leastInFlight: '#7aa6c2',
  twoOwn: '#4f81bd',
  twoReport: '#c0a060',
  oracle: '#60a060',
  sassafraslead: '#c0392b'
}

/** Layout in pixels. */
const ROW_HEIGHT = 26
const PLOT_LEFT = 150
const WIDTH = 900
const TOP = 50

/**
 * Renders an SVG plot of the p99 latency of each strategy, with one row per scenario and size on a logarithmic axis.
 * @param results Results of all scenarios, sizes and strategies.
 */
export function renderPlot (results: readonly Result[]): string {
  const rows = [...new Set(results.map(result => `${result.scenario} ${result.size}`))]
  const height = TOP + rows.length * ROW_HEIGHT + 30
  const lines = rows.flatMap((row, index) => renderRow(row, TOP + index * ROW_HEIGHT + 10, results))
  const ticks = [5, 10, 20, 50, 100, 200, 500, 1000].flatMap(ms => [
    `<line x1="${xCoordinate(ms)}" x2="${xCoordinate(ms)}" y1="${TOP - 8}" y2="${height - 30}" stroke="#e4e4e4"/>`,
    `<text x="${xCoordinate(ms)}" y="${height - 14}" text-anchor="middle">${ms} ms</text>`
  ])
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH + 40}" height="${height}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    '<text x="10" y="16" font-size="13">p99 of calls by way of choosing (mean and standard deviation over seeds)</text>',
    ...renderLegend(),
    ...ticks,
    ...lines,
    '</svg>',
    ''
  ].join('\n')
}

function renderLegend (): string[] {
  return (Object.keys(COLOURS) as StrategyName[]).flatMap((name, index) => [
    `<circle cx="${20 + index * 120}" cy="32" r="5" fill="${COLOURS[name]}"/>`,
    `<text x="${30 + index * 120}" y="36">${name}</text>`
  ])
}

function renderRow (row: string, y: number, results: readonly Result[]): string[] {
  const own = results.filter(result => `${result.scenario} ${result.size}` === row)
  const marks = own.flatMap(result => {
    const { mean, deviation } = result.figures.p99
    const colour = COLOURS[result.strategy]
    return [
      `<line x1="${xCoordinate(mean - deviation)}" x2="${xCoordinate(mean + deviation)}" y1="${y}" y2="${y}" stroke="${colour}"/>`,
      `<circle cx="${xCoordinate(mean)}" cy="${y}" r="${result.strategy === 'sassafraslead' ? 5 : 4}" fill="${colour}"/>`
    ]
  })
  return [`<text x="10" y="${y + 4}">${row}</text>`, ...marks]
}

function xCoordinate (ms: number): string {
  const share = (Math.log(Math.max(5, ms)) - Math.log(5)) / (Math.log(1000) - Math.log(5))
  return (PLOT_LEFT + share * (WIDTH - PLOT_LEFT)).toFixed(1)
}
