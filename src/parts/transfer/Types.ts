import type { CallId } from '../Types.js'

/** Events of the window. */
export type ChunkEvent =
  /** A body is to be sent. */
  | { readonly type: 'opened', readonly id: CallId, readonly bytes: number }
  /** The receiver has the oldest chunk that it had not acknowledged. */
  | { readonly type: 'acknowledged' }
  /** The rest of a body is not needed any more. */
  | { readonly type: 'closed', readonly id: CallId }

/** The bytes from `start` to before `end` of a body are to be sent. */
export interface ChunkAction {
  readonly type: 'send'
  readonly id: CallId
  readonly start: number
  readonly end: number
  /** True when this chunk completes the body. */
  readonly isLast: boolean
}
