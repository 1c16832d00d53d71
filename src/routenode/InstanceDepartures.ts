import type { InstanceRegistry } from '../parts/instances/InstanceRegistry.js'
import type { Departure, InstanceIncarnation } from '../parts/instances/Types.js'
import type { ReportReceiver } from './ReportReceiver.js'

/** Departures of the instances on this VM, as the proxy of the instance knows them. */
export class InstanceDepartures {
  /**
   * @param _onRestored Called after departures of earlier runs were taken over, which may include that of the instance.
   */
  public constructor (
    private readonly _registry: InstanceRegistry,
    private readonly _reports: ReportReceiver,
    private readonly _onRestored: () => void
  ) {}

  /** All that are remembered, the oldest first. */
  public get all (): Departure[] {
    return this._registry.departures
  }

  /**
   * Returns whether an instance is known to have left; a report that has to be settled first is awaited.
   * @param instance Any start of its id fits when its start is assumed.
   */
  public async hasLeft (instance: InstanceIncarnation): Promise<boolean> {
    await this._reports.whenSettled()
    return this._registry.hasLeft(instance)
  }

  /** Takes over the departures that earlier runs of this process have acknowledged. */
  public restore (departures: readonly Departure[]): void {
    departures.forEach(departure => this._registry.recordDeparture(departure))
    this._onRestored()
  }
}
