/** Monotonic and wall time, injected so that tests can hold it. */
export interface Clock {
  /** Monotonic milliseconds with fractions; never goes back. */
  nowMs (): number
  /** Milliseconds since 1970; may jump. For logs and incarnations only. */
  wallMs (): number
}

/** Ends what an object holds: sockets, timers, children. */
export interface Disposable {
  dispose (): void
}

/** JSON-line log; fields go beside the message. */
export interface Log {
  debug (fields: LogFields, message: string): void
  info (fields: LogFields, message: string): void
  warn (fields: LogFields, message: string): void
  error (fields: LogFields, message: string): void
}

/** Fields of a log line; no bodies and no secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined | readonly string[]>>
