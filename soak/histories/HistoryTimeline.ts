import { CONFIG_DEADLINE_MS, MAX_SKEW_MS, STABLE_WINDOW_MS } from './Constants.js'
import type { History, Span } from './Types.js'

/** Answers when processes ran undisturbed in a history. */
export class HistoryTimeline {
  private readonly _nodes: readonly string[]
  private readonly _spans: ReadonlyMap<string, readonly Span[]>
  private readonly _controls: ReadonlyArray<{ readonly name: string, readonly life: Span }>
  /** When replicas were taken away and came back. */
  private readonly _groupEvents: readonly number[]
  /** Times at which more than half of the control group did not run. */
  private readonly _majorityLosses: readonly Span[]

  /**
   * @param _history The history.
   */
  public constructor (private readonly _history: History) {
    this._nodes = _history.processes.filter(({ role }) => role === 'node').map(({ name }) => name)
    // The first start of a process is a disturbance as well.
    const spans = new Map(_history.processes.map(({ name, fromMs }) => [name, [{ fromMs, toMs: fromMs }]]))
    for (const { process, fromMs, toMs } of _history.disturbances) {
      spans.get(process)?.push({ fromMs, toMs: toMs ?? Infinity })
    }
    this._spans = spans
    this._controls = _history.processes.filter(({ role }) => role === 'control')
      .map(({ name, fromMs, goneAtMs }) => ({ name, life: { fromMs, toMs: goneAtMs ?? Infinity } }))
    const lives = this._controls.flatMap(({ name, life }) => [life, ...spans.get(name) ?? []])
    this._groupEvents = lives.flatMap(span => [span.fromMs, span.toMs])
    this._majorityLosses = this._findMajorityLosses()
  }

  /**
   * Returns how long after an acknowledgement a node may handle requests by an older version, in milliseconds;
   * undefined when the node is not in touch.
   * @param sentAtMs When the request was sent.
   * @param endedAtMs When its outcome was seen.
   */
  public nodeDeadlineMs (node: string, sentAtMs: number, endedAtMs: number): number | undefined {
    const isCalm = this._isCalm([node], sentAtMs - STABLE_WINDOW_MS, endedAtMs)
    if (!isCalm || this._isBusy(sentAtMs, endedAtMs)) return undefined
    if (this.isGroupStable(sentAtMs, endedAtMs)) return CONFIG_DEADLINE_MS
    // The stretched bound reaches back to the acknowledgement, so the majority must have run since then.
    const fromMs = sentAtMs - CONFIG_DEADLINE_MS - MAX_SKEW_MS - STABLE_WINDOW_MS
    return overlaps(this._majorityLosses, fromMs, endedAtMs) ? undefined : CONFIG_DEADLINE_MS + MAX_SKEW_MS
  }

  /**
   * Returns whether most of the control group ran in a span and the stable window before it, and no replica was taken
   * away or came back then. One that stays away disturbs the group no longer.
   */
  public isGroupStable (fromMs: number, toMs: number): boolean {
    // A loss of most of the group takes twice the window.
    if (overlaps(this._majorityLosses, fromMs - 2 * STABLE_WINDOW_MS, toMs)) return false
    return !this._groupEvents.some(atMs => atMs >= fromMs - STABLE_WINDOW_MS && atMs <= toMs)
  }

  /** Returns whether the group was stable, the machine had time, and no node was disturbed in a span. */
  public isUndisturbed (fromMs: number, toMs: number): boolean {
    return !this._isBusy(fromMs, toMs) && this.isGroupStable(fromMs, toMs) &&
      this._isCalm(this._nodes, fromMs - STABLE_WINDOW_MS, toMs)
  }

  /** Returns whether a process ran undisturbed while it was called. */
  public isRunning (process: string, fromMs: number, toMs: number): boolean {
    return this._isCalm([process], fromMs, toMs)
  }

  private _isBusy (fromMs: number, toMs: number): boolean {
    return overlaps(this._history.delays, fromMs - STABLE_WINDOW_MS, toMs)
  }

  private _isCalm (processes: readonly string[], fromMs: number, toMs: number): boolean {
    return processes.every(process => !overlaps(this._spans.get(process) ?? [], fromMs, toMs))
  }

  private _findMajorityLosses (): Span[] {
    const isIn = ({ fromMs, toMs }: Span, atMs: number): boolean => fromMs <= atMs && atMs < toMs
    const times = [...new Set(this._groupEvents)].filter(Number.isFinite).sort((a, b) => a - b)
    return times.flatMap((fromMs, index) => {
      const group = this._controls.filter(({ life }) => isIn(life, fromMs))
      const down = group.filter(({ name }) => this._spans.get(name)?.some(span => isIn(span, fromMs)))
      return 2 * (group.length - down.length) > group.length ? [] : [{ fromMs, toMs: times[index + 1] ?? Infinity }]
    })
  }
}

function overlaps (spans: readonly Span[], fromMs: number, toMs: number): boolean {
  return spans.some(span => span.fromMs <= toMs && span.toMs >= fromMs)
}
