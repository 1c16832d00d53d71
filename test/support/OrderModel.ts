import fc from 'fast-check'

/** A JSON object. */
type Json = Record<string, unknown>

/** An order as bytes are made of it. */
export interface GeneratedOrder {
  readonly type: 'replace' | 'patch'
  /** JSON of the order, whose versions are `BASE` and `NEXT` until they are filled in. */
  readonly text: string
}

/** Lists of a configuration by the names of their members; the lists are undefined while they were never sent. */
interface Configuration {
  readonly Routes: readonly Json[]
  readonly Services: readonly Json[]
  readonly Tenants?: readonly Json[] | undefined
  readonly Limits: Json
  readonly others: Json
}

const LISTS = ['Routes', 'Services', 'Tenants'] as const

const KINDS = ['idempotent', 'non_idempotent', 'download', 'upload']

/** Places behind the point of a duration in seconds. */
const DURATION_PLACES = 400

/** Host and prefix of a route. */
function placeOf ({ Host, PathPrefix }: Json): string {
  return `${String(Host)}${String(PathPrefix)}`
}

/** Mostly one of some good values, now and then one that is doubtful or wrong. */
function mostly (good: readonly unknown[], others: readonly unknown[]): fc.Arbitrary<unknown> {
  const rare = { weight: 1, arbitrary: fc.constantFrom(...others) }
  return fc.oneof({ weight: 60, arbitrary: fc.constantFrom(...good) }, rare)
}

const durations = (good: readonly string[]): fc.Arbitrary<unknown> => mostly(
  [...good, '1.005s', '0.0355s', '29.000ms'], ['', '5', 5, '-1ms', '1e3ms', '1 s', '.5s', '2m', null, '600.001s', '601000ms']
)
const names = (good: readonly string[]): fc.Arbitrary<unknown> => mostly(good, ['', 7, null, ['a']])

const WRONG_NUMBERS = [-1, 0.5, '3', null, true, 1e300]

const share = fc.record({ Service: names(['s', 't', 's', 'u']), Weight: mostly([1, 90, 0.5, 0], [-1, '1']) })

const route = fc.record({
  Name: names(['r-1', 'r-2', 'r-3', 'r-4', 'é\u{1f600}', '__r']),
  Host: mostly(['h.example', 'i.example', 'H.other'], ['', 1]),
  PathPrefix: mostly(['/', '/a/', '/a/b/', '/c/', '/d/', '/e/'], ['', 'a', '/a', 'a/', 9]),
  RouteKind: mostly(KINDS, ['', 'Idempotent', 1]),
  Timeout: durations(['1500ms', '1.5s', '600s', '600000ms']),
  TargetLatency: durations(['600ms', '0ms', '0.25s', '61s']),
  Priority: mostly([0, 1, 9], WRONG_NUMBERS),
  MaxAttempts: mostly([1, 2, 3], WRONG_NUMBERS),
  Service: fc.option(names(['s', 't', 'u']), { nil: undefined }),
  TrafficSplit: fc.option(fc.array(share, { maxLength: 3 }), { nil: undefined }),
  Public: mostly([undefined, true, false], ['no']),
  Note: mostly([undefined, 'x', { a: [1, null] }], [[]])
}).map(value => value.Service !== undefined && value.TrafficSplit !== undefined && value.Priority !== 9
  ? { ...value, TrafficSplit: undefined }
  : value)

const service = fc.record({
  Name: names(['s', 't', 'u']),
  HealthPath: mostly(['/healthz', '/h?x=1'], ['', 'h', '/a b', '/\n', 3]),
  MaxConnections: mostly([0, 220], WRONG_NUMBERS),
  Protocol: mostly(['h1', ''], [1]),
  Tls: mostly([true, false], ['false', 0]),
  ColdStart: mostly([undefined, '3s'], ['3']),
  ColdPerS: mostly([undefined, 7.7, 0], [-1, '7'])
})

const tenant = fc.record({
  Name: names(['w', 'x', 'y']),
  ApiKeys: fc.uniqueArray(names(['k1', 'k2', 'k3', 'k4', 'k5', 'k6', 'k7', 'k8']), { maxLength: 2 }),
  Priority: mostly([undefined, 1], WRONG_NUMBERS),
  RatePerS: mostly([undefined, 162, 0.5], [-1, '1'])
})

const limits = fc.record({
  MaxHeaderBytes: mostly([16384, 0], WRONG_NUMBERS),
  MaxBodyBytes: mostly([1000, 67108864], WRONG_NUMBERS),
  HeaderTimeout: durations(['3000ms', '3s']),
  IdleTimeout: durations(['15000ms'])
})

const routes = fc.uniqueArray(route, { maxLength: 4, selector: placeOf })
const services = fc.uniqueArray(service, { minLength: 1, maxLength: 3, selector: ({ Name }) => Name })
const tenants = fc.array(tenant, { maxLength: 2 })

