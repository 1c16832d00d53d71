/** Kind of a measuring message. */
export type MeasuringKind = 'probe' | 'poll' | 'heartbeat' | 'report' | 'membership'

/** Events of the measuring budget; there is one budget for each VM. */
export type BudgetEvent =
  /** Asks to send a message. `messages` includes answers and is 1 when left out; a probe and its answer are 2. */
  | {
    readonly type: 'request',
    readonly id: number,
    readonly kind: MeasuringKind,
    readonly bytes: number,
    readonly messages?: number
  }
  /** Calls were served; each adds `messagesPerCall` to the message credit. */
  | { readonly type: 'served', readonly calls: number }
  | { readonly type: 'configure', readonly bytesPerSecond: number, readonly messagesPerCall: number }

/** Actions of the measuring budget. */
export type BudgetAction =
  /** The message of the request with this id may be sent. */
  | { readonly type: 'granted', readonly id: number }
  /** The message must not be sent; a request may be granted from `retryAtMs` on. */
  | { readonly type: 'denied', readonly id: number, readonly retryAtMs: number }
