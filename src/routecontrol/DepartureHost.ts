import type { NodeDepartures } from '../parts/instances/Types.js'
import type { NodeId } from '../parts/Types.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { isConnectAddress } from '../runtime/Address.js'
import { decodeDepartureList } from './EntryDecoder.js'
import type { NodeFeed } from './NodeFeed.js'
import type { RoutingReplica } from './RoutingReplica.js'

/**
 * Stores the departures that nodes send in the log of the control group, and tells each node once they are applied
 * here, so that a quorum has them on disk. A frame that is lost is sent again by the node.
 *
 * Memory: one entry for each node whose departures are being stored.
 */
export class DepartureHost implements Disposable {
  private readonly _proposing = new Set<NodeId>()
  private readonly _subscriptions: readonly Disposable[]

  /**
   * @param _replica Replica of this process.
   * @param _feed Connections to the nodes.
   */
  public constructor (
    private readonly _replica: RoutingReplica,
    private readonly _feed: NodeFeed,
    private readonly _log: Log
  ) {
    this._subscriptions = [
      _feed.onDepartures(departed => this._receive(departed)),
      _replica.onDepartures(departed => this._storeForwarded(departed)),
      _replica.machine.onDeparture(node => this._confirm(node))
    ]
  }

  /** Takes no more departures. */
  public dispose (): void {
    this._subscriptions.forEach(subscription => subscription.dispose())
  }

  private _receive (departed: NodeDepartures): void {
    if (this._replica.machine.departures.covers(departed)) return this._confirm(departed.node)
    const { leader, id } = this._replica.view
    if (leader === id) this._store(departed)
    else if (leader !== undefined) this._replica.forwardDepartures(leader, departed)
  }

  private _storeForwarded ({ node, departures }: NodeDepartures): void {
    const decoded = decodeDepartureList(departures, node, this._log)
    if (decoded.length > 0 && isConnectAddress(node)) this._store({ node, departures: decoded })
  }

  /** A node sends again while its departures are being stored. */
  private _store (departed: NodeDepartures): void {
    const { node } = departed
    const left = departed.departures.map(({ id }) => id)
    const isStored = this._replica.machine.departures.covers(departed)
    if (isStored || this._proposing.has(node) || this._replica.view.role !== 'leader') return
    this._proposing.add(node)
    this._replica.storeDepartures(departed)
      .then(({ type: outcome }) => this._log.info({ node, left, outcome }, 'departure proposed'))
      .catch((error: Error) => this._log.error({ node, error: error.message }, 'departure failed'))
      .finally(() => this._proposing.delete(node))
  }

  private _confirm (node: NodeId): void {
    this._feed.sendToNode(node, { type: 'departuresStored', departures: this._replica.machine.departures.find(node) })
  }
}
