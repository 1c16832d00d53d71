import { INVALID_EXCESS_US, MAX_TIMEOUT_US } from './Constants.js'
import type { ConfigurationDocument, OrderContent, OrderRecord, RouteDocument } from './Types.js'

const DURATION_PATTERN = /^(\d+)(?:\.(\d+))?(ms|s)$/

/** Digits of a duration's unit in microseconds. */
const UNIT_DIGITS: Readonly<Record<string, number>> = { ms: 3, s: 6 }

const EMPTY_DOCUMENT: ConfigurationDocument = { Routes: [], Services: [], Limits: {} }

/** A configuration that may be in force, with the one that it builds on; the root is the state before any order. */
export interface ModelState {
  readonly version: bigint
  readonly order: OrderRecord | undefined
  readonly parent: ModelState | undefined
  readonly document: ConfigurationDocument
}

/** State before the first configuration. */
export const ROOT_STATE: ModelState = { version: 0n, order: undefined, parent: undefined, document: EMPTY_DOCUMENT }

/** Returns a duration in microseconds, exactly; undefined for text that is no duration. */
export function parseDuration (text: unknown): bigint | undefined {
  const [, whole, fraction = '', unit] = DURATION_PATTERN.exec(String(text)) ?? []
  if (whole === undefined || unit === undefined) return undefined
  const digits = UNIT_DIGITS[unit] as number
  return BigInt(whole) * 10n ** BigInt(digits) + BigInt(fraction.slice(0, digits).padEnd(digits, '0'))
}

/** Returns the configuration that an order makes of another one. */
export function applyContent (content: OrderContent, base: ConfigurationDocument): ConfigurationDocument {
  if (content.type === 'put') return content.document
  const { Upsert = {}, Remove = {} } = content.patch
  return {
    Routes: replaceByName(base.Routes, Upsert.Routes, Remove.Routes),
    Services: replaceByName(base.Services, Upsert.Services, Remove.Services),
    Limits: base.Limits
  }
}

/** Returns why the pages call an order invalid on top of a state; undefined when it is valid. */
export function findProblem (order: OrderRecord, base: ModelState): string | undefined {
  if (order.unreadable !== undefined) return order.unreadable
  if (BigInt(order.version) <= base.version) return 'its version is not above that of its base'
  const { Routes, Services } = applyContent(order.content, base.document)
  const services = new Set(Services.map(({ Name }) => Name))
  return Routes.map(route => findRouteProblem(route, services)).find(problem => problem !== undefined)
}

/** Returns the services to which a configuration may send a request; empty when no route matches. */
export function listDestinations ({ Routes }: ConfigurationDocument, host: string, path: string): readonly string[] {
  const matches = Routes.filter(({ Host, PathPrefix }) => Host === host && path.startsWith(PathPrefix))
  const [longest] = matches.sort((a, b) => b.PathPrefix.length - a.PathPrefix.length)
  return longest === undefined ? [] : servicesOf(longest)
}

/** Returns text that is equal for configurations that say the same. */
export function canonicalText ({ Routes, Services, Limits }: ConfigurationDocument): string {
  const byName = (items: ReadonlyArray<{ readonly Name: string }>): object[] =>
    [...items].sort((a, b) => a.Name < b.Name ? -1 : 1).map(canonicalItem)
  return JSON.stringify([byName(Routes), byName(Services), canonicalItem(Limits)])
}

function findRouteProblem (route: RouteDocument, services: ReadonlySet<string>): string | undefined {
  if (route.Host === '') return `${route.Name} has an empty host`
  const unknown = servicesOf(route).find(service => !services.has(service))
  if (unknown !== undefined) return `${route.Name} names the unknown service ${unknown}`
  const [timeout, target] = [parseDuration(route.Timeout), parseDuration(route.TargetLatency)]
  if (timeout === undefined || target === undefined) return `${route.Name} has no timeout that can be read`
  if (timeout > MAX_TIMEOUT_US) return `${route.Name} has a timeout over ten minutes`
  return target - timeout >= INVALID_EXCESS_US ? `${route.Name} has a target a minute above its timeout` : undefined
}

function servicesOf ({ Service, TrafficSplit }: RouteDocument): readonly string[] {
  return TrafficSplit === undefined ? [Service ?? ''] : TrafficSplit.map(share => share.Service)
}

function replaceByName<Item extends { readonly Name: string }> (
  items: readonly Item[], upserted: readonly Item[] = [], removed: readonly string[] = []
): readonly Item[] {
  const names = new Set([...upserted.map(({ Name }) => Name), ...removed])
  return [...items.filter(({ Name }) => !names.has(Name)), ...upserted]
}

/** Sorts the fields and writes durations in one unit. */
function canonicalItem (item: object): object {
  const fields = Object.entries(item).sort(([a], [b]) => a < b ? -1 : 1)
  return Object.fromEntries(fields.map(([name, value]) => [name, parseDuration(value)?.toString() ?? value]))
}
