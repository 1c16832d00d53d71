import type { NodeId, ServiceName } from '../Types.js'
import type { NodeEntry } from './Types.js'

/** Entries of nodes that are gone stay this long, so that late news of them is recognised, in milliseconds. */
const GONE_RETENTION_MS = 60_000

/**
 * All nodes with their instances, merged from publications that come late, twice and by several ways. The newest
 * publication of a node wins, by epoch and revision.
 *
 * Memory: one entry for each node, those gone within `GONE_KEPT_MS` included.
 */
export class NodeDirectory {
  private readonly _entries = new Map<NodeId, NodeEntry>()
  private readonly _goneAtMs = new Map<NodeId, number>()

  /** All entries, those of nodes that are gone included. */
  public get entries (): NodeEntry[] {
    return [...this._entries.values()]
  }

  /** Nodes that are not gone. */
  public get size (): number {
    return this._entries.size - this._goneAtMs.size
  }

  /**
   * Returns the entry of a node.
   * @param node The node.
   */
  public find (node: NodeId): NodeEntry | undefined {
    return this._entries.get(node)
  }

  /**
   * Tells whether nothing newer is known of a node. One that has published anything since, by whatever way, is not
   * lost with the connection on which it published this.
   * @param entry What it published.
   */
  public isNewest (entry: NodeEntry): boolean {
    const known = this._entries.get(entry.node)
    return known !== undefined && known.epoch === entry.epoch && known.revision === entry.revision
  }

  /**
   * Merges publications.
   * @param entries What was heard.
   * @param nowMs Monotonic time in milliseconds.
   * @returns The entries that were news.
   */
  public merge (entries: readonly NodeEntry[], nowMs: number): NodeEntry[] {
    this._removeExpired(nowMs)
    return entries.filter(entry => this._mergeEntry(entry, nowMs))
  }

  /**
   * Returns the nodes beside which a service has an instance that takes new work.
   * @param service The service.
   */
  public readyNodes (service: ServiceName): NodeEntry[] {
    return this.entries.filter(({ state, instance }) => {
      return state === 'up' && instance?.service === service && instance.state === 'ready'
    })
  }

  private _mergeEntry (entry: NodeEntry, nowMs: number): boolean {
    const known = this._entries.get(entry.node)
    if (known !== undefined && !isNewer(entry, known)) return false
    this._entries.set(entry.node, entry)
    if (entry.state === 'gone') this._goneAtMs.set(entry.node, nowMs)
    else this._goneAtMs.delete(entry.node)
    return true
  }

  private _removeExpired (nowMs: number): void {
    for (const [node, atMs] of this._goneAtMs) {
      if (nowMs - atMs < GONE_RETENTION_MS) continue
      this._goneAtMs.delete(node)
      this._entries.delete(node)
    }
  }
}

/** A node that was found gone under some publication comes back only with a newer one. */
function isNewer (entry: NodeEntry, known: NodeEntry): boolean {
  if (entry.epoch !== known.epoch) return entry.epoch > known.epoch
  if (entry.revision !== known.revision) return entry.revision > known.revision
  return entry.state === 'gone' && known.state !== 'gone'
}
