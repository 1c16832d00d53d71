import type { StoredAnswer } from './Types.js'

const HEADER_OVERHEAD_BYTES = 4

/**
 * Returns the bytes that a kept answer counts for.
 * @param answer Answer with its headers and body.
 */
export function countAnswerBytes (answer: StoredAnswer): number {
  return answer.headers.reduce((sum, [name, value]) => {
    return sum + name.length + value.length + HEADER_OVERHEAD_BYTES
  }, answer.body.length)
}

/**
 * Returns the answer as it may be kept: without headers and body when it is larger than allowed. The body is copied,
 * since a decoded one is a view that would keep its whole frame or snapshot in memory.
 * @param answer The upstream's answer.
 * @param maxBytes Largest answer that is kept whole, in bytes.
 */
export function limitAnswerSize (answer: StoredAnswer, maxBytes: number): StoredAnswer {
  if (answer.truncated || countAnswerBytes(answer) > maxBytes) {
    return { status: answer.status, headers: [], body: new Uint8Array(0), truncated: true }
  }
  return { ...answer, body: new Uint8Array(answer.body) }
}
