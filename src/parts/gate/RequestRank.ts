import { hashText } from '../TextHash.js'

const RANGE = 2 ** 32

/**
 * Returns the rank of a request, a number in [0, 1) derived from its id. Nested calls, whose ids append parts after a
 * dot, get the rank of the caller's request.
 * @param requestId Id of a caller's request, or of a nested call.
 */
export function computeRequestRank (requestId: string): number {
  const dot = requestId.indexOf('.')
  return hashText(0, dot < 0 ? requestId : requestId.slice(0, dot)) / RANGE
}
