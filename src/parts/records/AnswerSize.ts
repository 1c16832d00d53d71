import type { StoredAnswer } from './Types.js'

/** Counted for each header in addition to its name and value, in bytes. */
const HEADER_OVERHEAD_BYTES = 4

/**
 * Returns the size of an answer's headers and body in bytes, as it counts towards the limits of the ledger.
 * @param answer Answer to measure.
 */
export function countAnswerBytes (answer: StoredAnswer): number {
  return answer.headers.reduce((sum, [name, value]) => {
    return sum + name.length + value.length + HEADER_OVERHEAD_BYTES
  }, answer.body.length)
}

/**
 * Returns the answer in the form to store: without headers and body when it is larger than allowed. The body is copied,
 * because a decoded body is a view that would keep its whole frame or snapshot in memory.
 * @param answer Answer of the upstream.
 * @param maxBytes Size up to which headers and body are stored, in bytes.
 */
export function limitAnswerSize (answer: StoredAnswer, maxBytes: number): StoredAnswer {
  if (answer.truncated || countAnswerBytes(answer) > maxBytes) {
    return { status: answer.status, headers: [], body: new Uint8Array(0), truncated: true }
  }
  return { ...answer, body: new Uint8Array(answer.body) }
}
