import type { Random } from '../../src/parts/Types.js'
import { applyContent } from './ConfigurationModel.js'
import type { ConfigurationDocument, OrderContent, OrderRecord, PatchDocument, RouteDocument } from './Types.js'

/** Hosts of the routes; a request to another one matches no route. */
export const HOSTS = ['one.example', 'two.example'] as const

/** Kinds of orders whose faults are known and that can be left out so that others show. */
export const KNOWN_ORDER_KINDS = ['non-utf8', 'huge-version', 'duplicate-key', 'fractional-duration'] as const

/** Routes of the first configuration that orders move, and added routes that are kept before the oldest are removed. */
const MOVING_ROUTES = 4
const KEPT_ADDED_ROUTES = 40

/** Largest step between two versions. */
const MAX_VERSION_STEP = 5

/** A version above 2^53, in steps of one. */
const HUGE_VERSION_OFFSET = 9_007_199_254_740_993n

/** A configuration with its version, as an operator knows it. */
export interface KnownConfiguration {
  readonly version: bigint
  readonly document: ConfigurationDocument
}

/** An order with the bytes that are sent. */
export interface PreparedOrder {
  readonly record: OrderRecord
  readonly path: string
  readonly bytes: Buffer
  /** The configuration that it makes of its base. */
  readonly result: KnownConfiguration
}

/** Changes of a plain order that make it invalid or unusual. */
interface OrderVariant {
  readonly editRoute?: (route: RouteDocument) => RouteDocument
  readonly editVersion?: (version: bigint, base: bigint) => bigint
  readonly editBytes?: (text: string) => Buffer
  readonly unreadable?: string
}

const editText = (edit: (text: string) => string) => (text: string): Buffer => Buffer.from(edit(text))

/** Orders that the pages call invalid. */
const INVALID_VARIANTS: Readonly<Record<string, OrderVariant>> = {
  'unknown-service': { editRoute: ({ TrafficSplit: _split, ...route }) => ({ ...route, Service: 'nowhere' }) },
  'long-timeout': { editRoute: route => ({ ...route, Timeout: '600001ms' }) },
  'long-timeout-fraction': { editRoute: route => ({ ...route, Timeout: '600.001s' }) },
  'late-target': { editRoute: route => ({ ...route, Timeout: '1500ms', TargetLatency: '61500ms' }) },
  'empty-host': { editRoute: route => ({ ...route, Host: '' }) },
  'same-version': { editVersion: (_version, base) => base },
  'older-version': { editVersion: (_version, base) => base === 0n ? 0n : base - 1n },
  'cut-body': { editBytes: editText(text => text.slice(0, -2)), unreadable: 'its body is cut' },
  'no-json': { editBytes: editText(text => `${text}}`), unreadable: 'its body is no JSON' },
  'no-version': { editBytes: editText(text => text.replace('"Version"', '"Wersion"')), unreadable: 'it has no version' },
  'no-timeout': { editBytes: editText(text => text.replaceAll('"Timeout"', '"Timeoot"')), unreadable: 'a route has no timeout' },
  'non-utf8': {
    editRoute: route => ({ ...route, Name: `${route.Name}~` }),
    editBytes: text => Buffer.concat(text.split('~').flatMap((part, index) => [...index === 0 ? [] : [Buffer.of(0xff)], Buffer.from(part)])),
    unreadable: 'a name is no UTF-8'
  },
  'duplicate-key': { editBytes: editText(text => text.replace('{', '{"BaseVersion":"r1",')), unreadable: 'a key stands twice' }
}

/** Orders that are valid and near a bound. */
const VALID_VARIANTS: Readonly<Record<string, OrderVariant>> = {
  'longest-timeout': { editRoute: route => ({ ...route, Timeout: '600s' }) },
  'latest-target': { editRoute: route => ({ ...route, Timeout: '1500ms', TargetLatency: '61499ms' }) },
  'fractional-duration': { editRoute: route => ({ ...route, Timeout: '1.005s', TargetLatency: '0.29s' }) },
  'huge-version': { editVersion: version => version < HUGE_VERSION_OFFSET ? version + HUGE_VERSION_OFFSET : version }
}

/** Draws orders; each adds a route of its own, so that its effect can be told from all others. */
export class OrderGenerator {
  private _count = 0

  /**
   * @param _random Source of all choices.
   * @param _services Services of the instances.
   * @param _without Kinds of orders that are left out.
   */
  public constructor (
    private readonly _random: Random,
    private readonly _services: readonly string[],
    private readonly _without: readonly string[]
  ) {}

