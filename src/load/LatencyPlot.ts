import type { LatencyRecorder, LatencySlice } from './LatencyRecorder.js'

const WIDTH = 960
const PANEL_HEIGHT = 300
const MARGIN = { left: 70, right: 20, top: 40, bottom: 45 } as const
const LINES = [
  { key: 'p50Ms', label: 'p50', colour: '#1b7837' },
  { key: 'p99Ms', label: 'p99', colour: '#c25a00' },
  { key: 'maxMs', label: 'max', colour: '#b2182b' }
] as const

/** Maps values to pixels of one panel; its vertical axis is logarithmic. */
interface Scale {
  readonly x: (value: number) => number
  readonly y: (ms: number) => number
  /** Powers of ten on the vertical axis, in milliseconds. */
  readonly decades: readonly number[]
  /** Upper edge of the panel in pixels. */
  readonly top: number
}

/** Draws latency over time and by percentile as an SVG document. */
export class LatencyPlot {
  private readonly _recorder: LatencyRecorder
  private readonly _durationMs: number
  private readonly _title: string

  /**
   * @param recorder Latencies of one run.
   * @param durationMs Duration of the run.
   * @param title Heading of the plot.
   */
  public constructor (recorder: LatencyRecorder, durationMs: number, title: string) {
    this._recorder = recorder
    this._durationMs = durationMs
    this._title = title
  }

  /** Returns the SVG document. */
  public render (): string {
    const height = 2 * PANEL_HEIGHT
    return [
      `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
      `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
      text(WIDTH / 2, 18, escapeXml(this._title), 'middle'),
      ...this._timePanel(),
      ...this._percentilePanel(),
      '</svg>',
      ''
    ].join('\n')
  }

  private _timePanel (): string[] {
    const slices = this._recorder.overTime()
    const scale = createScale(slices.flatMap(slice => [slice.p50Ms, slice.maxMs]), this._durationMs, 0)
    const seconds = [0, 0.25, 0.5, 0.75, 1].map(fraction => fraction * this._durationMs)
    return [
      ...grid(scale),
      ...seconds.map(ms => text(scale.x(ms), scale.top + PANEL_HEIGHT - 28, `${(ms / 1000).toFixed(1)} s`, 'middle')),
      ...LINES.map(line => polyline(slices.map(slice => formatPoint(slice, line.key, scale)), line.colour)),
      ...LINES.map((line, index) => text(WIDTH - 150 + index * 45, 34, line.label, 'start', line.colour))
    ]
  }

  private _percentilePanel (): string[] {
    const points = this._recorder.percentileCurve()
    const scale = createScale(points.map(point => point.ms), 4, PANEL_HEIGHT)
    const nines = [['0', 0], ['90', 1], ['99', 2], ['99.9', 3], ['99.99', 4]] as const
    const line = points.map((point, index) => `${scale.x(index * 0.1).toFixed(1)},${scale.y(point.ms).toFixed(1)}`)
    return [
      ...grid(scale),
      ...nines.map(([label, position]) => text(scale.x(position), scale.top + PANEL_HEIGHT - 28, `${label} %`, 'middle')),
      polyline(line, '#2166ac')
    ]
  }
}

function createScale (values: readonly number[], span: number, top: number): Scale {
  const positive = values.filter(value => value > 0)
  const low = Math.floor(Math.log10(Math.min(...positive, 1)))
  const high = Math.max(low + 1, Math.ceil(Math.log10(Math.max(...positive, 1))))
  const innerWidth = WIDTH - MARGIN.left - MARGIN.right
  const innerHeight = PANEL_HEIGHT - MARGIN.top - MARGIN.bottom
  const fraction = (ms: number): number => (Math.log10(Math.max(ms, 10 ** low)) - low) / (high - low)
  return {
    x: value => MARGIN.left + innerWidth * value / span,
    y: ms => top + MARGIN.top + innerHeight * (1 - fraction(ms)),
    decades: Array.from({ length: high - low + 1 }, (_, index) => 10 ** (low + index)),
    top
  }
}

function formatPoint (slice: LatencySlice, key: typeof LINES[number]['key'], scale: Scale): string {
  return `${scale.x(slice.fromMs).toFixed(1)},${scale.y(slice[key]).toFixed(1)}`
}

function grid (scale: Scale): string[] {
  return scale.decades.flatMap(ms => {
    const y = scale.y(ms).toFixed(1)
    return [
      `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" y2="${y}" stroke="#dddddd"/>`,
      text(MARGIN.left - 8, Number(y) + 4, `${ms} ms`, 'end')
    ]
  })
}

function polyline (points: readonly string[], colour: string): string {
  return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points.join(' ')}"/>`
}

function text (x: number, y: number, content: string, anchor: string, colour = 'black'): string {
  return `<text x="${x.toFixed(1)}" y="${y}" text-anchor="${anchor}" fill="${colour}">${content}</text>`
}

function escapeXml (content: string): string {
  return content.replaceAll('&', '&amp;').replaceAll('<', '&lt;')
}
