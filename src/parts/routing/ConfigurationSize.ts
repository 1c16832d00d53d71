import type { RoutingConfiguration } from './Types.js'

/**
 * Measures configurations. The sizes of their items are kept, as versions share most items, which never change.
 *
 * Memory: one number for each item of the configurations in use.
 */
export class ConfigurationSize {
  private readonly _itemBytes = new WeakMap<object, number>()

  /** Returns the size of a configuration as JSON, in bytes. */
  public measure ({ routes, services, limits, workspaces = [], unknownMembers = '' }: RoutingConfiguration): number {
    let bytes = Buffer.byteLength(unknownMembers)
    for (const items of [routes, services, workspaces, [limits]]) {
      for (const item of items) bytes += this._measureItem(item)
    }
    return bytes
  }

  private _measureItem (item: object): number {
    const known = this._itemBytes.get(item)
    if (known !== undefined) return known
    // An item is followed by a comma.
    const bytes = Buffer.byteLength(JSON.stringify(item)) + 1
    this._itemBytes.set(item, bytes)
    return bytes
  }
}
