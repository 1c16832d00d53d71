import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { TransferDirection, TransferMetrics } from './BodyTransfer.js'
import type { EvacuationState } from '../parts/evacuation/Types.js'
import type { ColdFigures } from './ColdMonitor.js'
import { REFUSAL_KINDS, type RefusalKind, WorkspaceCounts } from '../parts/workspaces/WorkspaceCounts.js'
import type { HedgeOutcome } from './GatewayCall.js'
import type { GatewayReason, InstanceStatus } from './Types.js'

/** The single outcome of a caller's request; `gone` means that the caller disconnected first. */
export type RequestOutcome = 'answered' | 'refused' | 'failed' | 'gone'

/**
 * What became of a request that needs a credit: `requested` counts all, `fallback` those that a node without contact
 * admitted, and `returned` those whose credit was given back.
 */
export type QuotaOutcome = 'requested' | 'granted' | 'refused' | 'fallback' | 'returned'

/** Values of the gauges, read when the metrics are fetched. */
export interface NodeGauges {
  readonly ready: boolean
  readonly version: number
  /** Time since the last frame of the control replica, in milliseconds; infinite without a connection to one. */
  readonly controlSilentMs: number
  readonly nodes: number
  readonly inFlight: number
  /** Requests that are suspected of crashes or quarantined. */
  readonly suspects: number
  /** Departures of instances on this VM that control has not stored yet. */
  readonly pendingDepartures: number
  /** Bytes of the bodies that are held. */
  readonly bodyBytes: number
  readonly load: InstanceStatus
  /** Evacuated zones that this node knows. */
  readonly evacuation: EvacuationState
  /** True while the gate admits nothing because the zone of this node is evacuated. */
  readonly isZoneClosed: boolean
  readonly cold: ColdFigures
}

/** Upper bounds of the latency buckets in seconds, around usual latency objectives of a tenth to a few seconds. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4]

/** Metrics of a node in the Prometheus text format. `docs/METRICS.md` lists them. */
export class RouteNodeMetrics implements TransferMetrics {
  private readonly _registry = new Registry()
  private readonly _received: Counter
  private readonly _ended: Counter<'outcome'>
  private readonly _latency: Histogram<'outcome'>
  private readonly _sends: Counter
  private readonly _declines: Counter
  private readonly _hedges: Counter<'outcome'>
  private readonly _quarantined: Counter
  private readonly _workspaceCounts = new WorkspaceCounts()
  private readonly _bodyBytes: Counter<'direction'>
  private readonly _bodiesRefused: Counter<'origin'>
  private readonly _connectionsGivenWay: Counter
  private _openTransfers = 0
  private readonly _quota: Counter<'outcome'>

  /**
   * @param readGauges Returns the current values of the gauges.
   */
  public constructor (readGauges: () => NodeGauges) {
    const registers = [this._registry]
    this._received = new Counter({ name: 'sassafras_requests_asked_total', help: 'Requests read', registers })
    this._ended = new Counter({
      name: 'sassafras_requests_ended_total', help: 'Requests by how they ended', labelNames: ['outcome'], registers
    })
    this._latency = new Histogram({
      name: 'sassafras_request_seconds',
      help: 'Time from the head of a request to its end',
      labelNames: ['outcome'],
      buckets: LATENCY_BUCKETS_S,
      registers
    })
    this._sends = new Counter({ name: 'sassafras_sends_total', help: 'Requests sent to instances', registers })
    this._declines = new Counter({ name: 'sassafras_declines_total', help: 'Calls handed back by gates', registers })
    this._hedges = new Counter({
      name: 'sassafras_hedges_total', help: 'Duplicates of slow requests by how they fared', labelNames: ['outcome'], registers
    })
    this._quarantined = new Counter({
      name: 'sassafras_requests_quarantined_total', help: 'Requests ended because they crash instances', registers
    })
    this._bodyBytes = new Counter({
      name: 'sassafras_body_bytes_moved_total', help: 'Bytes of bodies moved in chunks', labelNames: ['direction'], registers
    })
    this._bodiesRefused = new Counter({
      name: 'sassafras_bodies_refused_total', help: 'Bodies refused for memory', labelNames: ['origin'], registers
    })
    this._connectionsGivenWay = new Counter({
      name: 'sassafras_connections_given_way_total', help: 'Connections of callers closed for new ones', registers
    })
    this._quota = new Counter({
      name: 'sassafras_quota_requests_total',
      help: 'Requests of workspaces with a quota by what became of their credits',
      labelNames: ['outcome'],
      registers
    })
    this._addGauges(readGauges)
    this._addWorkspaceMetrics()
  }

