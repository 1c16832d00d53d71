import { hashText } from '../TextHash.js'

const RANGE = 2 ** 32

/**
 * Draws a number from 0 to 1 from the id of a request; the calls of its runs, whose ids add parts after a dot, get the
 * same one.
 * @param requestId Id of a caller's request, or of a call that a run of it makes.
 */
export function computeRequestRank (requestId: string): number {
  const dot = requestId.indexOf('.')
  return hashText(0, dot < 0 ? requestId : requestId.slice(0, dot)) / RANGE
}
