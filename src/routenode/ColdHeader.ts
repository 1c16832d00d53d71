import { MAX_COLD_MS } from '../parts/instances/EntryChecks.js'

const DECIMAL_PATTERN = /^\d+(\.\d+)?$/

/** What the answer to a health check or a load query says of the cold state. */
export interface ColdNotice {
  /** Id of the instance that has answered; undefined when it did not say. */
  readonly instance: string | undefined
  /** Value of the header; see `HeaderNames.coldMs`. */
  readonly header: string | undefined
}

/**
 * Parses the header that tells how long an instance stays cold.
 * @param text Value of the header: a decimal number of milliseconds.
 * @returns Milliseconds; undefined when the value is malformed or above `MAX_COLD_MS`.
 */
export function parseColdMs (text: string): number | undefined {
  return DECIMAL_PATTERN.test(text) && Number(text) <= MAX_COLD_MS ? Number(text) : undefined
}
