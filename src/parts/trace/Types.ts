/** First line of a trace for each part in it: how the part was made. */
export interface PartLine {
  readonly part: string
  /** Seed of the part's random numbers. */
  readonly seed: number
  readonly options: object
}

/** One event of a part. */
export interface EventLine {
  readonly part: string
  readonly atMs: number
  readonly event: object
}

/**
 * Stated outcome of the event before it: the actions in order, each with at least the fields that are stated.
 * With `others` true, further actions may stand between them.
 */
export interface ExpectLine {
  readonly expect: readonly object[]
  readonly others?: boolean
}

/** Stated outcome of all events so far: no action with these fields was taken. */
export interface NeverLine {
  readonly never: object
}

/** A remark for readers. */
export interface NoteLine {
  readonly note: string
}

/** One line of a trace file, as JSON. */
export type TraceLine = PartLine | EventLine | ExpectLine | NeverLine | NoteLine

/** A part whose events came from a file. */
export interface ReplayedPart {
  step (event: never, nowMs: number): object[]
}

/** Makes a part as its line in the trace states. */
export type PartFactory = (line: PartLine) => ReplayedPart

/** Factories by the name of the part. */
export interface PartFactories {
  readonly [part: string]: PartFactory
}
