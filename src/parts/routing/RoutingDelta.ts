import type { RoutingConfiguration, RoutingDifference, VersionedRouting } from './Types.js'

interface Named {
  readonly name: string
}

/** The part of a difference or patch that changes a configuration. */
export type RoutingEdit = Omit<RoutingDifference, 'from' | 'version'>

/**
 * Applies an edit to a configuration. Items keep their place; new ones come last.
 * @param configuration The configuration before.
 * @param edit Items to add or replace by name, and names to remove.
 */
export function applyEdit (configuration: RoutingConfiguration, edit: RoutingEdit): RoutingConfiguration {
  return {
    routes: mergeByName(configuration.routes, edit.upsertRoutes, edit.removeRoutes),
    services: mergeByName(configuration.services, edit.upsertServices, edit.removeServices),
    limits: edit.limits ?? configuration.limits
  }
}

/**
 * Returns what changed between two versions.
 * @param before The earlier one.
 * @param after The later one.
 */
export function findDifference (before: VersionedRouting, after: VersionedRouting): RoutingDifference {
  const from = before.configuration
  const to = after.configuration
  const sameLimits = JSON.stringify(from.limits) === JSON.stringify(to.limits)
  return {
    from: before.version,
    version: after.version,
    upsertRoutes: findChanged(from.routes, to.routes),
    upsertServices: findChanged(from.services, to.services),
    removeRoutes: findMissing(from.routes, to.routes),
    removeServices: findMissing(from.services, to.services),
    ...(sameLimits ? {} : { limits: to.limits })
  }
}

function mergeByName<Item extends Named> (
  items: readonly Item[], upserts: readonly Item[], removals: readonly string[]
): readonly Item[] {
  if (upserts.length === 0 && removals.length === 0) return items
  const merged = new Map(items.map(item => [item.name, item]))
  removals.forEach(name => merged.delete(name))
  upserts.forEach(item => merged.set(item.name, item))
  return [...merged.values()]
}

function findChanged<Item extends Named> (before: readonly Item[], after: readonly Item[]): Item[] {
  if (before === after) return []
  const known = new Map(before.map(item => [item.name, item]))
  return after.filter(item => {
    const earlier = known.get(item.name)
    return earlier !== item && JSON.stringify(earlier) !== JSON.stringify(item)
  })
}

function findMissing (before: readonly Named[], after: readonly Named[]): string[] {
  if (before === after) return []
  const kept = new Set(after.map(item => item.name))
  return before.filter(item => !kept.has(item.name)).map(item => item.name)
}
