/** What measuring work is for. */
export type MeasuringKind = 'probe' | 'poll' | 'heartbeat' | 'report' | 'membership'

/** Events of the measuring budget, one ledger for each VM. */
export type BudgetEvent =
  /** `messages` counts answers too and is 1 when left out; a probe and its answer are 2. */
  | {
    readonly type: 'request',
    readonly id: number,
    readonly kind: MeasuringKind,
    readonly bytes: number,
    readonly messages?: number
  }
  /** A call was served; the message allowance is a share of these. */
  | { readonly type: 'served', readonly calls: number }
  | { readonly type: 'configure', readonly bytesPerSecond: number, readonly messagesPerCall: number }

/** Actions of the measuring budget. */
export type BudgetAction =
  | { readonly type: 'granted', readonly id: number }
  | { readonly type: 'denied', readonly id: number, readonly retryAtMs: number }
