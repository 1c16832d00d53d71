import { MAX_OBJECTIVE_EXCESS_MS, MAX_ROUTE_TIMEOUT_MS } from './Constants.js'
import type { Finding, Route, RoutingConfiguration, Workspace } from './Types.js'

/** Checks one property of a route; undefined when the route meets the rule. */
type RouteRule = (route: Route, services: ReadonlySet<string>) => Omit<Finding, 'place'> & { readonly field: string } | undefined

/** Rules that each route must meet, in the order in which findings are reported. */
const ROUTE_RULES: readonly RouteRule[] = [
  route => route.host === ''
    ? { field: 'host', problem: 'is empty', expected: 'a host name' }
    : undefined,
  route => route.pathPrefix.startsWith('/') && route.pathPrefix.endsWith('/')
    ? undefined
    : { field: 'pathPrefix', problem: `is "${route.pathPrefix}"`, expected: 'a path that begins and ends with a slash' },
  route => route.timeoutMs > 0 && route.timeoutMs <= MAX_ROUTE_TIMEOUT_MS
    ? undefined
    : { field: 'timeout', problem: `is ${route.timeoutMs} ms`, expected: `above 0 and at most ${MAX_ROUTE_TIMEOUT_MS} ms` },
  route => route.latencyObjectiveMs - route.timeoutMs < MAX_OBJECTIVE_EXCESS_MS
    ? undefined
    : {
        field: 'latencyObjective',
        problem: `is ${route.latencyObjectiveMs - route.timeoutMs} ms above the timeout`,
        expected: `less than ${MAX_OBJECTIVE_EXCESS_MS} ms above it`
      },
  (route, services) => {
    const unknown = listServices(route).find(service => !services.has(service))
    return unknown === undefined
      ? undefined
      : { field: 'destination', problem: `names the unknown service "${unknown}"`, expected: 'a service of this configuration' }
  },
  route => {
    const { destination } = route
    if (destination.type === 'service' || destination.shares.some(share => share.weight > 0)) return undefined
    return { field: 'destination', problem: 'has no weight above 0', expected: 'a share that takes requests' }
  }
]

/**
 * Validates a complete configuration.
 * @returns All findings; empty when the configuration is valid.
 */
export function validateRouting ({ routes, services, workspaces = [] }: RoutingConfiguration): Finding[] {
  const serviceNames = new Set(services.map(service => service.name))
  const findings = routes.flatMap((route, index) => validateRoute(route, index, serviceNames))
  findings.push(...findDuplicates('routes', 'name', routes.map(route => route.name)))
  findings.push(...findDuplicates('routes', 'host and pathPrefix', routes.map(route => `${route.host}${route.pathPrefix}`)))
  findings.push(...findDuplicates('services', 'name', services.map(service => service.name)))
  findings.push(...findDuplicates('workspaces', 'name', workspaces.map(workspace => workspace.name)))
  findings.push(...findSharedKeys(workspaces))
  return findings
}

/**
 * Finds routes with the same prefix whose hosts differ only in case, of which the table of routes would serve only one.
 * @returns All findings.
 */
export function findHostClashes ({ routes }: RoutingConfiguration): Finding[] {
  const places = routes.map(({ host, pathPrefix }) => `${host.toLowerCase()}${pathPrefix}`)
  return findDuplicates('routes', 'host, in any case, and pathPrefix', places)
}

/**
 * Returns the names of the services that a route may send requests to.
 * @param route The route.
 */
export function listServices ({ destination }: Route): readonly string[] {
  return destination.type === 'service' ? [destination.service] : destination.shares.map(share => share.service)
}

function validateRoute (route: Route, index: number, services: ReadonlySet<string>): Finding[] {
  return ROUTE_RULES.flatMap(rule => {
    const finding = rule(route, services)
    if (finding === undefined) return []
    const { field, problem, expected } = finding
    return [{ place: `routes[${index}].${field}`, problem, expected }]
  })
}

/** Names the workspaces rather than the key, which must not appear in an answer or a log. */
function findSharedKeys (workspaces: readonly Workspace[]): Finding[] {
  const ownerByKey = new Map<string, string>()
  return workspaces.flatMap(({ name, keys }, index) => {
    const owner = keys.map(key => ownerByKey.get(key)).find(other => other !== undefined)
    keys.forEach(key => ownerByKey.set(key, name))
    if (owner === undefined || owner === name) return []
    return [{
      place: `workspaces[${index}].keys`,
      problem: `has a key in common with the workspace "${owner}", here "${name}"`,
      expected: 'keys that no other workspace has'
    }]
  })
}

function findDuplicates (list: string, field: string, values: readonly string[]): Finding[] {
  const seen = new Map<string, number>()
  return values.flatMap((value, index) => {
    const first = seen.get(value)
    if (first === undefined) {
      seen.set(value, index)
      return []
    }
    return [{ place: `${list}[${index}]`, problem: `repeats the ${field} of ${list}[${first}]`, expected: `a ${field} of its own` }]
  })
}
