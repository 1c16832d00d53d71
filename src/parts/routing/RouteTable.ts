import type { Random, ServiceName } from '../Types.js'
import { normalizeHost, withoutPort } from './RequestTarget.js'
import { WeightedRoundRobin } from './WeightedRoundRobin.js'
import type { Route, RoutedService, VersionedRouting } from './Types.js'

/** A route, and the choice of a service for each of its requests. */
export interface RouteEntry {
  readonly route: Route
  /** Returns the service of the route's next request. */
  nextService (): ServiceName
}

/**
 * Routing table: finds the route of a request by its host and the longest matching path prefix.
 *
 * Memory: one entry for each route.
 */
export class RouteTable {
  public readonly version: number
  private readonly _services: ReadonlyMap<ServiceName, RoutedService>
  /** Routes of each host by their path prefix. */
  private readonly _byHost = new Map<string, Map<string, RouteEntry>>()

  /**
   * @param routing Configuration in force.
   * @param random Randomises the start of each weighted round robin.
   * @param previous Table to replace; its round robins continue for routes whose destination is unchanged.
   */
  public constructor (routing: VersionedRouting, random: Random, previous?: RouteTable) {
    this.version = routing.version
    this._services = new Map(routing.configuration.services.map(service => [service.name, service]))
    const earlier = new Map(previous?._entries().map(entry => [entry.route.name, entry]))
    for (const route of routing.configuration.routes) this._add(route, earlier.get(route.name), random)
  }

  /** Names of all services. */
  public get services (): Iterable<ServiceName> {
    return this._services.keys()
  }

  /**
   * Returns a service by its name, or undefined when the configuration lacks it.
   * @param name Name of the service.
   */
  public findService (name: ServiceName): RoutedService | undefined {
    return this._services.get(name)
  }

  /**
   * Returns the route of a request, or undefined when none matches.
   * @param host Host of the request, with or without a port. Routes whose host has that port go before the others.
   * @param path Path of the request, without a query.
   */
  public find (host: string, path: string): RouteEntry | undefined {
    const normalized = normalizeHost(host)
    const hostOnly = withoutPort(normalized)
    return this._findAt(normalized, path) ?? (hostOnly === normalized ? undefined : this._findAt(hostOnly, path))
  }

  private _findAt (host: string, path: string): RouteEntry | undefined {
    const byPrefix = this._byHost.get(host)
    if (byPrefix === undefined) return undefined
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can match.
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const entry = byPrefix.get(path.slice(0, end + 1))
      if (entry !== undefined) return entry
      if (end === 0) return undefined
    }
    return undefined
  }

  private _entries (): RouteEntry[] {
    return [...this._byHost.values()].flatMap(byPrefix => [...byPrefix.values()])
  }

  private _add (route: Route, earlier: RouteEntry | undefined, random: Random): void {
    const host = normalizeHost(route.host)
    const byPrefix = this._byHost.get(host) ?? new Map<string, RouteEntry>()
    const other = byPrefix.get(route.pathPrefix)
    // Hosts that differ in letter case only are one host. The order of the routes is not the same at all nodes.
    if (other !== undefined && other.route.name < route.name) return
    byPrefix.set(route.pathPrefix, makeEntry(route, earlier, random))
    this._byHost.set(host, byPrefix)
  }
}

function makeEntry (route: Route, earlier: RouteEntry | undefined, random: Random): RouteEntry {
  const { destination } = route
  if (destination.type === 'service') return { route, nextService: () => destination.service }
  const isUnchanged = earlier !== undefined && JSON.stringify(earlier.route.destination) === JSON.stringify(destination)
  if (isUnchanged) return { route, nextService: earlier.nextService }
  const roundRobin = new WeightedRoundRobin(destination.shares, random.next())
  return { route, nextService: () => roundRobin.next() }
}
