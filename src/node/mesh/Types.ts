import type { CrashReport } from '../../parts/quarantine/Types.js'
import type { VersionedConfiguration } from '../../parts/configuration/Types.js'
import type { Incarnation, LoadEvidence, NodeId, ServiceName } from '../../parts/Types.js'
import type { AnswerHead, CallRequest, Refusal } from '../Types.js'

/** First frame in each direction of a connection between two nodes. */
export interface PeerHello {
  readonly type: 'peerHello'
  readonly node: NodeId
  readonly incarnation: Incarnation
  /** Configuration version in force at the sender; 0 while there is none. */
  readonly version: number
}

/** Frames that both ends of a connection may send. */
export type SharedFrame =
  | PeerHello
  | { readonly type: 'ping', readonly sequence: number }
  | { readonly type: 'pong', readonly sequence: number }
  | { readonly type: 'peerVersion', readonly version: number }
  | { readonly type: 'askCopy' }
  | { readonly type: 'copy', readonly copy: VersionedConfiguration }
  | { readonly type: 'crashReport', readonly report: CrashReport }

/** Frames from the ingress side to an upstream's node. */
export type ToUpstreamSide =
  | SharedFrame
  /** `pieces` is the number of `callBody` frames that follow; 0 when the request contains its body. */
  | { readonly type: 'call', readonly request: CallRequest, readonly pieces: number }
  | { readonly type: 'callBody', readonly id: number, readonly bytes: Uint8Array }
  | { readonly type: 'cancel', readonly id: number }
  | { readonly type: 'credit', readonly id: number, readonly bytes: number }
  | { readonly type: 'probe', readonly service: ServiceName }

/** Frames from an upstream's node to the ingress side. `from` is the ingress node's incarnation, as in the call. */
export type ToIngressSide =
  | SharedFrame
  | {
    readonly type: 'answer',
    readonly id: number,
    readonly from: Incarnation,
    readonly head: AnswerHead,
    readonly body: Uint8Array,
    readonly evidence: LoadEvidence
  }
  | {
    readonly type: 'head',
    readonly id: number,
    readonly from: Incarnation,
    readonly head: AnswerHead,
    readonly evidence: LoadEvidence
  }
  | { readonly type: 'body', readonly id: number, readonly from: Incarnation, readonly bytes: Uint8Array }
  | { readonly type: 'end', readonly id: number, readonly from: Incarnation }
  | {
    readonly type: 'refused',
    readonly id: number,
    readonly from: Incarnation,
    readonly refusal: Refusal,
    readonly evidence?: LoadEvidence
  }
  | { readonly type: 'abort', readonly id: number, readonly from: Incarnation, readonly reason: string }
  | { readonly type: 'evidence', readonly service: ServiceName, readonly evidence: LoadEvidence }