const puts = fc.record({
  Version: mostly(['NEXT'], ['BASE', 'SAME', 'r1', '7', 8, 'r99999999999999999999']),
  BaseVersion: mostly(['BASE'], ['b2', '', 'r', 0.5, -1]),
  Routes: fc.oneof({ weight: 30, arbitrary: routes }, fc.constantFrom(undefined, {}, 'x')),
  Services: services,
  Limits: fc.oneof({ weight: 30, arbitrary: limits }, fc.constantFrom(undefined, [])),
  Tenants: fc.option(tenants, { nil: undefined }),
  Regions: mostly([undefined, ['a']], [{}])
})

const patches = fc.record({
  Version: mostly(['NEXT'], ['BASE', 'r1', '7', 8]),
  BaseVersion: mostly(['BASE'], ['b2', '', 'r']),
  Upsert: fc.option(fc.record({
    Routes: fc.option(fc.uniqueArray(route, { maxLength: 2, selector: ({ Name }) => Name }), { nil: undefined }),
    Services: fc.option(services, { nil: undefined }),
    Tenants: fc.option(fc.uniqueArray(tenant, { maxLength: 1 }), { nil: undefined }),
    Regions: mostly([undefined, []], [[{ Name: 'a' }]])
  }), { nil: undefined }),
  Remove: fc.option(fc.record({
    Routes: fc.option(fc.array(names(['r-1', 'r-2', 'gone']), { maxLength: 2 }), { nil: undefined }),
    Services: mostly([undefined, [], ['u']], ['u', [1]])
  }), { nil: undefined })
})

/** A first configuration; patches need one to build on. */
export const FIRST_ORDER: GeneratedOrder = {
  type: 'replace',
  text: JSON.stringify({
    Version: 'NEXT',
    BaseVersion: 'BASE',
    Routes: [],
    Services: [],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
  })
}

/** Damage to the text of an order that makes it unreadable or gives it two meanings. */
const damages = mostly(['none'], ['cut', 'repeat', 'surrogate', 'comma'])

/** Orders of which about half are valid. */
export const orders: fc.Arbitrary<GeneratedOrder> = fc.oneof(
  fc.tuple(puts, damages).map(([document, damage]) => ({ type: 'replace' as const, text: spoil(document, damage) })),
  fc.tuple(patches, damages).map(([document, damage]) => ({ type: 'patch' as const, text: spoil(document, damage) }))
)

function spoil (document: Json, damage: unknown): string {
  const text = JSON.stringify(document)
  if (damage === 'cut') return text.slice(0, -1)
  if (damage === 'comma') return `${text.slice(0, -1)},}`
  if (damage === 'repeat') return `${text.slice(0, -1)},"Version":"NEXT"}`
  if (damage === 'surrogate') return `${text.slice(0, -1)},"x":"\\ud800"}`
  return text
}

/** Fills the versions of an order in. */
export function fillVersions (text: string, current: number): string {
  const base = current === 0 ? '0' : `"r${current}"`
  return text.replaceAll('"BaseVersion":"BASE"', `"BaseVersion":${base}`)
    .replaceAll('"NEXT"', `"r${current + 2}"`).replaceAll('"BASE"', `"r${current}"`).replaceAll('"SAME"', `"r${current}"`)
}

/**
 * What the group should do with orders: a judge of their validity that follows the platform's protocol page and shares
 * nothing with the schemas, and the configuration in force.
 */
export class OrderModel {
  public version = 0
  private _inForce: Configuration = { Routes: [], Services: [], Limits: {}, others: {} }

  /** Judges an order, and brings it into force if it is valid. */
  public take ({ type }: GeneratedOrder, text: string): boolean {
    const order = readText(text)
    if (order === undefined || !isVersion(order['Version']) || Number(order['Version'].slice(1)) <= this.version) return false
    if (order['BaseVersion'] !== (this.version === 0 ? 0 : `r${this.version}`)) return false
    const next = type === 'replace' ? replace(order) : merge(this._inForce, order)
    if (next === undefined || !isValid(next)) return false
    this._inForce = next
    this.version = Number(order['Version'].slice(1))
    return true
  }

  /** The configuration in force, with durations in one form. */
  public get expected (): unknown {
    const { others, ...lists } = this._inForce
    return normalise({ Version: `r${this.version}`, ...lists, ...others })
  }
}

/** Brings a configuration into a form in which equal ones are equal. */
export function normalise (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(item => normalise(item))
  if (typeof value !== 'object' || value === null) return scaleDuration(value) ?? value
  const members = Object.entries(value).filter(([, item]) => item !== undefined)
  return Object.fromEntries(members.map(([key, item]) => [key, normalise(item)]))
}

/** The duration as a whole number of very small units. */
function scaleDuration (value: unknown): bigint | undefined {
  const match = typeof value === 'string' ? /^([0-9]+)\.?([0-9]*)(m?s)$/.exec(value) : null
  if (match === null || /\.(?:m?s)$/.test(match[0])) return undefined
  const scaled = BigInt(`${match[1]!}${match[2]!.padEnd(DURATION_PLACES, '0')}`)
  return match[3] === 's' ? 1000n * scaled : scaled
}

