import type { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import { InstanceChooser } from '../parts/placement/InstanceChooser.js'
import type { PlacementCandidate } from '../parts/placement/Types.js'
import type { NodeId, Random, ServiceName } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { CallLink } from './CallLink.js'
import type { RoutedCallTarget } from './Types.js'

/** Round trips assumed to instances on the same VM, in the same availability zone and elsewhere, in milliseconds. */
const ROUND_TRIP_MS = { vm: 0.1, zone: 0.6, other: 2.2 } as const

/** What placement is made of. */
export interface PlacementParts {
  readonly self: NodeId
  readonly zone: string
  readonly local: RoutedCallTarget
  readonly directory: NodeDirectory
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

/**
 * Links to the nodes beside which routed services have instances, and a chooser for each service.
 *
 * Memory: one link for each such node, one chooser for each service.
 */
export class Placement implements Disposable {
  private readonly _links = new Map<NodeId, CallLink>()
  private readonly _choosers = new Map<ServiceName, InstanceChooser>()
  private readonly _stopping = new Set<NodeId>()

  public constructor (private readonly _parts: PlacementParts) {}

  /** Sets the services that requests may go to. */
  public setServices (services: Iterable<ServiceName>): void {
    const wanted = new Set(services)
    for (const service of this._choosers.keys()) {
      if (!wanted.has(service)) this._choosers.delete(service)
    }
    for (const service of wanted) {
      if (!this._choosers.has(service)) this._choosers.set(service, new InstanceChooser(this._parts.random))
    }
    this.refresh()
  }

  /** Takes the directory's present entries over. */
  public refresh (): void {
    const needed = new Set<NodeId>()
    for (const [service, chooser] of this._choosers) {
      const candidates = this._candidatesOf(service)
      candidates.forEach(candidate => needed.add(candidate.node))
      chooser.setCandidates(candidates)
    }
    needed.delete(this._parts.self)
    needed.forEach(node => this._link(node))
    this._dropUnneeded(needed)
  }

  /** Returns the chooser of a service that is routed to. */
  public chooserOf (service: ServiceName): InstanceChooser | undefined {
    return this._choosers.get(service)
  }

  /** Returns where calls to the instance beside a node go. */
  public targetOf (node: NodeId): RoutedCallTarget | undefined {
    return node === this._parts.self ? this._parts.local : this._links.get(node)
  }

  /** Bounded description for the state dump. */
  public describe (): object {
    return {
      links: [...this._links.values()].slice(0, 100).map(({ node, isOpen }) => ({ node, isOpen })),
      services: Object.fromEntries([...this._choosers].map(([service, chooser]) => [service, chooser.describe()]))
    }
  }

  /** Ends all links. */
  public dispose (): void {
    for (const link of this._links.values()) link.dispose()
  }

  private _candidatesOf (service: ServiceName): PlacementCandidate[] {
    const ready = this._parts.directory.readyNodes(service).filter(entry => !this._stopping.has(entry.node))
    return ready.map(entry => ({
      node: entry.node,
      slots: entry.instance?.slots ?? 1,
      roundTripMs: this._roundTripMs(entry.node, entry.zone),
      crossesZones: entry.zone !== this._parts.zone
    }))
  }

  private _roundTripMs (node: NodeId, zone: string): number {
    if (node === this._parts.self) return ROUND_TRIP_MS.vm
    return zone === this._parts.zone ? ROUND_TRIP_MS.zone : ROUND_TRIP_MS.other
  }

  private _link (node: NodeId): void {
    if (this._links.has(node)) return
    const link = new CallLink(node, this._parts.self, this._parts.clock, this._parts.random)
    link.onOpen(() => this._handleOpen(node))
    link.onStopping(() => this._handleStopping(node))
    link.onSilence(() => this._handleSilence(node))
    link.onReturn(() => this._handleReturn(node))
    this._links.set(node, link)
    link.connect()
  }

  /** A new connection may lead to a new run of the node, which takes work again. */
  private _handleOpen (node: NodeId): void {
    if (this._stopping.delete(node)) this.refresh()
    this._handleReturn(node)
  }

  private _handleSilence (node: NodeId): void {
    const nowMs = this._parts.clock.nowMs()
    for (const chooser of this._choosers.values()) chooser.markUnreachable(node, nowMs)
  }

  private _handleReturn (node: NodeId): void {
    for (const chooser of this._choosers.values()) chooser.markReachable(node)
  }

  private _handleStopping (node: NodeId): void {
    this._parts.log.debug({ node }, 'node stops')
    this._stopping.add(node)
    this.refresh()
  }

  /** A link whose node may come back, or whose calls are out, stays until the node is gone. */
  private _dropUnneeded (needed: ReadonlySet<NodeId>): void {
    for (const [node, link] of this._links) {
      const entry = this._parts.directory.find(node)
      if (needed.has(node) || (entry !== undefined && entry.state !== 'gone')) continue
      this._links.delete(node)
      this._stopping.delete(node)
      link.dispose()
    }
  }
}
