import type { Part } from '../Types.js'
import type { TraceLine } from './Types.js'

/**
 * Records the events of parts and the actions they led to, as lines of JSON that TraceReplay takes. It keeps nothing:
 * each line goes to the sink at once.
 */
export class TraceRecorder {
  private readonly _sink: (line: string) => void

  /** @param sink Takes each line, without the line break. */
  public constructor (sink: (line: string) => void) {
    this._sink = sink
  }

  /**
   * Returns a part that does what the given one does and records it.
   * @param part Name of the part in the replay's factories.
   * @param seed Seed of the part's random numbers.
   * @param options Options that the part was made with.
   * @param inner The part itself.
   */
  public record<Event extends object, Action extends object> (
    part: string, seed: number, options: object, inner: Part<Event, Action>
  ): Part<Event, Action> {
    this._write({ part, seed, options })
    return {
      step: (event, nowMs) => {
        const actions = inner.step(event, nowMs)
        this._write({ part, atMs: nowMs, event })
        this._write({ expect: actions })
        return actions
      }
    }
  }

  private _write (line: TraceLine): void {
    this._sink(JSON.stringify(line))
  }
}
