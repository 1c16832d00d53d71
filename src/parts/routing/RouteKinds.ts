import type { RouteKind } from './Types.js'

/** Returns whether the requests of a route may run at most once for each attempt of the caller. */
export function isAtMostOnce (kind: RouteKind): boolean {
  return kind === 'once' || kind === 'upload'
}
