import type { IncomingMessage } from 'node:http'

/** Longest deadline that counts, and that of a request without one, in milliseconds; no route has a longer timeout. */
export const DEFAULT_DEADLINE_MS = 600_000

/**
 * Returns the deadline of a request in milliseconds, or undefined when it names none.
 * @param name Name of its header.
 */
export function readDeadlineMs (message: IncomingMessage, name: string): number | undefined {
  const deadlineMs = Number(message.headers[name])
  return Number.isFinite(deadlineMs) && deadlineMs > 0 ? Math.min(deadlineMs, DEFAULT_DEADLINE_MS) : undefined
}
