import type { NodeId } from '../Types.js'
import { MIN_SILENT_NODES, ZONE_SUSPICION_MS } from './Constants.js'

/** What is known of one availability zone since one of its nodes was last heard from. */
interface ZoneSilence {
  readonly silentNodes: Set<NodeId>
  /** When the last of them went silent, in monotonic milliseconds. */
  lastEvidenceMs: number
}

/**
 * Detects availability zones that are cut off or without power. Without it, a node finds out about each of their nodes
 * by a call that is lost there, while the calls that leave an overloaded zone go from one silent node to the next. A
 * zone counts as silent once several of its nodes have stopped answering and none of them has been heard from since.
 *
 * Memory: the silent nodes of each zone.
 */
export class ZoneReachability {
  private readonly _silences = new Map<string, ZoneSilence>()

  /**
   * Records that a node has stopped answering.
   * @returns True when its zone counts as silent from now on.
   */
  public recordSilent (zone: string, node: NodeId, nowMs: number): boolean {
    const wasSilent = this.isSilent(zone, nowMs)
    const silence = this._silences.get(zone) ?? { silentNodes: new Set<NodeId>(), lastEvidenceMs: nowMs }
    silence.silentNodes.add(node)
    silence.lastEvidenceMs = nowMs
    this._silences.set(zone, silence)
    return !wasSilent && this.isSilent(zone, nowMs)
  }

  /**
   * Records that any node of a zone was heard from.
   * @returns True when the zone counted as silent until now.
   */
  public recordHeard (zone: string, nowMs: number): boolean {
    const wasSilent = this.isSilent(zone, nowMs)
    this._silences.delete(zone)
    return wasSilent
  }

  /** Returns whether a zone counts as silent. The suspicion ends by itself, in case nothing is sent there any more. */
  public isSilent (zone: string, nowMs: number): boolean {
    const silence = this._silences.get(zone)
    if (silence === undefined || silence.silentNodes.size < MIN_SILENT_NODES) return false
    return nowMs - silence.lastEvidenceMs < ZONE_SUSPICION_MS
  }

  /** Zones that count as silent. */
  public silentZones (nowMs: number): string[] {
    return [...this._silences.keys()].filter(zone => this.isSilent(zone, nowMs))
  }
}
