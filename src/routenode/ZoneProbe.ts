import type { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import { ZONE_PROBE_INTERVAL_MS } from '../parts/placement/Constants.js'
import { ZoneReachability } from '../parts/placement/ZoneReachability.js'
import type { NodeId } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'

/** Open links of a silent zone that are probed at a time; one answer is enough. */
const PROBED_LINKS = 3

/** A link as far as it is probed. */
export interface ProbedLink {
  readonly node: NodeId
  readonly isOpen: boolean
  /** When anything was last received, in monotonic milliseconds; undefined without a connection. */
  readonly lastReceivedMs: number | undefined
  /** Asks the other node for a sign of life. */
  probe (): void
}

/** What the probe needs of its node. */
export interface ZoneProbeOptions {
  /** Availability zone of this node, which is never taken for silent. */
  readonly zone: string
  readonly directory: NodeDirectory
  readonly clock: Clock
  readonly log: Log
  /** Returns all links to other nodes. */
  readonly links: () => Iterable<ProbedLink>
  /** Called at each probe for the nodes of a silent zone, and once when the zone is heard from again. */
  readonly setReachable: (nodes: readonly NodeId[], isReachable: boolean) => void
}

/**
 * Keeps calls away from availability zones that are silent, and probes those zones until one of their nodes answers.
 *
 * Memory: see `ZoneReachability`.
 */
export class ZoneProbe implements Disposable {
  private readonly _reachability = new ZoneReachability()
  private readonly _silentSinceMs = new Map<string, number>()
  private _timer: NodeJS.Timeout | undefined

  public constructor (private readonly _options: ZoneProbeOptions) {}

  /** Records that a node does not answer. */
  public recordSilent (node: NodeId): void {
    const { zone: ownZone, clock, log } = this._options
    const zone = this._zoneOf(node)
    if (zone === undefined || zone === ownZone || !this._reachability.recordSilent(zone, node, clock.nowMs())) return
    log.warn({ zone, node }, 'zone is silent')
    this._silentSinceMs.set(zone, clock.nowMs())
    this._timer ??= setInterval(() => this._probe(), ZONE_PROBE_INTERVAL_MS)
    this._probeZone(zone)
  }

  /** Records that a node was heard from. */
  public recordHeard (node: NodeId): void {
    const zone = this._zoneOf(node)
    if (zone === undefined) return
    if (this._reachability.recordHeard(zone, this._options.clock.nowMs())) this._reopen(zone)
  }

  /** Stops probing. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private _zoneOf (node: NodeId): string | undefined {
    return this._options.directory.find(node)?.zone
  }

  private _probe (): void {
    for (const zone of [...this._silentSinceMs.keys()]) {
      if (!this._reachability.isSilent(zone, this._options.clock.nowMs()) || this._hasAnswered(zone)) this._reopen(zone)
      else this._probeZone(zone)
    }
    if (this._silentSinceMs.size > 0) return
    clearInterval(this._timer)
    this._timer = undefined
  }

  private _probeZone (zone: string): void {
    this._options.setReachable(this._nodesOf(zone), false)
    this._linksOf(zone).filter(({ isOpen }) => isOpen).slice(-PROBED_LINKS).forEach(link => link.probe())
  }

  private _hasAnswered (zone: string): boolean {
    const sinceMs = this._silentSinceMs.get(zone) ?? Infinity
    return this._linksOf(zone).some(({ lastReceivedMs = -Infinity }) => lastReceivedMs > sinceMs)
  }

  private _reopen (zone: string): void {
    const { clock, log, setReachable } = this._options
    const sinceMs = this._silentSinceMs.get(zone)
    this._reachability.recordHeard(zone, clock.nowMs())
    if (sinceMs === undefined) return
    this._silentSinceMs.delete(zone)
    log.info({ zone, silentForMs: Math.round(clock.nowMs() - sinceMs) }, 'zone is no longer silent')
    setReachable(this._nodesOf(zone), true)
  }

  private _linksOf (zone: string): ProbedLink[] {
    return [...this._options.links()].filter(({ node }) => this._zoneOf(node) === zone)
  }

  private _nodesOf (zone: string): NodeId[] {
    return this._options.directory.entries.filter(entry => entry.zone === zone).map(({ node }) => node)
  }
}
