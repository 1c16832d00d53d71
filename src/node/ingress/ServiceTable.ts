import { UpstreamChooser } from '../../parts/choice/UpstreamChooser.js'
import type { Candidate, ChoiceEvent } from '../../parts/choice/Types.js'
import type { ServiceRule, VersionedConfiguration } from '../../parts/configuration/Types.js'
import type { Member } from '../../parts/membership/Types.js'
import { RetryPolicy } from '../../parts/retry/RetryPolicy.js'
import type { ProcessLocation, Random, ServiceName } from '../../parts/Types.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import type { IngressService, ServiceDirectory } from './IngressServer.js'
import { RequestClassifier } from './RequestClassifier.js'
import { ServiceBalancer } from './ServiceBalancer.js'
import type { TargetSource } from './Types.js'

/** Dependencies of the table and of the balancers that it creates. */
export interface ServiceTableDependencies {
  readonly place: ProcessLocation
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly targets: TargetSource
  readonly mayRunGuarded: () => boolean
  readonly membersOf: (service: ServiceName) => readonly Member[]
}

/**
 * Services of the configuration in force, each with its classifier and balancer. A balancer is kept when the rule of
 * its service changes, unless the retry share does.
 */
export class ServiceTable implements ServiceDirectory, Disposable {
  private _services = new Map<ServiceName, IngressService>()
  private _inForce: VersionedConfiguration | undefined

  public constructor (private readonly _dependencies: ServiceTableDependencies) {}

  public get version (): number | undefined {
    return this._inForce?.version
  }

  public get mayRunGuarded (): boolean {
    return this._dependencies.mayRunGuarded()
  }

  /** Names of all services in the configuration. */
  public get names (): ServiceName[] {
    return [...this._services.keys()]
  }

  public findService (name: ServiceName): IngressService | undefined {
    return this._services.get(name)
  }

  /**
   * Applies a configuration that has come into force. Calls in flight keep the rule under which they started. If their
   * balancer is replaced or removed, the wake-up for its next delayed retry or hedge is cancelled.
   */
  public apply (copy: VersionedConfiguration): void {
    this._inForce = copy
    const previous = this._services
    this._services = new Map()
    for (const rule of copy.configuration.services) {
      this._services.set(rule.name, this._buildService(rule, previous.get(rule.name)))
    }
    for (const [name, service] of previous) {
      if (!this._services.has(name)) service.balancer.dispose()
    }
  }

  /** Updates the candidates of a service from its current members. */
  public refreshMembers (service: ServiceName): void {
    const balancer = this._services.get(service)?.balancer
    balancer?.setCandidates(this._dependencies.membersOf(service).map(toCandidate))
  }

  /** Passes a change of a link or new load evidence to the balancer of a service. */
  public notify (service: ServiceName, event: Extract<ChoiceEvent, { type: 'linkUp' | 'linkDown' | 'evidence' }>): void {
    this._services.get(service)?.balancer.notify(event)
  }

  /** Rule of a service; undefined if the configuration doesn't contain it. */
  public findRule (service: ServiceName): ServiceRule | undefined {
    return this._services.get(service)?.classifier.rule
  }

  /** Description for the state dump, one entry for each service. */
  public describe (): object {
    return [...this._services].map(([name, { balancer }]) => ({ name, inFlight: balancer.inFlight }))
  }

  /** Disposes of all balancers. */
  public dispose (): void {
    for (const { balancer } of this._services.values()) balancer.dispose()
  }

  private _buildService (rule: ServiceRule, previous: IngressService | undefined): IngressService {
    const classifier = new RequestClassifier(rule)
    const sameShare = previous?.classifier.rule.retryShare === rule.retryShare
    if (previous !== undefined && sameShare) return { classifier, balancer: previous.balancer }
    previous?.balancer.dispose()
    return { classifier, balancer: this._buildBalancer(rule) }
  }

  private _buildBalancer (rule: ServiceRule): ServiceBalancer {
    const { place, clock, random, log, targets, membersOf } = this._dependencies
    const chooser = new UpstreamChooser(place, random)
    const retryPolicy = new RetryPolicy({ retryShare: rule.retryShare })
    const balancer = new ServiceBalancer(rule.name, chooser, retryPolicy, targets, clock, log)
    balancer.setCandidates(membersOf(rule.name).map(toCandidate))
    return balancer
  }
}

function toCandidate (member: Member): Candidate {
  return {
    instance: `${member.service}/${member.node}`,
    place: member.place,
    // Needed only by the types: `membersOf` returns no members that have left.
    state: member.state === 'left' ? 'draining' : member.state,
    slots: member.slots
  }
}
