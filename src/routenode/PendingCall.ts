import type { BodyLease } from '../parts/transfer/BodyMemory.js'
import type { RoutedCall, RoutedCallHandle, RoutedCallListener } from './Types.js'

/** A call that waits in the queue of the gate, or for its body while it has a slot, or runs. */
export interface PendingCall {
  /** Without `bodyBytes` once its body has arrived. */
  call: RoutedCall
  readonly listener: RoutedCallListener
  readonly deadlineAtMs: number
  startedAtMs: number
  handle: RoutedCallHandle | undefined
  /** Memory of its body; undefined until the body is requested, and for a call that came with its body. */
  lease: BodyLease | undefined
}
