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
  /** Calls above this one; the node that got it from outside counts 0. */
  readonly depth: number
  readonly version: number
}

/** Where the ingress side finds upstreams' nodes. */
export interface TargetSource {
  /** Undefined when the instance has left. */
  findTarget (instance: InstanceId): CallTarget | undefined
  probe (instance: InstanceId): void
}

/** What all calls of the ingress side share. */
export interface IngressContext {
  readonly clock: Clock
  readonly log: Log
  readonly incarnation: Incarnation
  /** A number not used before in this run of the process. */
  nextCallId (): CallId
}
