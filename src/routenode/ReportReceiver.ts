import type { InstanceIdentity, InstanceRegistry, ReportOutcome } from '../parts/instances/InstanceRegistry.js'
import type { InstanceReport } from '../parts/instances/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'

/** What the receiver needs of the proxy of the instance. */
export interface ReportReceiverOptions {
  readonly registry: InstanceRegistry
  readonly clock: Clock
  readonly log: Log
  /** True while the instance is expected to answer when it is asked who it is. */
  readonly isReachable: () => boolean
  /** Asks the instance who it is; calls back once, at once when it can't be asked. */
  readonly askIdentity: (onResult: (identity: InstanceIdentity | undefined) => void) => void
  /** Called after a report was applied, with the one that it has replaced. */
  readonly onApplied: (report: InstanceReport, previous: InstanceReport | undefined) => void
}

/**
 * Receives the reports of the instance on this VM. A report that contradicts the current incarnation may come from
 * another writer, so the instance is asked first: applied at once, it would take a sound instance out of use, or blame
 * its running requests for a crash.
 *
 * Memory: one open question for each such report of the last half second.
 */
export class ReportReceiver implements Disposable {
  private readonly _settled = new Emitter<void>()

  public constructor (private readonly _options: ReportReceiverOptions) {}

  /** Handles a report. */
  public receive (report: InstanceReport): ReportOutcome {
    const { registry, clock, isReachable, onApplied } = this._options
    const previous = registry.current
    const outcome = registry.recordReport(report, clock.nowMs(), isReachable())
    if (outcome === 'claimed') this._ask(report)
    // What leaves is remembered by its start, also when its report changes nothing here.
    if (report.state === 'draining' && (outcome === 'applied' || outcome === 'stale')) registry.recordDeparture(report)
    if (outcome === 'applied') onApplied(report, previous)
    return outcome
  }

  /** Resolves once no report waits for an answer of the instance. */
  public async whenSettled (): Promise<void> {
    if (!this._options.registry.hasClaim) return
    await new Promise<void>(resolve => {
      const subscription = this._settled.event(() => {
        subscription.dispose()
        resolve()
      })
    })
  }

  /** Leaves open questions without effect. */
  public dispose (): void {
    this._options.registry.dropClaim()
    this._settled.fire()
  }

  private _ask (report: InstanceReport): void {
    const { registry, log, askIdentity, onApplied } = this._options
    askIdentity(identity => {
      const previous = registry.current
      const outcome = registry.settleClaim(report, identity)
      const { id: instance, bornMs, sequence, state } = report
      const answer = { identity: identity?.id, isHealthy: identity?.isHealthy }
      log.info({ instance, bornMs, sequence, state, ...answer, current: previous?.id, outcome }, 'report settled')
      if (outcome === 'applied' && report.state === 'draining') registry.recordDeparture(report)
      if (outcome === 'applied') onApplied(report, previous)
      if (!registry.hasClaim) this._settled.fire()
    })
  }
}
