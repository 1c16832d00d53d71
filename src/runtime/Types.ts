/** Monotonic and wall-clock time, injected so that tests can control it. */
export interface Clock {
  /** Monotonic milliseconds with fractions; never decreases. */
  nowMs (): number
  /** Milliseconds since the Unix epoch; may jump. For logs and incarnations only. */
  wallMs (): number
}

/** An object that holds resources such as sockets, timers or children. */
export interface Disposable {
  /** Releases the resources. */
  dispose (): void
}

/** Structured log: each line has a message and fields. */
export interface Log {
  debug (fields: LogFields, message: string): void
  info (fields: LogFields, message: string): void
  warn (fields: LogFields, message: string): void
  error (fields: LogFields, message: string): void
}

/** Fields of a log line; must hold no bodies and no secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined | readonly string[]>>
