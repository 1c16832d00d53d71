import type { Random, ServiceName } from '../Types.js'
import { WeightedRoundRobin } from './WeightedRoundRobin.js'
import type { Route, RoutedService, VersionedRouting } from './Types.js'

/** A route with the state that choosing a service needs. */
export interface RouteEntry {
  readonly route: Route
  /** Returns the service of the route's next request. */
  nextService (): ServiceName
}

/**
 * Finds the route of a request: the longest path prefix among the routes of its host.
 *
 * Memory: one entry for each route.
 */
export class RouteTable {
  public readonly version: number
  private readonly _services: ReadonlyMap<ServiceName, RoutedService>
  private readonly _byHost = new Map<string, RouteEntry[]>()

  /**
   * @param routing Configuration in force.
   * @param random Spreads the start of rotations.
   * @param before Earlier table, whose rotations go on where the split has not changed.
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
   * Returns the service with a name.
   * @param name The name.
   */
  public findService (name: ServiceName): RoutedService | undefined {
    return this._services.get(name)
  }

  /**
   * Returns the route of a request, or undefined when none matches.
   * @param host Host of the request, without a port.
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
  const rotation = new WeightedRoundRobin(destination.shares, random.next())
  return { route, nextService: () => rotation.next() }
}

function compareByPrefixLength (a: RouteEntry, b: RouteEntry): number {
  return b.route.pathPrefix.length - a.route.pathPrefix.length
}
