import type { RoutingDelta, VersionedRouting, Workspace } from '../parts/routing/Types.js'
import { computeKeyDigest } from '../runtime/Digest.js'

/** Returns a configuration as nodes receive it: with the digests of the API keys in place of the keys. */
export function redactKeys (routing: VersionedRouting): VersionedRouting {
  const { workspaces } = routing.configuration
  if (workspaces === undefined) return routing
  return { ...routing, configuration: { ...routing.configuration, workspaces: workspaces.map(redactWorkspace) } }
}

/** Returns a delta as nodes receive it; see `redactKeys`. */
export function redactDeltaKeys (delta: RoutingDelta): RoutingDelta {
  const { upsertWorkspaces } = delta
  if (upsertWorkspaces === undefined) return delta
  return { ...delta, upsertWorkspaces: upsertWorkspaces.map(redactWorkspace) }
}

/** Unknown members are left out, as they may hold secrets too. */
function redactWorkspace ({ unknownMembers: _, ...workspace }: Workspace): Workspace {
  return { ...workspace, keys: workspace.keys.map(computeKeyDigest) }
}
