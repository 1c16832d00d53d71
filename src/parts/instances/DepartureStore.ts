import type { NodeId } from '../Types.js'
import { DepartureTable } from './DepartureTable.js'
import type { Departure, NodeDepartures } from './Types.js'

/** Most nodes whose departures are kept: several times the design size, for VMs that are replaced. */
export const MAX_DEPARTURE_NODES = 8192

/**
 * Departures that the control group has acknowledged, by the node beside the instance: a deterministic state machine to
 * which every control replica applies the committed departures in log order.
 *
 * Memory: one `DepartureTable` for each of `MAX_DEPARTURE_NODES` nodes, those with the latest departures.
 */
export class DepartureStore {
  private readonly _tables = new Map<NodeId, DepartureTable>()

  /** Number of nodes with a departure. */
  public get size (): number {
    return this._tables.size
  }

  /** Applies committed departures and returns whether any was new. */
  public apply ({ node, departures }: NodeDepartures): boolean {
    const table = this._tables.get(node) ?? new DepartureTable()
    const isChanged = departures.map(departure => table.record(departure)).includes(true)
    if (!isChanged) return false
    this._tables.delete(node)
    this._tables.set(node, table)
    if (this._tables.size > MAX_DEPARTURE_NODES) this._tables.delete(this._tables.keys().next().value as NodeId)
    return true
  }

  /** Returns the departures beside a node, the oldest first. */
  public find (node: NodeId): Departure[] {
    return this._tables.get(node)?.departures ?? []
  }

  /** Returns whether all of these are stored. */
  public covers ({ node, departures }: NodeDepartures): boolean {
    const table = this._tables.get(node)
    return table !== undefined && departures.every(departure => table.covers(departure))
  }

  /** Returns the state as plain data; undefined before the first departure. */
  public snapshot (): readonly NodeDepartures[] | undefined {
    if (this._tables.size === 0) return undefined
    return [...this._tables].map(([node, { departures }]) => ({ node, departures }))
  }

  /** Replaces the state by that of a snapshot. */
  public restore (snapshot: readonly NodeDepartures[] = []): void {
    this._tables.clear()
    snapshot.forEach(departures => this.apply(departures))
  }
}
