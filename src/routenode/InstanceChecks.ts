import type { InstanceIdentity } from '../parts/instances/InstanceRegistry.js'
import type { ColdMonitor, ColdProbe } from './ColdMonitor.js'
import type { InstanceClient, InstanceHealth } from './InstanceClient.js'

/**
 * Questions to the instance on its health path. Each counts as a request to a cold instance, so one is left out when it
 * would exceed what the instance tolerates.
 */
export class InstanceChecks {
  /**
   * @param _findPath Returns the path of the health check; undefined while no configuration names the service.
   */
  public constructor (
    private readonly _client: InstanceClient,
    private readonly _cold: ColdMonitor,
    private readonly _findPath: () => string | undefined
  ) {}

  /** True when the path of the health check is known. */
  public get isPathKnown (): boolean {
    return this._findPath() !== undefined
  }

  /** Checks whether the instance is healthy; calls back only when it is. */
  public checkHealth (onHealthy: (health: InstanceHealth) => void): void {
    const question = this._begin()
    if (question === undefined) return
    this._client.checkHealth(question.path, (health, notice) => {
      this._cold.endProbe(question.probe, notice)
      if (health !== undefined) onHealthy(health)
    })
  }

  /** Asks the instance who it is; calls back once, at once when it can't be asked. */
  public askIdentity (onResult: (identity: InstanceIdentity | undefined) => void): void {
    const question = this._begin()
    if (question === undefined) return onResult(undefined)
    this._client.queryIdentity(question.path, (identity, notice) => {
      this._cold.endProbe(question.probe, notice)
      onResult(identity)
    })
  }

  /** Measures the slowness of the instance; calls back once, at once and without a figure while it is cold. */
  public measureSlowness (onResult: (slowness: number | undefined) => void): void {
    // Load queries would use up what a cold instance tolerates.
    const question = this._cold.isCold ? undefined : this._begin()
    if (question === undefined) return onResult(undefined)
    this._client.queryLoad(question.path, (load, notice) => {
      this._cold.endProbe(question.probe, notice)
      onResult(load?.slowness)
    })
  }

  private _begin (): { readonly path: string, readonly probe: ColdProbe } | undefined {
    const path = this._findPath()
    const probe = path === undefined ? undefined : this._cold.startProbe()
    return path === undefined || probe === undefined ? undefined : { path, probe }
  }
}
