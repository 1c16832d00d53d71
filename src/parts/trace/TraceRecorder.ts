import type { Part } from '../Types.js'
import type { TraceLine } from './Types.js'

/**
 * Records the events of parts and the resulting actions as lines of JSON for TraceReplay. It buffers nothing: each line
 * is passed to the sink at once.
 */
export class TraceRecorder {
  private readonly _sink: (line: string) => void

  /** @param sink Receives each line, without the line break. */
  public constructor (sink: (line: string) => void) {
    this._sink = sink
  }

  /**
   * Wraps a part so that its events and actions are recorded.
   * @param part Name of the part in the replay's factories.
   * @param seed Seed of the part's random numbers.
   * @param options Options that the part was created with.
   * @param inner The part to record.
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
