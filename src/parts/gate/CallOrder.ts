import { SHARE_STEPS, USUAL_SHARE } from './Constants.js'
import type { GateCall } from './Types.js'

/**
 * Compares the places of two calls in the order in which a gate starts them; negative when the first one goes first,
 * 0 when only their age decides.
 *
 * Nested calls go first, since about half of the work of their request is done already. Among them, the rank of the
 * request decides, which is the same at all gates: a request that makes several nested calls needs all of them, and
 * when there are too few slots, some requests should get every call rather than all requests a part of theirs. Next
 * come calls that can still meet their objective, then calls past it; both by the priority of their workspace, that of
 * their route, and, while calls compete for the instance, the share that their workspace has used.
 * @param meetsObjective Whether the first call can still meet its objective.
 * @param otherMeetsObjective The same for the second one.
 * @param byShare Whether calls compete for the instance.
 */
export function compareCalls (
  call: GateCall, meetsObjective: boolean, other: GateCall, otherMeetsObjective: boolean, byShare: boolean
): number {
  if (call.nested !== other.nested) return call.nested ? -1 : 1
  if (call.nested) return call.requestRank - other.requestRank
  if (meetsObjective !== otherMeetsObjective) return meetsObjective ? -1 : 1
  const urgency = (call.workspacePriority ?? 0) - (other.workspacePriority ?? 0)
  if (urgency !== 0) return urgency
  if (call.priority !== other.priority) return call.priority - other.priority
  return byShare ? shareSteps(call) - shareSteps(other) : 0
}

/** Returns whether the node of the caller has told of the workspace of a call. */
export function hasWorkspace (call: GateCall): boolean {
  return call.workspacePriority !== undefined || call.shareUsed !== undefined
}

/** Small differences between shares must not outweigh age, or a busy workspace would wait behind all others. */
function shareSteps ({ shareUsed = USUAL_SHARE }: GateCall): number {
  return Math.round(SHARE_STEPS * shareUsed)
}
