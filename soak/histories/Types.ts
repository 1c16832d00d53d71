/** What a process does: `control` replicas decide changes, `node`s handle requests. */
export type ProcessRole = 'control' | 'node'

/** A process with its lifetime as part of the deployment, in milliseconds since the start of the history. */
export interface ProcessRecord {
  readonly name: string
  readonly role: ProcessRole
  readonly fromMs: number
  /** When the machine was taken away for good; missing for a machine that stays. */
  goneAtMs?: number
}

/** A time in which a process was killed, stopped, paused or started; ends when it runs again. */
export interface Disturbance {
  readonly process: string
  readonly kind: string
  readonly fromMs: number
  /** Infinity, stored as null, when it never ran again. */
  toMs: number | null
}

/** A span of time in milliseconds. */
export interface Span {
  readonly fromMs: number
  readonly toMs: number
}

/** Fields of a route that the judge reads, under the platform's names. */
export interface RouteDocument {
  readonly Name: string
  readonly Host: string
  readonly PathPrefix: string
  readonly Timeout: string
  readonly TargetLatency: string
  readonly Service?: string
  readonly TrafficSplit?: ReadonlyArray<{ readonly Service: string, readonly Weight: number }>
}

/** A service of a configuration. */
export interface ServiceDocument {
  readonly Name: string
}

/** A complete configuration under the platform's names. */
export interface ConfigurationDocument {
  readonly Routes: readonly RouteDocument[]
  readonly Services: readonly ServiceDocument[]
  readonly Limits: Readonly<Record<string, string | number>>
}

/** A change of named items. */
export interface PatchDocument {
  readonly Upsert?: { readonly Routes?: readonly RouteDocument[], readonly Services?: readonly ServiceDocument[] }
  readonly Remove?: { readonly Routes?: readonly string[], readonly Services?: readonly string[] }
}

/** What an order asks for, as the operator meant it. */
export type OrderContent =
  | { readonly type: 'put', readonly document: ConfigurationDocument }
  | { readonly type: 'patch', readonly patch: PatchDocument }

/** An order of an operator. Versions are decimal numbers as text, since they may exceed 2^53. */
export interface OrderRecord {
  readonly id: number
  readonly version: string
  readonly base: string
  readonly content: OrderContent
  /** Why the order can't be read in full; missing for one that can. */
  readonly unreadable?: string
  /** Name of a kind of order, for reports. */
  readonly kind: string
}

/** One sending of an order to a process. */
export interface AttemptRecord {
  readonly order: number
  readonly process: string
  readonly sentAtMs: number
  /** Missing, as the status is, without an answer. */
  readonly answeredAtMs?: number
  readonly status?: number
}

/** A read of the configuration at a process. */
export interface ReadRecord {
  readonly process: string
  readonly incarnation: number
  readonly sentAtMs: number
  readonly answeredAtMs?: number
  readonly status?: number
  /** Version and configuration of an answer with status 200. */
  readonly version?: string
  readonly document?: ConfigurationDocument
}

/** A request to a node, with the services whose instances ran it. */
export interface ProbeRecord {
  readonly process: string
  readonly incarnation: number
  readonly isKept: boolean
  readonly host: string
  readonly path: string
  readonly sentAtMs: number
  answeredAtMs?: number
  status?: number
  readonly runs: Array<{ readonly service: string, readonly atMs: number }>
}

/** Everything that was sent to the processes and seen of them in one run; times in milliseconds since its start. */
export interface History {
  readonly seed: number
  readonly processes: ProcessRecord[]
  readonly disturbances: Disturbance[]
  /** Spans in which the recorder itself was held up, so that the machine was too busy for bounds of time. */
  readonly delays: Span[]
  /** Processes that ended by themselves. */
  readonly ends: Array<{ readonly process: string, readonly atMs: number }>
  readonly orders: OrderRecord[]
  readonly attempts: AttemptRecord[]
  readonly reads: ReadRecord[]
  readonly probes: ProbeRecord[]
  /** When the last fault was over and the final reads began; missing when the run broke off before. */
  finalFromMs?: number
}

/** Promises on configurations; a finding names the one that was broken. */
export type HistoryRule =
  | 'one-change-per-base' | 'base-in-force' | 'no-invalid-accepted' | 'only-accepted-in-force' | 'resend-accepted'
  | 'no-stale-read' | 'read-as-sent' | 'no-read-back' | 'no-node-back' | 'change-in-force-in-time' | 'added-route-served'
  | 'accepted-kept' | 'read-at-the-end' | 'order-acknowledged' | 'valid-not-refused'
  | 'no-own-end'

/** A broken promise. */
export interface HistoryFinding {
  readonly rule: HistoryRule
  readonly atMs: number
  readonly detail: string
}
