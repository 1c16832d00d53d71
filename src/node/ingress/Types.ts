import type { ServiceRule } from '../../parts/configuration/Types.js'
import type { CallId, CallKind, Incarnation, InstanceId, ServiceName } from '../../parts/Types.js'
import type { Clock, Log } from '../../runtime/Types.js'
import type { CallTarget, RawHeaders } from '../Types.js'

/** A caller's request once it has been read and classified. */
export interface IngressRequest {
  readonly service: ServiceName
  readonly rule: ServiceRule
  readonly method: string
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  readonly kind: CallKind
  readonly key?: string
  readonly fingerprint: string
  readonly deadlineAtMs: number
  /** Number of calls in the chain that led to this nested call; 0 for a call from outside. */
  readonly depth: number
  readonly version: number
}

/** Finds the destination of calls to an instance. */
export interface TargetSource {
  /** Returns undefined when the instance has left. */
  findTarget (instance: InstanceId): CallTarget | undefined
  /** Requests the load evidence of an instance, within the measuring budget. */
  probe (instance: InstanceId): void
}

/** Context that all calls of the ingress side share. */
export interface IngressContext {
  readonly clock: Clock
  readonly log: Log
  readonly incarnation: Incarnation
  /** Returns a number that was not used before in this run of the process. */
  nextCallId (): CallId
}
