import type { NodeId, ServiceName } from '../Types.js'
import { isSameIncarnation } from './InstanceRegistry.js'
import type { NodeEntry, PublishedInstance } from './Types.js'

/** Retention time of entries of gone nodes, in milliseconds, so that delayed publications are recognised as old. */
const GONE_RETENTION_MS = 60_000

/**
 * Directory of all nodes with their instances. It merges publications that may be delayed, duplicated and received on
 * several paths; the newest publication of a node wins, by epoch and revision. An instance that leaves does not become
 * ready again by a publication of a restarted node, which may not know of it.
 *
 * Memory: one entry for each node. Those gone for `GONE_RETENTION_MS` are removed at the next `merge`.
 */
export class NodeDirectory {
  private readonly _entries = new Map<NodeId, NodeEntry>()
  private readonly _goneAtMs = new Map<NodeId, number>()

  /** All entries, including those of gone nodes. */
  public get entries (): NodeEntry[] {
    return [...this._entries.values()]
  }

  /** Number of nodes that are not gone. */
  public get size (): number {
    return this._entries.size - this._goneAtMs.size
  }

  /**
   * Returns the entry of a node, or undefined when it is unknown.
   * @param node The node.
   */
  public find (node: NodeId): NodeEntry | undefined {
    return this._entries.get(node)
  }

  /**
   * Returns whether a publication is the newest one known of its node. A node that has published anything since, on
   * any path, is not gone just because the connection of this publication was lost.
   * @param entry The publication.
   */
  public isNewest (entry: NodeEntry): boolean {
    const known = this._entries.get(entry.node)
    return known !== undefined && known.epoch === entry.epoch && known.revision === entry.revision
  }

  /**
   * Merges publications.
   * @param entries Publications that were received.
   * @param nowMs Monotonic time in milliseconds.
   * @returns The entries that changed the directory.
   */
  public merge (entries: readonly NodeEntry[], nowMs: number): NodeEntry[] {
    this._removeExpired(nowMs)
    return entries.flatMap(entry => this._mergeEntry(entry, nowMs) ?? [])
  }

  /**
   * Returns the nodes beside which a service has an instance that takes new calls.
   * @param service The service.
   */
  public readyNodes (service: ServiceName): NodeEntry[] {
    return this.entries.filter(({ state, instance }) => {
      return state === 'up' && instance?.service === service && instance.state === 'ready'
    })
  }

  private _mergeEntry (entry: NodeEntry, nowMs: number): NodeEntry | undefined {
    const known = this._entries.get(entry.node)
    if (known !== undefined && !isNewer(entry, known)) return undefined
    const merged = keepLeaving(entry, known?.instance)
    this._entries.set(entry.node, merged)
    if (entry.state === 'gone') this._goneAtMs.set(entry.node, nowMs)
    else this._goneAtMs.delete(entry.node)
    return merged
  }

  private _removeExpired (nowMs: number): void {
    for (const [node, atMs] of this._goneAtMs) {
      if (nowMs - atMs < GONE_RETENTION_MS) continue
      this._goneAtMs.delete(node)
      this._entries.delete(node)
    }
  }
}

/** An equal publication replaces another only by `gone`, so a gone node comes back only with a newer publication. */
function isNewer (entry: NodeEntry, known: NodeEntry): boolean {
  if (entry.epoch !== known.epoch) return entry.epoch > known.epoch
  if (entry.revision !== known.revision) return entry.revision > known.revision
  return entry.state === 'gone' && known.state !== 'gone'
}

function keepLeaving (entry: NodeEntry, known: PublishedInstance | undefined): NodeEntry {
  const { instance } = entry
  if (instance === undefined || known === undefined || known.state === 'ready') return entry
  return isSameIncarnation(known, instance) && instance.state === 'ready'
    ? { ...entry, instance: { ...instance, state: known.state } }
    : entry
}
