/** First line of a trace for each part: how the part is created. */
export interface PartLine {
  /** Name of the part in the factories. */
  readonly part: string
  /** Seed of the part's random numbers. */
  readonly seed: number
  readonly options: object
}

/** One event of a part, with its time in milliseconds. */
export interface EventLine {
  readonly part: string
  readonly atMs: number
  readonly event: object
}

/**
 * Expected actions of the event before this line: in order, each with at least the given fields. With `others` true,
 * further actions may come between them.
 */
export interface ExpectLine {
  readonly expect: readonly object[]
  readonly others?: boolean
}

/** Expectation for all events so far: none of them led to an action with these fields. */
export interface ForbiddenActionLine {
  readonly never: object
}

/** A comment for readers, which the replay skips. */
export interface NoteLine {
  readonly note: string
}

/** One line of a trace file, as JSON. */
export type TraceLine = PartLine | EventLine | ExpectLine | ForbiddenActionLine | NoteLine

/** A part that is driven by the events of a trace. */
export interface ReplayedPart {
  step (event: never, nowMs: number): object[]
}

/** Creates a part with the seed and options of its line in the trace. */
export type PartFactory = (line: PartLine) => ReplayedPart

/** Factories by the part's name in traces. */
export interface PartFactories {
  readonly [part: string]: PartFactory
}
