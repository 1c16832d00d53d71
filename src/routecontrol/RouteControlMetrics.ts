import { Gauge, Histogram, Registry } from 'prom-client'
import type { RoutingConfirmation } from './RoutingDelivery.js'
import type { ControlGauges, OrderDecision } from './RouteControlDaemon.js'

/** Upper bounds of the buckets of the decision times, in seconds: a sync, a lease, the wait of an operator. */
const DECISION_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 4]

/** Upper bounds of the buckets of the delivery times, in seconds; a change may take 2 s until it is in force. */
const DELIVERY_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2]

/** Metrics of a control replica in the text format of Prometheus. `docs/METRICS.md` lists them. */
export class RouteControlMetrics {
  private readonly _registry = new Registry()
  private readonly _decisions = new Histogram({
    name: 'sassafras_control_decision_seconds',
    help: 'Time from the receipt of a change or an order at the leader to its outcome',
    labelNames: ['outcome'],
    buckets: DECISION_BUCKETS_S,
    registers: [this._registry]
  })

  private readonly _deliveries = new Histogram({
    name: 'sassafras_control_delivery_seconds',
    help: 'Time for which a connected node lacked a version that this replica had, until the node confirmed it',
    buckets: DELIVERY_BUCKETS_S,
    registers: [this._registry]
  })

  /**
   * @param readGauges Returns the current values; called at each scrape.
   */
  public constructor (readGauges: () => ControlGauges) {
    const definitions: ReadonlyArray<readonly [string, string, (gauges: ControlGauges) => number]> = [
      ['sassafras_control_leads', '1 while this replica leads', ({ isLeader }) => Number(isLeader)],
      ['sassafras_control_votes', '1 while this replica is a voter', ({ isVoter }) => Number(isVoter)],
      ['sassafras_control_silent_voters', 'Voters that the leader, or a voter without a leader, does not hear', ({ silentVoters }) => silentVoters],
      ['sassafras_control_term', 'Term of the group', ({ term }) => term],
      ['sassafras_control_commit_index', 'Entries committed', ({ commitIndex }) => commitIndex],
      ['sassafras_control_members', 'Voters of the group', ({ members }) => members],
      ['sassafras_control_version', 'Version in force', ({ version }) => version],
      ['sassafras_control_nodes', 'Nodes connected here', ({ nodes }) => nodes],
      [
        'sassafras_control_delivery_wait_seconds',
        'Longest time for which a connected node has lacked a version that this replica has',
        ({ longestDeliveryMs }) => longestDeliveryMs / 1000
      ],
      [
        'sassafras_control_evacuation_revision',
        'Changes of the set of evacuated zones',
        ({ evacuation }) => evacuation.revision
      ],
      ['sassafras_control_evacuated_zones', 'Evacuated zones', ({ evacuation }) => evacuation.zones.length]
    ]
    for (const [name, help, read] of definitions) {
      const collect = (): void => gauge.set(read(readGauges()))
      const gauge: Gauge = new Gauge({ name, help, registers: [this._registry], collect })
    }
  }

  /** Content type of the metrics text. */
  public get contentType (): string {
    return this._registry.contentType
  }

  /** Counts a change or an order. */
  public countDecision ({ outcome, durationMs }: OrderDecision): void {
    this._decisions.observe({ outcome }, durationMs / 1000)
  }

  /** Counts a version that a node has brought into force. */
  public countDelivery ({ tookMs }: RoutingConfirmation): void {
    this._deliveries.observe(tookMs / 1000)
  }

  /** Returns all metrics as text. */
  public async text (): Promise<string> {
    return await this._registry.metrics()
  }
}
