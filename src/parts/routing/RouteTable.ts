import type { Random, ServiceName } from '../Types.js'
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
  private readonly _byHost = new Map<string, RouteEntry[]>()

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
    for (const entries of this._byHost.values()) entries.sort(compareByPrefixLength)
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
   * @param host Host of the request, in lower case and without a port.
   * @param path Path of the request, without a query.
   */
  public find (host: string, path: string): RouteEntry | undefined {
    return this._byHost.get(host)?.find(entry => path.startsWith(entry.route.pathPrefix))
  }

  private _entries (): RouteEntry[] {
    return [...this._byHost.values()].flat()
  }

  private _add (route: Route, earlier: RouteEntry | undefined, random: Random): void {
    const host = route.host.toLowerCase()
    const entries = this._byHost.get(host) ?? []
    entries.push(makeEntry(route, earlier, random))
    this._byHost.set(host, entries)
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

function compareByPrefixLength (a: RouteEntry, b: RouteEntry): number {
  return b.route.pathPrefix.length - a.route.pathPrefix.length
}
