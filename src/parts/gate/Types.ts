import type { CallId } from '../Types.js'

/** A call that asks for a slot of the upstream. */
export interface GateCall {
  readonly id: CallId
  /** Calls of one kind take alike long; names the estimate that is used. */
  readonly work: string
  /** The call was made by an instance in the middle of a run, which waits for it. */
  readonly nested: boolean
  /** Number from 0 to 1 drawn from the caller's request; the same for all calls that its runs make, at any gate. */
  readonly requestRank: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Until then the answer is worth its full value, in monotonic milliseconds. */
  readonly objectiveAtMs: number
  /** After that nobody waits for the answer, in monotonic milliseconds. */
  readonly deadlineAtMs: number
  /**
   * What asking another instance costs the sender, as a delay in milliseconds: while waiting here takes less, the call
   * stays. Undefined when its sender asks no other.
   */
  readonly moveMs: number | undefined
  /** A duplicate beside a slow first attempt: it takes only room that would stay free. */
  readonly isHedge: boolean
}

/** What the node reports of its upstream's load, on each answer. */
export interface GateLoad {
  readonly running: number
  readonly queued: number
  /** Calls that may run at once; 0 while none is taken. */
  readonly limit: number
  /** Time that work takes on this machine now, relative to usual; 1 is usual. */
  readonly slowness: number
  /** Smoothed time of a run in milliseconds, at the usual pace of the VM. */
  readonly workMs: number
}

/** Events of the gate. */
export type GateEvent =
  | { readonly type: 'offer', readonly call: GateCall }
  /** The upstream is done with a call; `workMs` is undefined when it did not run to its end. */
  | { readonly type: 'finished', readonly id: CallId, readonly workMs: number | undefined }
  | { readonly type: 'cancelled', readonly id: CallId }
  | { readonly type: 'slots', readonly slots: number }
  | { readonly type: 'slowness', readonly slowness: number }
  /** Ends a `measure`; undefined when no figure came. */
  | { readonly type: 'measured', readonly slowness: number | undefined }
  | { readonly type: 'tick' }

/** Why a call was turned away. */
export type DeclineReason = 'busy' | 'slow' | 'no-slots' | 'too-late'

/** Actions of the gate. Every call ends by `turnAway`, or by `start` and the host's `finished`. */
export type GateAction =
  | { readonly type: 'start', readonly call: GateCall }
  /** The call has not run. `retryAfterMs` tells when room is expected. */
  | { readonly type: 'decline', readonly call: GateCall, readonly reason: DeclineReason, readonly retryAfterMs: number }
  /** Asks for the present slowness of the VM; to be ended by `measured`. */
  | { readonly type: 'measure' }
  | { readonly type: 'wake', readonly atMs: number }
