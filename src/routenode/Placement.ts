import type { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import { InstanceChooser } from '../parts/placement/InstanceChooser.js'
import type { PlacementCandidate } from '../parts/placement/Types.js'
import type { NodeId, Random, ServiceName } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { CallLink } from './CallLink.js'
import type { RoutedCallTarget } from './Types.js'

/** Round trips assumed to instances on the same VM, in the same availability zone and elsewhere, in milliseconds. */
const ASSUMED_ROUND_TRIP_MS = { vm: 0.1, zone: 0.6, other: 2.2 } as const

/** What placement needs of its node. */
export interface PlacementOptions {
  /** Name of this node. */
  readonly self: NodeId
  /** Availability zone of this node. */
  readonly zone: string
  /** Destination of calls to the instance on this VM. */
  readonly local: RoutedCallTarget
  readonly directory: NodeDirectory
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

/**
 * Keeps what is needed to send calls: one chooser for each routed service, with its ready instances as candidates, and
 * a link to the node of each of these instances.
 *
 * Memory: one chooser for each such service, one link for each such node.
 */
export class Placement implements Disposable {
  private readonly _links = new Map<NodeId, CallLink>()
  private readonly _choosers = new Map<ServiceName, InstanceChooser>()
  private readonly _stoppingNodes = new Set<NodeId>()

  public constructor (private readonly _options: PlacementOptions) {}

  /** Sets the services that requests may be routed to. */
  public setServices (services: Iterable<ServiceName>): void {
    const wanted = new Set(services)
    for (const service of this._choosers.keys()) {
      if (!wanted.has(service)) this._choosers.delete(service)
    }
    for (const service of wanted) {
      if (!this._choosers.has(service)) this._choosers.set(service, new InstanceChooser(this._options.random))
    }
    this.refresh()
  }

  /** Updates candidates and links from the current entries of the directory. */
  public refresh (): void {
    const needed = new Set<NodeId>()
    for (const [service, chooser] of this._choosers) {
      const candidates = this._listCandidates(service)
      candidates.forEach(candidate => needed.add(candidate.node))
      chooser.setCandidates(candidates)
    }
    needed.delete(this._options.self)
    needed.forEach(node => this._ensureLink(node))
    this._closeUnusedLinks(needed)
  }

  /** Returns the chooser of a service; undefined when no route leads to it. */
  public findChooser (service: ServiceName): InstanceChooser | undefined {
    return this._choosers.get(service)
  }

  /** Returns the destination of calls to the instance beside a node; undefined when the node is unknown. */
  public findTarget (node: NodeId): RoutedCallTarget | undefined {
    return node === this._options.self ? this._options.local : this._links.get(node)
  }

  /** Returns a description for the state dump: at most 100 links, and all routed services. */
  public describe (): object {
    return {
      links: [...this._links.values()].slice(0, 100).map(({ node, isOpen }) => ({ node, isOpen })),
      services: Object.fromEntries([...this._choosers].map(([service, chooser]) => [service, chooser.describe()]))
    }
  }

  /** Closes all links. */
  public dispose (): void {
    for (const link of this._links.values()) link.dispose()
  }

  private _listCandidates (service: ServiceName): PlacementCandidate[] {
    const ready = this._options.directory.readyNodes(service).filter(entry => !this._stoppingNodes.has(entry.node))
    return ready.map(entry => ({
      node: entry.node,
      slots: entry.instance?.slots ?? 1,
      roundTripMs: this._roundTripMs(entry.node, entry.zone),
      crossesZones: entry.zone !== this._options.zone
    }))
  }

  private _roundTripMs (node: NodeId, zone: string): number {
    if (node === this._options.self) return ASSUMED_ROUND_TRIP_MS.vm
    return zone === this._options.zone ? ASSUMED_ROUND_TRIP_MS.zone : ASSUMED_ROUND_TRIP_MS.other
  }

  private _ensureLink (node: NodeId): void {
    if (this._links.has(node)) return
    const link = new CallLink(node, this._options.self, this._options.clock, this._options.random)
    link.onOpen(() => this._onOpen(node))
    link.onStopping(() => this._onStopping(node))
    link.onUnresponsive(() => this._onUnresponsive(node))
    link.onResponsive(() => this._onResponsive(node))
    this._links.set(node, link)
    link.connect()
  }

  /** The node may have restarted before this connection, so it counts as accepting calls again. */
  private _onOpen (node: NodeId): void {
    if (this._stoppingNodes.delete(node)) this.refresh()
    this._onResponsive(node)
  }

  private _onUnresponsive (node: NodeId): void {
    const nowMs = this._options.clock.nowMs()
    for (const chooser of this._choosers.values()) chooser.markUnreachable(node, nowMs)
  }

  private _onResponsive (node: NodeId): void {
    for (const chooser of this._choosers.values()) chooser.markReachable(node)
  }

  private _onStopping (node: NodeId): void {
    this._options.log.debug({ node }, 'node stops')
    this._stoppingNodes.add(node)
    this.refresh()
  }

  /** A link that is not needed stays until its node is gone: the node may come back, or calls may be outstanding. */
  private _closeUnusedLinks (needed: ReadonlySet<NodeId>): void {
    for (const [node, link] of this._links) {
      const entry = this._options.directory.find(node)
      if (needed.has(node) || (entry !== undefined && entry.state !== 'gone')) continue
      this._links.delete(node)
      this._stoppingNodes.delete(node)
      link.dispose()
    }
  }
}