  /** Content type of the metrics text. */
  public get contentType (): string {
    return this._registry.contentType
  }

  /** Counts a request that was received. */
  public countReceived (): void {
    this._received.inc()
  }

  /**
   * Counts a request that has ended.
   * @param tookMs Its latency in milliseconds.
   * @param sends Attempts that may have reached an instance.
   * @param declines Times that a gate declined it.
   */
  public countEnded (outcome: RequestOutcome, tookMs: number, sends: number, declines: number): void {
    this._ended.inc({ outcome })
    this._latency.observe({ outcome }, tookMs / 1000)
    if (sends > 0) this._sends.inc(sends)
    if (declines > 0) this._declines.inc(declines)
  }

  /** Counts a request for which a hedge was sent. */
  public countHedge (outcome: HedgeOutcome): void {
    this._hedges.inc({ outcome })
  }

  /** Counts a request that ended because it is quarantined. */
  public countQuarantined (): void {
    this._quarantined.inc()
  }

  /**
   * Counts a request of a workspace.
   * @param shareUsed See `RoutedCall.shareUsed`.
   * @param nowMs Monotonic time in milliseconds.
   */
  public countWorkspaceRequest (workspace: string, shareUsed: number | undefined, nowMs: number): void {
    this._workspaceCounts.countRequest(workspace, shareUsed, nowMs)
  }

  /**
   * Counts a refused request of a workspace.
   * @param workspace Name of the workspace; undefined for a request without a key in force.
   */
  public countWorkspaceRefusal (workspace: string | undefined, reason: GatewayReason): void {
    this._workspaceCounts.countRefusal(workspace, toRefusalKind(reason))
  }

  /** Number of bodies that are being sent or received. */
  public get openTransfers (): number {
    return this._openTransfers
  }

  /** @inheritdoc */
  public countBodyBytes (direction: TransferDirection, bytes: number): void {
    this._bodyBytes.inc({ direction }, bytes)
  }

  /** @inheritdoc */
  public changeOpenTransfers (change: number): void {
    this._openTransfers += change
  }

  /** @inheritdoc */
  public countBodyRefused (origin: 'caller' | 'node'): void {
    this._bodiesRefused.inc({ origin })
  }

  /** Counts a connection of a caller that was closed since there were too many. */
  public countConnectionGivenWay (): void {
    this._connectionsGivenWay.inc()
  }

  /** Counts a request that needs a credit of its workspace. */
  public countQuota (outcome: QuotaOutcome): void {
    this._quota.inc({ outcome })
  }

  /** Returns all metrics as text. */
  public async text (): Promise<string> {
    return await this._registry.metrics()
  }

