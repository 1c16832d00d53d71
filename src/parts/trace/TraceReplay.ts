import type { Finding } from '../configuration/Types.js'
import type {
  EventLine, ExpectLine, ForbiddenActionLine, NoteLine, PartFactories, PartLine, ReplayedPart, TraceLine
} from './Types.js'

type LineKind = 'part' | 'event' | 'expect' | 'never' | 'note'

type LineByKind = { part: PartLine, event: EventLine, expect: ExpectLine, never: ForbiddenActionLine, note: NoteLine }

type Handlers = { readonly [K in LineKind]: (line: LineByKind[K], place: string) => void }

/** Fields that identify the kind of a line; the first one that a line has decides. */
const KIND_BY_FIELD: ReadonlyArray<readonly [field: string, kind: LineKind]> = [
  ['event', 'event'], ['expect', 'expect'], ['never', 'never'], ['note', 'note'], ['part', 'part']
]

/**
 * Replays a trace against new parts and reports every expectation that is not met, with its line.
 *
 * Memory: all actions of the trace.
 */
export class TraceReplay {
  private readonly _factories: PartFactories
  private readonly _parts = new Map<string, ReplayedPart>()
  private readonly _actions: object[] = []
  private readonly _findings: Finding[] = []
  private _lastActions: object[] = []

  private readonly _handlers: Handlers = {
    part: (line, place) => this._onPart(line, place),
    event: (line, place) => this._onEvent(line, place),
    expect: (line, place) => this._onExpect(line, place),
    never: (line, place) => this._onNever(line, place),
    note: () => {}
  }

  private constructor (factories: PartFactories) {
    this._factories = factories
  }

  /**
   * Replays a trace.
   * @param text Lines of JSON; empty lines are skipped.
   * @param factories Creates the parts that the trace names.
   * @returns Expectations that are not met and lines that are invalid.
   */
  public static run (text: string, factories: PartFactories): Finding[] {
    const replay = new TraceReplay(factories)
    text.split('\n').forEach((line, index) => replay._onLine(line, `line ${index + 1}`))
    return replay._findings
  }

  private _onLine (text: string, place: string): void {
    if (text.trim() === '') {
      return
    }
    const line = parse(text)
    const kind = KIND_BY_FIELD.find(([field]) => line !== undefined && field in line)?.[1]
    if (line === undefined || kind === undefined) {
      this._addFinding(place, text, 'a JSON object with part, event, expect, never or note')
      return
    }
    const handle = this._handlers[kind] as (line: TraceLine, place: string) => void
    handle(line, place)
  }

  private _onPart (line: PartLine, place: string): void {
    const factory = this._factories[line.part]
    if (factory === undefined) {
      this._addFinding(place, `unknown part ${line.part}`, Object.keys(this._factories).join(', '))
      return
    }
    this._parts.set(line.part, factory(line))
  }

  private _onEvent (line: EventLine, place: string): void {
    const part = this._parts.get(line.part)
    if (part === undefined) {
      this._addFinding(
        place,
        `event of ${line.part} before the line that creates this part`,
        'a line with part, seed and options first'
      )
      return
    }
    this._lastActions = part.step(line.event as never, line.atMs)
    this._actions.push(...this._lastActions)
  }

  private _onExpect (line: ExpectLine, place: string): void {
    let next = 0
    for (const action of this._lastActions) {
      const expected = line.expect[next]
      if (expected !== undefined && matches(action, expected)) {
        next++
      } else if (line.others !== true) {
        break
      }
    }
    const surplus = line.others !== true && this._lastActions.length !== line.expect.length
    if (next < line.expect.length || surplus) {
      this._addFinding(place, JSON.stringify(this._lastActions), JSON.stringify(line.expect))
    }
  }

  private _onNever (line: ForbiddenActionLine, place: string): void {
    const action = this._actions.find(action => matches(action, line.never))
    if (action !== undefined) {
      this._addFinding(place, JSON.stringify(action), `never ${JSON.stringify(line.never)}`)
    }
  }

  private _addFinding (place: string, problem: string, expected: string): void {
    this._findings.push({ place, problem, expected })
  }
}

function parse (text: string): TraceLine | undefined {
  try {
    const line: unknown = JSON.parse(text)
    return typeof line === 'object' && line !== null ? line as TraceLine : undefined
  } catch {
    return undefined
  }
}

/** Returns whether a value has at least the expected fields; scalars and lengths of arrays must be equal. */
function matches (value: unknown, expected: unknown): boolean {
  if (typeof expected !== 'object' || expected === null || typeof value !== 'object' || value === null) {
    return Object.is(value, expected)
  }
  if (Array.isArray(expected) && (!Array.isArray(value) || value.length !== expected.length)) {
    return false
  }
  return Object.entries(expected).every(([field, part]) => matches((value as Record<string, unknown>)[field], part))
}