  /** The first configuration. */
  public first (): PreparedOrder {
    const indices = [...Array(MOVING_ROUTES).keys()]
    const moving = HOSTS.flatMap(host => indices.map(index => this._route(`moving-${index}-${host}`, host, `/moving-${index}/`)))
    const Services = this._services.map(Name => ({ Name, ...SERVICE_DEFAULTS }))
    const Limits = { MaxHeaderBytes: 16384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
    const base = { version: 0n, document: { Routes: [], Services: [], Limits: {} } }
    return this._prepare('first', base, 1n, { type: 'put', document: { Routes: moving, Services, Limits } }, {})
  }

  /** A valid change on top of a configuration; sometimes near a bound. */
  public valid (base: KnownConfiguration, version = this._nextVersion(base)): PreparedOrder {
    const names = this._remaining(VALID_VARIANTS)
    const kind = this._random.next() < 0.2 ? this._pick(names) : 'valid'
    return this._draw(kind, base, version, VALID_VARIANTS[kind] ?? {})
  }

  /** A change that must be refused. */
  public invalid (base: KnownConfiguration): PreparedOrder {
    const kind = this._pick(this._remaining(INVALID_VARIANTS))
    return this._draw(kind, base, this._nextVersion(base), INVALID_VARIANTS[kind] as OrderVariant)
  }

  private _remaining (variants: Readonly<Record<string, OrderVariant>>): string[] {
    return Object.keys(variants).filter(name => !this._without.includes(name))
  }

  private _draw (kind: string, base: KnownConfiguration, version: bigint, variant: OrderVariant): PreparedOrder {
    const { editRoute = route => route } = variant
    const patch = this._drawPatch(base.document, editRoute)
    const content: OrderContent = this._random.next() < 0.5
      ? { type: 'patch', patch }
      : { type: 'put', document: applyContent({ type: 'patch', patch }, base.document) }
    return this._prepare(kind, base, version, content, variant)
  }

  /** Adds a route, moves or splits an old one at times, and removes the oldest added one when there are many. */
  private _drawPatch (
    { Routes }: ConfigurationDocument, editRoute: (route: RouteDocument) => RouteDocument
  ): PatchDocument {
    const name = `added-${this._count}`
    const upserted = [editRoute(this._route(name, this._pick(HOSTS), `/${name}/`))]
    const moved = this._pick(Routes)
    if (this._random.next() < 0.6 && moved !== undefined) {
      const { Service, TrafficSplit, ...rest } = moved
      upserted.push({ ...rest, ...this._destination() })
    }
    const added = Routes.filter(route => route.Name.startsWith('added-') && route.Name !== moved?.Name)
    const removed = added.length > KEPT_ADDED_ROUTES ? [added[0] as RouteDocument] : []
    const patch = { Upsert: { Routes: upserted } }
    return removed.length === 0 ? patch : { ...patch, Remove: { Routes: removed.map(({ Name }) => Name) } }
  }

  private _prepare (
    kind: string, base: KnownConfiguration, drawnVersion: bigint, content: OrderContent, variant: OrderVariant
  ): PreparedOrder {
    const { editVersion = version => version, editBytes = (text: string) => Buffer.from(text), unreadable } = variant
    const version = editVersion(drawnVersion, base.version)
    const fields = content.type === 'put' ? content.document : content.patch
    const BaseVersion = base.version === 0n ? 0 : `r${base.version}`
    const text = JSON.stringify({ Version: `r${version}`, ...fields, BaseVersion })
    const record = { id: ++this._count, version: String(version), base: String(base.version), content, kind }
    return {
      record: unreadable === undefined ? record : { ...record, unreadable },
      path: content.type === 'put' ? '/api/Config.Put' : '/api/Config.Patch',
      bytes: editBytes(text),
      result: { version, document: applyContent(content, base.document) }
    }
  }

  private _route (Name: string, Host: string, PathPrefix: string): RouteDocument {
    return { Name, Host, PathPrefix, Timeout: '1500ms', TargetLatency: '500ms', ...ROUTE_DEFAULTS, ...this._destination() }
  }

  private _destination (): Pick<RouteDocument, 'Service' | 'TrafficSplit'> {
    if (this._random.next() < 0.8) return { Service: this._pick(this._services) }
    const shares = this._services.slice(0, 2)
    return { TrafficSplit: shares.map(Service => ({ Service, Weight: 1 + Math.floor(9 * this._random.next()) })) }
  }

  private _nextVersion ({ version }: KnownConfiguration): bigint {
    return version + 1n + BigInt(Math.floor(MAX_VERSION_STEP * this._random.next()))
  }

  private _pick<Item> (items: readonly Item[]): Item {
    return items[Math.floor(items.length * this._random.next())] as Item
  }
}

/** Fields of all routes and services that no order changes. */
const ROUTE_DEFAULTS = { RouteKind: 'idempotent', Priority: 1, MaxAttempts: 2 } as const
const SERVICE_DEFAULTS = { HealthPath: '/healthz', MaxConnections: 200, Protocol: 'h1', Tls: false } as const