  private _addGauges (readGauges: () => NodeGauges): void {
    const definitions: ReadonlyArray<readonly [string, string, (gauges: NodeGauges) => number]> = [
      ['sassafras_ready', '1 while new callers are taken', ({ ready }) => Number(ready)],
      ['sassafras_configuration_version', 'Version in force', ({ version }) => version],
      [
        'sassafras_control_silence_seconds',
        'Time since the last frame of the control replica, infinite without a connection',
        ({ controlSilentMs }) => controlSilentMs / 1000
      ],
      ['sassafras_nodes', 'Nodes known', ({ nodes }) => nodes],
      ['sassafras_requests_in_flight', 'Requests not ended yet', ({ inFlight }) => inFlight],
      ['sassafras_suspect_requests', 'Requests suspected of crashes or quarantined', ({ suspects }) => suspects],
      [
        'sassafras_departures_pending',
        'Departures of instances that control has not stored yet',
        ({ pendingDepartures }) => pendingDepartures
      ],
      ['sassafras_body_bytes_held', 'Bytes of the bodies held', ({ bodyBytes }) => bodyBytes],
      ['sassafras_body_transfers_open', 'Bodies being moved in chunks', () => this._openTransfers],
      ['sassafras_gate_running', 'Calls that run at the instance', ({ load }) => load.running],
      ['sassafras_gate_queued', 'Calls that wait for the instance', ({ load }) => load.queued],
      ['sassafras_gate_limit', 'Calls that may run at once', ({ load }) => load.limit],
      [
        'sassafras_instance_request_limit',
        'Requests a second that the instance takes, infinite while it names no limit',
        ({ load }) => load.requestLimit?.perS ?? Infinity
      ],
      ['sassafras_vm_slowness', 'Time that work takes relative to usual', ({ load }) => load.slowness],
      [
        'sassafras_evacuation_revision',
        'Changes of the set of evacuated zones, as far as the node knows',
        ({ evacuation }) => evacuation.revision
      ],
      ['sassafras_evacuated_zones', 'Evacuated zones', ({ evacuation }) => evacuation.zones.length],
      [
        'sassafras_zone_closed',
        '1 while the instance gets no calls because its zone is evacuated',
        ({ isZoneClosed }) => Number(isZoneClosed)
      ],
      ['sassafras_instance_cold_seconds', 'Time that the instance stays cold, as known', ({ cold }) => cold.coldForMs / 1000]
    ]
    for (const [name, help, read] of definitions) {
      const collect = (): void => gauge.set(read(readGauges()))
      const gauge: Gauge = new Gauge({ name, help, registers: [this._registry], collect })
    }
    this._addCounter('sassafras_cold_checks_total', 'Health checks to learn the cold state', () => readGauges().cold.checks)
    this._addCounter('sassafras_limit_declines_total', 'Calls declined by request limits', () => readGauges().cold.declined)
  }

  private _addCounter (name: string, help: string, read: () => number): void {
    const collect = (): void => {
      counter.reset()
      counter.inc(read())
    }
    const counter: Counter = new Counter({ name, help, registers: [this._registry], collect })
  }

  /** The rows change with the largest workspaces, so the metrics are rebuilt from them at each fetch. */
  private _addWorkspaceMetrics (): void {
    const registers = [this._registry]
    const counts = this._workspaceCounts
    const requests: Counter<'workspace'> = new Counter({
      name: 'sassafras_workspace_requests_total',
      help: 'Requests of callers by workspace',
      labelNames: ['workspace'],
      registers,
      collect: () => {
        requests.reset()
        for (const row of counts.rows) requests.inc({ workspace: row.workspace }, row.requests)
      }
    })
    const refusals: Counter<'workspace' | 'reason'> = new Counter({
      name: 'sassafras_workspace_refusals_total',
      help: 'Requests of callers that were refused, by workspace and reason',
      labelNames: ['workspace', 'reason'],
      registers,
      collect: () => {
        refusals.reset()
        for (const { workspace, refusals: refused } of counts.rows) {
          const reasons = REFUSAL_KINDS.filter(reason => refused[reason] > 0)
          reasons.forEach(reason => refusals.inc({ workspace, reason }, refused[reason]))
        }
      }
    })
    const shares: Gauge<'workspace'> = new Gauge({
      name: 'sassafras_workspace_share_used',
      help: 'Share of its quota, or of its usual traffic, that the workspace had used at its last request',
      labelNames: ['workspace'],
      registers,
      collect: () => {
        shares.reset()
        for (const { workspace, shareUsed } of counts.rows) {
          if (shareUsed !== undefined) shares.set({ workspace }, shareUsed)
        }
      }
    })
  }
}

/** Reasons that stem from a lack of capacity. */
const SHARE_REASONS: ReadonlySet<GatewayReason> = new Set(['busy', 'slow', 'too-late', 'displaced', 'rate-limited'])

function toRefusalKind (reason: GatewayReason): RefusalKind {
  if (reason === 'unknown-key') return 'key'
  if (reason.startsWith('quota')) return 'quota'
  return SHARE_REASONS.has(reason) ? 'share' : 'other'
}
