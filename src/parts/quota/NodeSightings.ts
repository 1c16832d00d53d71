import { QUOTA_WINDOW_MS } from './Constants.js'

/** Time that a new node may take from its start until replicas know it, in milliseconds. */
const SIGHTING_DELAY_MS = 2000

/**
 * When each node was first known to a control replica. A leader that has just been elected must otherwise take every
 * node that starts for one whose earlier run used quotas, and grants little while nodes are being replaced.
 *
 * Memory: one number for each known node.
 */
export class NodeSightings {
  private readonly _firstSeenMs = new Map<string, number>()

  /**
   * @param _sinceMs When this replica began to watch, in monotonic milliseconds.
   */
  public constructor (private readonly _sinceMs: number) {}

  /**
   * Records the nodes that are known, also those that are gone; others are forgotten.
   * @param nodes Names of the nodes.
   * @param nowMs Monotonic time in milliseconds.
   */
  public record (nodes: readonly string[], nowMs: number): void {
    const known = new Set(nodes)
    for (const node of this._firstSeenMs.keys()) {
      if (!known.has(node)) this._firstSeenMs.delete(node)
    }
    for (const node of known) {
      if (!this._firstSeenMs.has(node)) this._firstSeenMs.set(node, nowMs)
    }
  }

  /**
   * Returns whether a node that has run for a time did not run before, as far as a window matters. Before this replica
   * has watched for a window, it can't tell.
   * @param upMs Time since the start of the node's process, in milliseconds.
   */
  public isNew (node: string, upMs: number, nowMs: number): boolean {
    const startedMs = nowMs - upMs
    const firstSeenMs = this._firstSeenMs.get(node) ?? nowMs
    const hasWatched = startedMs - this._sinceMs >= QUOTA_WINDOW_MS + SIGHTING_DELAY_MS
    return hasWatched && firstSeenMs >= startedMs - SIGHTING_DELAY_MS
  }
}
