import { UpstreamChooser } from '../../parts/choice/UpstreamChooser.js'
import type { Candidate, ChoiceEvent } from '../../parts/choice/Types.js'
import type { ServiceRule, VersionedConfiguration } from '../../parts/configuration/Types.js'
import type { Member } from '../../parts/membership/Types.js'
import { RetryPolicy } from '../../parts/retry/RetryPolicy.js'
import type { Place, Random, ServiceName } from '../../parts/Types.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import type { IngressService, ServiceDirectory } from './IngressServer.js'
import { RequestClassifier } from './RequestClassifier.js'
import { ServiceLane } from './ServiceLane.js'
import type { TargetSource } from './Types.js'

/** What the table needs to build lanes. */
export interface ServiceTableParts {
  readonly place: Place
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly targets: TargetSource
  readonly mayRunGuarded: () => boolean
  readonly membersOf: (service: ServiceName) => readonly Member[]
}

/** Services of the configuration in force, each with its lane. Lanes live through changes of their rule. */
export class ServiceTable implements ServiceDirectory, Disposable {
  private _services = new Map<ServiceName, IngressService>()
  private _inForce: VersionedConfiguration | undefined

  public constructor (private readonly _parts: ServiceTableParts) {}

  public get version (): number | undefined {
    return this._inForce?.version
  }

  public get mayRunGuarded (): boolean {
    return this._parts.mayRunGuarded()
  }

  /** Names of all services. */
  public get names (): ServiceName[] {
    return [...this._services.keys()]
  }

  public findService (name: ServiceName): IngressService | undefined {
    return this._services.get(name)
  }

  /** Puts a configuration in force. Calls in flight keep the rule under which they came. */
  public apply (copy: VersionedConfiguration): void {
    this._inForce = copy
    const before = this._services
    this._services = new Map()
    for (const rule of copy.configuration.services) {
      this._services.set(rule.name, this._build(rule, before.get(rule.name)))
    }
    for (const [name, service] of before) {
      if (!this._services.has(name)) service.lane.dispose()
    }
  }

  /** Reads the members of a service again. */
  public refresh (service: ServiceName): void {
    const lane = this._services.get(service)?.lane
    lane?.setCandidates(this._parts.membersOf(service).map(toCandidate))
  }

  /** Tells the lane of an instance's service. */
  public tell (service: ServiceName, event: Extract<ChoiceEvent, { type: 'linkUp' | 'linkDown' | 'evidence' }>): void {
    this._services.get(service)?.lane.tell(event)
  }

  /** Rule of a service. */
  public ruleOf (service: ServiceName): ServiceRule | undefined {
    return this._services.get(service)?.classifier.rule
  }

  /** Bounded description for the state dump. */
  public describe (): object {
    return [...this._services].map(([name, { lane }]) => ({ name, inFlight: lane.inFlight }))
  }

  /** Stops all lanes. */
  public dispose (): void {
    for (const { lane } of this._services.values()) lane.dispose()
  }

  private _build (rule: ServiceRule, before: IngressService | undefined): IngressService {
    const classifier = new RequestClassifier(rule)
    const sameShare = before?.classifier.rule.retryShare === rule.retryShare
    if (before !== undefined && sameShare) return { classifier, lane: before.lane }
    before?.lane.dispose()
    return { classifier, lane: this._buildLane(rule) }
  }

  private _buildLane (rule: ServiceRule): ServiceLane {
    const { place, clock, random, log, targets, membersOf } = this._parts
    const chooser = new UpstreamChooser(place, random)
    const retries = new RetryPolicy({ retryShare: rule.retryShare })
    const lane = new ServiceLane(rule.name, chooser, retries, targets, clock, log)
    lane.setCandidates(membersOf(rule.name).map(toCandidate))
    return lane
  }
}

function toCandidate (member: Member): Candidate {
  return {
    instance: `${member.service}/${member.node}`,
    place: member.place,
    state: member.state === 'left' ? 'draining' : member.state,
    slots: member.slots
  }
}