const MINUTE = 60_000n * 10n ** BigInt(DURATION_PLACES)

function isVersion (value: unknown): value is string {
  return typeof value === 'string' && /^r[0-9]{1,15}$/.test(value)
}

/** Returns undefined for a text that can't be read in full; the generator repeats a member only at its end. */
function readText (text: string): Json | undefined {
  if (text.includes('\\ud800') || /,"Version":"[^"]*"}$/.test(text)) return undefined
  try {
    return JSON.parse(text) as Json
  } catch {
    return undefined
  }
}

function replace (order: Json): Configuration | undefined {
  const { Version: _version, BaseVersion: _base, Routes, Services, Tenants, Limits, ...others } = order
  if (![Routes, Services, Tenants ?? []].every(Array.isArray)) return undefined
  return { Routes, Services, Tenants, Limits, others } as Configuration
}

function merge (current: Configuration, { Upsert = {}, Remove = {} }: Json): Configuration | undefined {
  const upsert = Upsert as Record<string, readonly Json[] | undefined>
  const remove = Remove as Record<string, unknown>
  if ((upsert['Regions'] ?? []).length > 0) return undefined
  const next: Record<string, unknown> = { ...current }
  for (const list of LISTS) {
    const removed = remove[list] ?? []
    if (!Array.isArray(removed) || removed.some(name => typeof name !== 'string' || name === '')) return undefined
    const upserted = upsert[list] ?? []
    if (upserted.some(({ Name }) => removed.includes(Name))) return undefined
    if (upsert[list] === undefined && remove[list] === undefined) continue
    const items = [...current[list] ?? []].filter(({ Name }) => !removed.includes(Name))
    for (const item of upserted) {
      const index = items.findIndex(({ Name }) => Name === item['Name'])
      items.splice(index < 0 ? items.length : index, 1, item)
    }
    next[list] = items
  }
  return next as unknown as Configuration
}

const isName = (value: unknown): boolean => typeof value === 'string' && value !== ''
const isRate = (value: unknown): boolean => typeof value === 'number' && value >= 0
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0
const isAbsentOr = (value: unknown, check: (value: unknown) => boolean): boolean => value === undefined || check(value)
const isUnique = (values: readonly unknown[]): boolean => new Set(values).size === values.length

function isValid ({ Routes, Services, Tenants = [], Limits }: Configuration): boolean {
  const known = new Set(Services.map(({ Name }) => Name))
  const keys = Tenants.flatMap(({ ApiKeys }) => ApiKeys as unknown[])
  return Routes.every(item => isRoute(item, known)) && Services.every(isService) &&
    Tenants.every(isTenant) && isLimits(Limits) &&
    [Routes, Services, Tenants].every(list => isUnique(list.map(({ Name }) => Name))) && isUnique(keys) &&
    isUnique(Routes.map(placeOf))
}

function isRoute (item: Json, known: ReadonlySet<unknown>): boolean {
  const timeout = scaleDuration(item['Timeout'])
  const latency = scaleDuration(item['TargetLatency'])
  const prefix = item['PathPrefix']
  const split = item['TrafficSplit'] as readonly Json[] | undefined
  const targets = split?.map(({ Service }) => Service) ?? [item['Service']]
  return isName(item['Name']) && isName(item['Host']) && KINDS.includes(String(item['RouteKind'])) &&
    typeof prefix === 'string' && prefix.startsWith('/') && prefix.endsWith('/') &&
    timeout !== undefined && timeout > 0n && timeout <= 10n * MINUTE &&
    latency !== undefined && latency - timeout < MINUTE &&
    isCount(item['Priority']) && isCount(item['MaxAttempts']) && Number(item['MaxAttempts']) > 0 &&
    (split === undefined) !== (item['Service'] === undefined) && targets.every(target => known.has(target)) &&
    (split?.every(({ Weight }) => isRate(Weight)) ?? true) &&
    (split?.some(({ Weight }) => Number(Weight) > 0) ?? true) &&
    isAbsentOr(item['Public'], value => typeof value === 'boolean')
}

function isService (item: Json): boolean {
  const path = item['HealthPath']
  return isName(item['Name']) && typeof path === 'string' && /^\/[!-~]*$/.test(path) &&
    isCount(item['MaxConnections']) && typeof item['Protocol'] === 'string' && typeof item['Tls'] === 'boolean' &&
    isAbsentOr(item['ColdStart'], value => scaleDuration(value) !== undefined) && isAbsentOr(item['ColdPerS'], isRate)
}

function isTenant (item: Json): boolean {
  return isName(item['Name']) && (item['ApiKeys'] as unknown[]).every(isName) && isAbsentOr(item['Priority'], isCount) &&
    isAbsentOr(item['RatePerS'], isRate)
}

function isLimits (item: Json | undefined): boolean {
  return item !== undefined && isCount(item['MaxHeaderBytes']) && isCount(item['MaxBodyBytes']) &&
    scaleDuration(item['HeaderTimeout']) !== undefined && scaleDuration(item['IdleTimeout']) !== undefined
}
