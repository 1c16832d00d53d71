/** Limit on the requests of a workspace over all nodes together. */
export interface Quota {
  /** Requests a second; above 0. */
  readonly ratePerS: number
  /** Requests beyond the rate. */
  readonly burst: number
}

/** Requests of a workspace for which a node needs credits. */
export interface QuotaAsk {
  readonly workspace: string
  readonly count: number
}

/** Requests of a workspace that began at about the same time. */
export interface QuotaUse {
  readonly workspace: string
  readonly count: number
  /** Time since they began, in milliseconds. */
  readonly ageMs: number
}

/** What a leader can't know from its own grants. It is repeated until it is acknowledged. */
export interface QuotaReport {
  /** Increases with each report of an incarnation; a ledger takes each report once. */
  readonly id: number
  /** Requests that began without a credit; in a full report all that began within the window. */
  readonly uses: readonly QuotaUse[]
  /** Credits that were granted and not used. */
  readonly returns: readonly QuotaUse[]
  /** Requests that the node may admit in a window without a leader; present in a full report only. */
  readonly allowances?: readonly QuotaAsk[]
  /** Time since the node started, in milliseconds; present in a full report only. */
  readonly upMs?: number
}

/** Message from a node to the ledger. */
export interface QuotaMessage {
  /** Increases with each message of an incarnation; the answer repeats it. */
  readonly sequence: number
  /** Differs for each run of a node, and increases. */
  readonly incarnation: number
  /** Latest term that the node knows; 0 for none. */
  readonly term: number
  /** `atMs` of the last answer of that term; absent before the first. */
  readonly heardMs?: number
  readonly asks: readonly QuotaAsk[]
  readonly report?: QuotaReport
}

/** Decision on the requests of one workspace in a message. */
export interface QuotaGrant {
  readonly workspace: string
  /** Credits for the requests that were asked for. */
  readonly count: number
  /** Credits in advance; absent without any. */
  readonly advance?: number
  /** Time for which the node refuses further requests, in milliseconds; present when not all were granted. */
  readonly retryAfterMs?: number
  /** Used share of the quota, in eighths. */
  readonly eighths: number
}

/** Answer of the ledger to a message, or, without `sequence`, its call for reports. */
export interface QuotaAnswer {
  /** Term of the leader. Nodes ignore answers of earlier terms. */
  readonly term: number
  readonly sequence?: number
  /** Monotonic time of the leader, which the node returns in `heardMs`; absent while the leader grants nothing. */
  readonly atMs?: number
  /** Id of the last report that was taken. */
  readonly id?: number
  /** True when the ledger needs a full report of the node before it grants anything. */
  readonly needsReport?: boolean
  readonly grants: readonly QuotaGrant[]
}

/** Why a request gets no credit: the quota is used up, or no leader tells in time. */
export type QuotaRefusalReason = 'quota' | 'quota-unknown'

/** Events of a `QuotaClient`. */
export type QuotaClientEvent =
  /** A request needs a credit within `waitMs`. */
  | {
    readonly type: 'request',
    readonly id: number,
    readonly workspace: string,
    readonly quota: Quota,
    readonly waitMs: number
  }
  /** Nobody waits any more for the credit of a request. */
  | { readonly type: 'cancel', readonly id: number, readonly workspace: string }
  /** A request that was admitted at `atMs` is proved not to have run. */
  | { readonly type: 'giveBack', readonly workspace: string, readonly atMs: number }
  | { readonly type: 'answer', readonly answer: QuotaAnswer }
  /** A connection to a control replica has opened; what was sent before may be lost. */
  | { readonly type: 'opened' }
  /** The process may have been suspended: what it holds may be older than its clock says. */
  | { readonly type: 'suspended' }
  /** Sends what is due; requests that arrive together share a message when the host delays this event. */
  | { readonly type: 'flush' }
  | { readonly type: 'tick' }

/** Actions of a `QuotaClient`. */
export type QuotaClientAction =
  /** `isFallback` when the request is admitted without a credit. */
  | { readonly type: 'admit', readonly id: number, readonly isFallback: boolean }
  | {
    readonly type: 'refuse',
    readonly id: number,
    readonly reason: QuotaRefusalReason,
    readonly retryAfterMs: number
  }
  | { readonly type: 'send', readonly message: QuotaMessage }

/** Events of a `QuotaLedger`. */
export type QuotaLedgerEvent =
  | { readonly type: 'message', readonly node: string, readonly message: QuotaMessage }
  | { readonly type: 'tick' }

/** Actions of a `QuotaLedger`. */
export type QuotaLedgerAction =
  | { readonly type: 'answer', readonly node: string, readonly answer: QuotaAnswer }
  /** Sends a call for reports to all nodes. */
  | { readonly type: 'collect', readonly answer: QuotaAnswer }
