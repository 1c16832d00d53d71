import { computeRequestRank } from '../parts/gate/RequestRank.js'
import type { GateCall } from '../parts/gate/Types.js'
import { computeTransferMs } from '../parts/transfer/TransferTime.js'
import type { CallId } from '../parts/Types.js'
import type { RoutedCall } from './Types.js'

/**
 * Returns a call as the gate of the instance sees it.
 * @param id Id of the call at this node.
 * @param nowMs Monotonic time in milliseconds.
 * @param linkMbps Rate of this VM's link in Mbit/s; undefined when it is not known.
 */
export function buildGateCall (id: CallId, call: RoutedCall, nowMs: number, linkMbps: number | undefined): GateCall {
  const { workspacePriority, shareUsed, bodyBytes } = call
  return {
    id,
    work: call.work,
    nested: call.nested,
    requestRank: computeRequestRank(call.requestId),
    priority: call.priority,
    ...(workspacePriority === undefined ? {} : { workspacePriority }),
    ...(shareUsed === undefined ? {} : { shareUsed }),
    objectiveAtMs: nowMs + call.objectiveLeftMs,
    deadlineAtMs: nowMs + call.leftMs,
    moveMs: call.moveMs,
    isHedge: call.attempt === 'hedge',
    ...(bodyBytes === undefined ? {} : { transferMs: computeTransferMs(bodyBytes, linkMbps) })
  }
}
