import { Gauge, Registry } from 'prom-client'
import type { ControlGauges } from './RouteControlDaemon.js'

/** Metrics of a control replica in the text format of Prometheus. `docs/METRICS.md` lists them. */
export class RouteControlMetrics {
  private readonly _registry = new Registry()

  /**
   * @param readGauges Returns the current values; called at each scrape.
   */
  public constructor (readGauges: () => ControlGauges) {
    const definitions: ReadonlyArray<readonly [string, string, (gauges: ControlGauges) => number]> = [
      ['sassafras_control_leads', '1 while this replica leads', ({ isLeader }) => Number(isLeader)],
      ['sassafras_control_term', 'Term of the group', ({ term }) => term],
      ['sassafras_control_commit_index', 'Entries committed', ({ commitIndex }) => commitIndex],
      ['sassafras_control_members', 'Voters of the group', ({ members }) => members],
      ['sassafras_control_version', 'Version in force', ({ version }) => version],
      ['sassafras_control_nodes', 'Nodes connected here', ({ nodes }) => nodes],
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

  /** Returns all metrics as text. */
  public async text (): Promise<string> {
    return await this._registry.metrics()
  }
}
