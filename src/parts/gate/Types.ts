import type { CallId } from '../Types.js'
import type { ColdTicket } from './ColdLimit.js'

/** A call that asks for a slot of the instance. */
export interface GateCall {
  readonly id: CallId
  /** Name of the route. Calls of one route take about as long, so they share one estimate of their work time. */
  readonly work: string
  /** True when an instance makes the call while it runs another request, which waits for this one. */
  readonly nested: boolean
  /**
   * Number in [0, 1) by which nested calls are ordered, lower first. It is derived from the caller's request, so all
   * nested calls of one request have the same rank at every gate.
   */
  readonly requestRank: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Priority of the caller's workspace, which goes before `priority`; 0 is the most urgent. Absent counts as 0. */
  readonly workspacePriority?: number
  /** Share of its quota or usual traffic that the workspace has used, 0 to 1. Absent counts as the usual share. */
  readonly shareUsed?: number
  /** Latency objective: until then the answer is worth its full value, in monotonic milliseconds. */
  readonly objectiveAtMs: number
  /** Deadline: after that nobody waits for the answer, in monotonic milliseconds. */
  readonly deadlineAtMs: number
  /**
   * Cost of sending the call to another instance instead, as a delay in milliseconds. A call that could wait here is
   * declined only when waiting costs more. Undefined when the sender has no other instance to try.
   */
  readonly moveMs: number | undefined
  /** Time to move the body to this VM once the call has a slot, in milliseconds; absent when the body came with it. */
  readonly transferMs?: number
  /** True for a hedged request, which only uses slots that would otherwise stay free. */
  readonly isHedge: boolean
}

/** Load of an instance as its node reports it with each answer. */
export interface GateLoad {
  readonly running: number
  readonly queued: number
  /** Concurrency limit; 0 while the instance takes no calls. */
  readonly limit: number
  /** Time that work takes on the VM now, relative to usual; 1 is usual. */
  readonly slowness: number
  /** Moving average of the run time in milliseconds, at a slowness of 1. */
  readonly workMs: number
  /** Share of the recent runs that brought no usable answer, 0 to 1. */
  readonly failing: number
  /**
   * Time until the request limit of the instance, or its limit while it is cold, allows another call, in milliseconds;
   * absent while they do.
   */
  readonly closedForMs?: number
}

/** Events of the gate. */
export type GateEvent =
  /** A call arrives. */
  | { readonly type: 'offer', readonly call: GateCall }
  /** The instance has finished a call; `workMs` is undefined when the call did not complete. */
  | { readonly type: 'finished', readonly id: CallId, readonly workMs: number | undefined }
  /** The sender no longer waits for the answer. */
  | { readonly type: 'cancelled', readonly id: CallId }
  /** The number of slots that the instance reports; 0 while it takes no calls. */
  | { readonly type: 'slots', readonly slots: number }
  /** The instance names a limit on requests a second from all nodes together, or none any more. */
  | { readonly type: 'requestLimit', readonly perS: number | undefined }
  /**
   * Limit on requests a second while the instance is cold, and until when it is taken as cold, in monotonic
   * milliseconds; undefined for a service without such a limit.
   */
  | { readonly type: 'coldLimit', readonly perS: number | undefined, readonly coldUntilMs: number }
  /** A probe (see `InstanceGate.takeProbe`) has ended; `isWarm` when it proves the instance warm after it was sent. */
  | { readonly type: 'probed', readonly ticket: ColdTicket, readonly isWarm: boolean }
  /** Another instance has rejected a running call by status 421; such requests don't count for the cold limit. */
  | { readonly type: 'misdirected', readonly id: CallId }
  /**
   * Another incarnation of the instance has started, of which the failures of the one before say nothing. It has an
   * effect only with a limit for cold instances: few calls to a cold instance would take long to show that it works.
   */
  | { readonly type: 'restarted' }
  /** A running call was sent to the instance once more. */
  | { readonly type: 'resent' }
  /** A sample of the VM's slowness that was not requested by `measure`. */
  | { readonly type: 'slowness', readonly slowness: number }
  /** Result of a `measure` action; undefined when the measurement failed. */
  | { readonly type: 'measured', readonly slowness: number | undefined }
  /** A requested wake-up is due. */
  | { readonly type: 'tick' }

/** Why a call was declined; `displaced` means that a call that goes before it took its place in the queue. */
export type DeclineReason = 'busy' | 'slow' | 'no-slots' | 'rate-limited' | 'too-late' | 'displaced'

/** Actions of the gate. Unless the host cancels it, each call is either declined, or started and then `finished`. */
export type GateAction =
  | { readonly type: 'start', readonly call: GateCall }
  /** The call has not run. `retryAfterMs` is the expected time until it would have started here. */
  | { readonly type: 'decline', readonly call: GateCall, readonly reason: DeclineReason, readonly retryAfterMs: number }
  /** Requests a measurement of the VM's slowness; the host answers with `measured`. */
  | { readonly type: 'measure' }
  /** Requests a health check that shows whether the instance is cold; the host answers with `probed`. */
  | { readonly type: 'checkCold', readonly ticket: ColdTicket }
  /** Requests a `tick` at this time. */
  | { readonly type: 'wake', readonly atMs: number }
