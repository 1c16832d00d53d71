import type { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { ZoneExclusion } from '../parts/evacuation/Types.js'
import { isSameIncarnation } from '../parts/instances/InstanceRegistry.js'
import type { InstanceIncarnation, InstanceLimit, NodeEntry } from '../parts/instances/Types.js'
import { InstanceChooser } from '../parts/placement/InstanceChooser.js'
import type { PlacementQuery } from '../parts/placement/Types.js'
import type { NodeId, Random, ServiceName } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { BodyResources } from './BodyTransfer.js'
import { CallLink } from './CallLink.js'
import type { InstanceStatus, RoutedCallTarget } from './Types.js'
import { ZoneProbe } from './ZoneProbe.js'

/** Round trips assumed to instances on the same VM, in the same availability zone and elsewhere, in milliseconds. */
const ASSUMED_ROUND_TRIP_MS = { vm: 0.1, zone: 0.6, other: 2.2 } as const

/** What placement needs of its node. */
export interface PlacementOptions {
  /** Name of this node. */
  readonly self: NodeId
  /** Availability zone of this node. */
  readonly zone: string
  /** Whether the loss of a whole zone has to be borne, so that zones are watched for silence. */
  readonly toleratesZoneLoss: boolean
  /** Destination of calls to the instance on this VM. */
  readonly local: RoutedCallTarget
  readonly directory: NodeDirectory
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Bound on the memory for bodies, rate of the link and metrics; defaults when absent. */
  readonly bodies?: BodyResources
  /** Draws the evacuated zones that one choice leaves out; absent where none is ever evacuated. */
  readonly drawExclusion?: () => ZoneExclusion | undefined
}

/**
 * Keeps what is needed to send calls: one chooser for each routed service, with its ready instances as candidates, and
 * a link to each node that calls are sent to, opened for the first of them.
 *
 * Memory: one chooser for each such service; one link, one number, one limit and one incarnation for each such node.
 */
export class Placement implements Disposable {
  private readonly _links = new Map<NodeId, CallLink>()
  private readonly _choosers = new Map<ServiceName, InstanceChooser>()
  private readonly _stoppingNodes = new Set<NodeId>()
  /** Limits that instances have named to this node. They outlive links, as the node beside the instance may restart. */
  private readonly _knownLimits = new Map<NodeId, InstanceLimit>()
  /** Instances that leave, by node, as this node was told: their own nodes may forget it in a restart. */
  private readonly _leavingInstances = new Map<NodeId, InstanceIncarnation>()
  /** Returns the requests a second that cold instances of a service tolerate; undefined without a limit. */
  private _findColdPerS: (service: ServiceName) => number | undefined = () => undefined
  /** Epochs of the nodes to which there is a link. */
  private readonly _epochs = new Map<NodeId, number>()
  private readonly _zoneProbe: ZoneProbe | undefined

  public constructor (private readonly _options: PlacementOptions) {
    if (!_options.toleratesZoneLoss) return
    this._zoneProbe = new ZoneProbe({
      ..._options,
      links: () => this._links.values(),
      setReachable: (nodes, isReachable) => nodes.forEach(node => this._setReachable(node, isReachable))
    })
  }

  /**
   * Sets the services that requests may be routed to.
   * @param findColdPerS Returns the requests a second that cold instances of a service tolerate; undefined without a
   * limit.
   */
  public setServices (
    services: Iterable<ServiceName>, findColdPerS: (service: ServiceName) => number | undefined = () => undefined
  ): void {
    this._findColdPerS = findColdPerS
    const { directory, self, random } = this._options
    const wanted = new Set(services)
    for (const service of this._choosers.keys()) {
      if (!wanted.has(service)) this._choosers.delete(service)
    }
    for (const service of wanted) {
      if (this._choosers.has(service)) continue
      this._choosers.set(service, new InstanceChooser(self, random))
      directory.readyNodes(service).forEach(entry => this._updateCandidate(entry))
    }
  }

  /**
   * Updates the candidates.
   * @param entries Entries of the directory that have changed.
   */
  public update (entries: readonly NodeEntry[]): void {
    for (const entry of entries) {
      const hasRestarted = (this._epochs.get(entry.node) ?? entry.epoch) < entry.epoch
      // A new link opens at once, while the old one may wait for its next attempt to reconnect or be half-open.
      if (entry.state === 'gone' || hasRestarted) this._retireLink(entry.node)
      this._updateCandidate(entry)
    }
  }

  /** Returns the chooser of a service; undefined when no route leads to it. */
  public findChooser (service: ServiceName): InstanceChooser | undefined {
    return this._choosers.get(service)
  }

  /** Draws the evacuated zones that one choice leaves out, in the form of a part of its query. */
  public drawExclusion (): Pick<PlacementQuery, 'exclusion'> {
    const exclusion = this._options.drawExclusion?.()
    return exclusion === undefined ? {} : { exclusion }
  }

  /** Returns the requests a second that cold instances of a service tolerate; undefined without a limit. */
  public findColdPerS (service: ServiceName): number | undefined {
    return this._findColdPerS(service)
  }

  /** Returns the limit that the instance beside a node has named in its last answer to this node, if it did. */
  public findKnownLimit (node: NodeId): InstanceLimit | undefined {
    return this._knownLimits.get(node)
  }

  /**
   * Records what the instance beside a node asks of all nodes.
   * @param isAnswer True when the status came with an answer of the instance: only then does a missing limit mean that
   * it has none, as a node that has just restarted does not know.
   */
  public recordStatus (node: NodeId, { requestLimit, leaving }: InstanceStatus, isAnswer: boolean): void {
    this._zoneProbe?.recordHeard(node)
    if (requestLimit !== undefined) this._knownLimits.set(node, requestLimit)
    else if (isAnswer) this._knownLimits.delete(node)
    if (leaving === undefined || isSameIncarnation(this._leavingInstances.get(node), leaving)) return
    this._leavingInstances.set(node, leaving)
    this._forgetRemovedNodes()
    this._updateKnown(node)
  }

  /** Returns the destination of calls to the instance beside a node. */
  public findTarget (node: NodeId): RoutedCallTarget {
    return node === this._options.self ? this._options.local : this._links.get(node) ?? this._openLink(node)
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
    this._zoneProbe?.dispose()
    for (const link of this._links.values()) link.dispose()
  }

  /** Nodes are replaced for as long as this process runs; the directory forgets those that are gone after a while. */
  private _forgetRemovedNodes (): void {
    for (const statements of [this._knownLimits, this._leavingInstances]) {
      for (const node of statements.keys()) {
        if (this._options.directory.find(node) === undefined) statements.delete(node)
      }
    }
  }

  private _updateCandidate (entry: NodeEntry): void {
    const { node, zone, state, instance } = entry
    const isLeaving = instance !== undefined && isSameIncarnation(this._leavingInstances.get(node), instance)
    const isReady = state === 'up' && instance?.state === 'ready' && !isLeaving && !this._stoppingNodes.has(node)
    for (const [service, chooser] of this._choosers) {
      if (!isReady || instance.service !== service) chooser.removeCandidate(node)
      else {
        chooser.setCandidate({
          node,
          incarnation: `${instance.id}@${instance.bornMs}`,
          slots: instance.slots,
          roundTripMs: this._roundTripMs(node, zone),
          crossesZones: zone !== this._options.zone,
          zone
        })
      }
    }
  }

  private _roundTripMs (node: NodeId, zone: string): number {
    if (node === this._options.self) return ASSUMED_ROUND_TRIP_MS.vm
    return zone === this._options.zone ? ASSUMED_ROUND_TRIP_MS.zone : ASSUMED_ROUND_TRIP_MS.other
  }

  private _openLink (node: NodeId): CallLink {
    const { self, clock, random, bodies } = this._options
    const link = new CallLink(node, self, clock, random, bodies)
    const ifCurrent = (handler: () => void) => () => { if (this._links.get(node) === link) handler() }
    link.onOpen(ifCurrent(() => this._onOpen(node)))
    link.onStopping(ifCurrent(() => this._onStopping(node)))
    link.onUnresponsive(ifCurrent(() => this._onUnresponsive(node)))
    link.onResponsive(ifCurrent(() => this._onResponsive(node)))
    link.onLost(loss => this._options.log.info({ node, ...loss }, 'link to a node lost'))
    this._links.set(node, link)
    this._epochs.set(node, this._options.directory.find(node)?.epoch ?? 0)
    link.connect()
    return link
  }

  /** The node may have restarted before this connection, so it counts as accepting calls again. */
  private _onOpen (node: NodeId): void {
    if (this._stoppingNodes.delete(node)) this._updateKnown(node)
    this._onResponsive(node)
  }

  private _onUnresponsive (node: NodeId): void {
    this._setReachable(node, false)
    this._zoneProbe?.recordSilent(node)
  }

  private _onResponsive (node: NodeId): void {
    this._setReachable(node, true)
    this._zoneProbe?.recordHeard(node)
  }

  private _setReachable (node: NodeId, isReachable: boolean): void {
    const nowMs = this._options.clock.nowMs()
    for (const chooser of this._choosers.values()) {
      if (isReachable) chooser.markReachable(node)
      else chooser.markUnreachable(node, nowMs)
    }
  }

  private _onStopping (node: NodeId): void {
    this._options.log.debug({ node }, 'node stops')
    this._stoppingNodes.add(node)
    this._updateKnown(node)
  }

  private _updateKnown (node: NodeId): void {
    const entry = this._options.directory.find(node)
    if (entry !== undefined) this._updateCandidate(entry)
  }

  /** The old link may already be connected to the restarted node, so its calls end on it. */
  private _retireLink (node: NodeId): void {
    this._links.get(node)?.retire()
    this._links.delete(node)
    this._epochs.delete(node)
    this._stoppingNodes.delete(node)
  }
}
