import type { RoutingConfiguration, RoutingDelta, VersionedRouting, Workspace } from './Types.js'

interface NamedItem {
  readonly name: string
}

/** Items to add, replace and remove; a delta or a change of type `patch` without its versions. */
export type RoutingPatch = Omit<RoutingDelta, 'from' | 'version'>

/**
 * Returns a configuration with a patch applied. Replaced items keep their position; new ones come last.
 * @param configuration Configuration before the patch.
 * @param patch Items to add or replace by name, and names to remove.
 */
export function applyPatch (configuration: RoutingConfiguration, patch: RoutingPatch): RoutingConfiguration {
  return {
    routes: mergeByName(configuration.routes, patch.upsertRoutes, patch.removeRoutes),
    services: mergeByName(configuration.services, patch.upsertServices, patch.removeServices),
    limits: patch.limits ?? configuration.limits,
    ...mergeWorkspaces(configuration, patch),
    ...(configuration.unknownMembers === undefined ? {} : { unknownMembers: configuration.unknownMembers })
  }
}

/**
 * Returns the delta between two versions.
 * @param before Earlier version.
 * @param after Later version.
 */
export function computeDelta (before: VersionedRouting, after: VersionedRouting): RoutingDelta {
  const from = before.configuration
  const to = after.configuration
  const limitsUnchanged = JSON.stringify(from.limits) === JSON.stringify(to.limits)
  return {
    from: before.version,
    version: after.version,
    upsertRoutes: findChanged(from.routes, to.routes),
    upsertServices: findChanged(from.services, to.services),
    removeRoutes: findMissing(from.routes, to.routes),
    removeServices: findMissing(from.services, to.services),
    ...computeWorkspaceDelta(from, to),
    ...(limitsUnchanged ? {} : { limits: to.limits })
  }
}

/** Returns the number of routes, services, workspaces and keys of a configuration, as a measure of its size. */
export function countItems ({ routes, services, workspaces = [] }: RoutingConfiguration): number {
  return routes.length + services.length + countWorkspaceItems(workspaces)
}

/** Returns the number of items that a delta adds, replaces or removes, counted as by `countItems`. */
export function countDeltaItems (delta: RoutingDelta): number {
  const { upsertWorkspaces = [], removeWorkspaces = [] } = delta
  const lists = [delta.upsertRoutes, delta.removeRoutes, delta.upsertServices, delta.removeServices, removeWorkspaces]
  return lists.reduce((items, list) => items + list.length, countWorkspaceItems(upsertWorkspaces))
}

/**
 * Returns one delta with the effect of several, so that an item that has changed repeatedly is named once.
 * @param deltas At least one, oldest first, each from the version of the one before.
 */
export function mergeDeltas (deltas: readonly RoutingDelta[]): RoutingDelta {
  const first = deltas[0]!
  if (deltas.length === 1) return first
  const routes = mergeChanges(deltas.map(({ upsertRoutes, removeRoutes }) => [upsertRoutes, removeRoutes]))
  const services = mergeChanges(deltas.map(({ upsertServices, removeServices }) => [upsertServices, removeServices]))
  const withWorkspaces = deltas.filter(delta => (delta.upsertWorkspaces ?? delta.removeWorkspaces) !== undefined)
  const workspaces = mergeChanges(withWorkspaces.map(({ upsertWorkspaces = [], removeWorkspaces = [] }) => {
    return [upsertWorkspaces, removeWorkspaces]
  }))
  const limits = deltas.findLast(delta => delta.limits !== undefined)?.limits
  return {
    from: first.from,
    version: deltas.at(-1)!.version,
    upsertRoutes: routes.upserts,
    upsertServices: services.upserts,
    removeRoutes: routes.removals,
    removeServices: services.removals,
    ...(withWorkspaces.length === 0
      ? {}
      : { upsertWorkspaces: workspaces.upserts, removeWorkspaces: workspaces.removals }),
    ...(limits === undefined ? {} : { limits })
  }
}

/** An item that was removed and added again is both, since it has lost its position. */
function mergeChanges<Item extends NamedItem> (
  changes: ReadonlyArray<readonly [upserts: readonly Item[], removals: readonly string[]]>
): { readonly upserts: readonly Item[], readonly removals: readonly string[] } {
  const upserts = new Map<string, Item>()
  const removals = new Set<string>()
  for (const [added, removed] of changes) {
    for (const name of removed) {
      upserts.delete(name)
      removals.add(name)
    }
    added.forEach(item => upserts.set(item.name, item))
  }
  return { upserts: [...upserts.values()], removals: [...removals] }
}

/** A configuration that has had workspaces keeps an empty list: removing the last one does not lift the keys. */
function mergeWorkspaces (
  { workspaces }: RoutingConfiguration, { upsertWorkspaces, removeWorkspaces }: RoutingPatch
): Pick<RoutingConfiguration, 'workspaces'> {
  const isUnchanged = upsertWorkspaces === undefined && removeWorkspaces === undefined
  if (isUnchanged) return workspaces === undefined ? {} : { workspaces }
  return { workspaces: mergeByName(workspaces ?? [], upsertWorkspaces ?? [], removeWorkspaces ?? []) }
}

/** Nothing is added where neither version has workspaces. */
function computeWorkspaceDelta (
  from: RoutingConfiguration, to: RoutingConfiguration
): Pick<RoutingDelta, 'upsertWorkspaces' | 'removeWorkspaces'> {
  if (from.workspaces === to.workspaces || to.workspaces === undefined) return {}
  const before = from.workspaces ?? []
  return {
    upsertWorkspaces: findChanged(before, to.workspaces),
    removeWorkspaces: findMissing(before, to.workspaces)
  }
}

function mergeByName<Item extends NamedItem> (
  items: readonly Item[], upserts: readonly Item[], removals: readonly string[]
): readonly Item[] {
  if (upserts.length === 0 && removals.length === 0) return items
  const merged = new Map(items.map(item => [item.name, item]))
  removals.forEach(name => merged.delete(name))
  upserts.forEach(item => merged.set(item.name, item))
  return [...merged.values()]
}

function findChanged<Item extends NamedItem> (before: readonly Item[], after: readonly Item[]): Item[] {
  if (before === after) return []
  const beforeByName = new Map(before.map(item => [item.name, item]))
  return after.filter(item => {
    const earlier = beforeByName.get(item.name)
    return earlier !== item && JSON.stringify(earlier) !== JSON.stringify(item)
  })
}

function findMissing (before: readonly NamedItem[], after: readonly NamedItem[]): string[] {
  if (before === after) return []
  const kept = new Set(after.map(item => item.name))
  return before.filter(item => !kept.has(item.name)).map(item => item.name)
}

function countWorkspaceItems (workspaces: readonly Workspace[]): number {
  return workspaces.reduce((items, { keys }) => items + 1 + keys.length, 0)
}
