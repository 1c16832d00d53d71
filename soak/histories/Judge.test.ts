import { expect, test } from 'vitest'
import { judgeHistory } from './Judge.js'
import type { ConfigurationDocument, History, OrderRecord, PatchDocument, RouteDocument } from './Types.js'

const HOST = 'h.example'

function makeRoute (Name: string, Service: string, fields: Partial<RouteDocument> = {}): RouteDocument {
  return { Name, Host: HOST, PathPrefix: `/${Name}/`, Timeout: '1500ms', TargetLatency: '500ms', Service, ...fields }
}

const FIRST: ConfigurationDocument = {
  Routes: [makeRoute('first', 'a')], Services: [{ Name: 'a' }, { Name: 'b' }], Limits: { IdleTimeout: '15s' }
}

function putOrder (
  id: number, version: number, base: number, document: ConfigurationDocument, fields: Partial<OrderRecord> = {}
): OrderRecord {
  return { id, version: String(version), base: String(base), content: { type: 'put', document }, kind: 'valid', ...fields }
}

function patchOrder (id: number, version: number, base: number, patch: PatchDocument): OrderRecord {
  return { id, version: String(version), base: String(base), content: { type: 'patch', patch }, kind: 'valid' }
}

/** Adds the route `name` and moves the first one to service b. */
function makePatch (name: string): PatchDocument {
  return { Upsert: { Routes: [makeRoute(name, 'b'), makeRoute('first', 'b')] } }
}

/** A group of three replicas and two nodes, whose first configuration is r1, acknowledged at 1100 ms. */
class Story {
  public readonly history: History = {
    seed: 0, processes: [], disturbances: [], delays: [], ends: [], orders: [], attempts: [], reads: [], probes: []
  }

  public constructor () {
    for (const name of ['c0', 'c1', 'c2']) this.history.processes.push({ name, role: 'control', fromMs: 0 })
    for (const name of ['n0', 'n1']) this.history.processes.push({ name, role: 'node', fromMs: 0 })
    this.order(putOrder(1, 1, 0, FIRST), 1000, 200)
  }

  /** An order, sent at a time and answered with a status 100 ms later; without an answer for status undefined. */
  public order (order: OrderRecord, sentAtMs: number, status?: number): this {
    if (!this.history.orders.includes(order)) this.history.orders.push(order)
    const answer = status === undefined ? {} : { answeredAtMs: sentAtMs + 100, status }
    this.history.attempts.push({ order: order.id, process: 'n0', sentAtMs, ...answer })
    return this
  }

  public read (sentAtMs: number, version: number, document: ConfigurationDocument, process = 'c0'): this {
    const answer = { answeredAtMs: sentAtMs + 20, status: 200, version: String(version), document }
    this.history.reads.push({ process, incarnation: 1, sentAtMs, ...answer })
    return this
  }

  /** A request on a route; an instance of the service runs it, or it is answered 404 when there is none. */
  public probe (sentAtMs: number, route: string, service?: string, process = 'n0'): this {
    const runs = service === undefined ? [] : [{ service, atMs: sentAtMs + 5 }]
    const answer = { answeredAtMs: sentAtMs + 10, status: service === undefined ? 404 : 200 }
    const request = { process, incarnation: 1, isKept: true, host: HOST, path: `/${route}/x`, sentAtMs }
    this.history.probes.push({ ...request, runs, ...answer })
    return this
  }

  public disturb (process: string, fromMs: number, toMs: number): this {
    this.history.disturbances.push({ process, kind: 'kill', fromMs, toMs })
    return this
  }

  public rules (): string[] {
    return judgeHistory(this.history).map(({ rule }) => rule)
  }
}

const SECOND = patchOrder(2, 3, 1, makePatch('new'))
const SECOND_DOCUMENT: ConfigurationDocument = { ...FIRST, Routes: [makeRoute('first', 'b'), makeRoute('new', 'b')] }

/** r3 on r1 is acknowledged at 20,100 ms. */
const storyOfTwo = (): Story => new Story().order(SECOND, 20_000, 200)

test('a history that keeps all promises has no findings', () => {
  const story = storyOfTwo()
    .order(SECOND, 30_000, 200).order(patchOrder(3, 4, 1, makePatch('lost')), 20_000, 412)
    .order(putOrder(4, 5, 3, FIRST, { unreadable: 'its body is cut' }), 31_000, 400)
    .probe(20_050, 'first', 'a').probe(22_200, 'new', 'b').probe(22_200, 'first', 'b').probe(22_200, 'lost')
    .read(20_050, 1, FIRST).read(22_200, 3, SECOND_DOCUMENT)
  story.history.finalFromMs = 22_000
  expect(story.rules()).toEqual([])
})

test('equal durations in other units are the same configuration', () => {
  const fraction = { ...FIRST, Routes: [makeRoute('first', 'a', { Timeout: '1.005s' })] }
  const whole = { ...FIRST, Routes: [makeRoute('first', 'a', { Timeout: '1005ms' })] }
  expect(new Story().order(putOrder(2, 2, 1, fraction), 5000, 200).read(6000, 2, whole).rules()).toEqual([])
})

test('two acknowledged changes on one base are found', () => {
  expect(storyOfTwo().order(patchOrder(3, 4, 1, makePatch('other')), 20_000, 200).rules()).toEqual(['one-change-per-base'])
})

test('two acknowledged changes with one number are found', () => {
  expect(storyOfTwo().order(patchOrder(3, 3, 1, makePatch('other')), 20_000, 200).rules()).toEqual(['one-change-per-base'])
})

test('an acknowledged change on a base that was never in force is found', () => {
  expect(storyOfTwo().order(patchOrder(3, 9, 7, makePatch('other')), 30_000, 200).rules()).toEqual(['base-in-force'])
})

test('a change on a base without a clear answer may be acknowledged', () => {
  const ahead = patchOrder(3, 9, 7, makePatch('other'))
  expect(storyOfTwo().order(patchOrder(4, 7, 3, makePatch('more')), 30_000).order(ahead, 30_000, 200).rules()).toEqual([])
})

const INVALID: Readonly<Record<string, OrderRecord>> = {
  'unknown service': putOrder(2, 2, 1, { ...FIRST, Routes: [makeRoute('first', 'c')] }),
  'long timeout': putOrder(2, 2, 1, { ...FIRST, Routes: [makeRoute('first', 'a', { Timeout: '600.001s' })] }),
  'late target': putOrder(2, 2, 1, { ...FIRST, Routes: [makeRoute('first', 'a', { TargetLatency: '61500ms' })] }),
  'empty host': putOrder(2, 2, 1, { ...FIRST, Routes: [makeRoute('first', 'a', { Host: '' })] }),
  'same version': putOrder(2, 1, 1, FIRST),
  'removed service': patchOrder(2, 2, 1, { Remove: { Services: ['a'] } }),
  unreadable: putOrder(2, 2, 1, FIRST, { unreadable: 'its body is cut' })
}

test.each(Object.entries(INVALID))('an acknowledged invalid order is found: %s', (_name, order) => {
  expect(new Story().order(order, 5000, 200).rules()).toEqual(['no-invalid-accepted'])
})

test('what builds on an acknowledged invalid order is judged as if it were valid', () => {
  const invalid = putOrder(2, 2, 1, { ...FIRST, Routes: [makeRoute('first', 'c'), makeRoute('old', 'a')] })
  const next = patchOrder(3, 3, 2, { Upsert: { Routes: [makeRoute('first', 'a')] } })
  const document = { ...FIRST, Routes: [makeRoute('first', 'a'), makeRoute('old', 'a')] }
  expect(new Story().order(invalid, 5000, 200).order(next, 6000, 200).read(7000, 3, document).rules())
    .toEqual(['no-invalid-accepted'])
})

test.each(Object.entries(INVALID))('a refused invalid order is no finding: %s', (_name, order) => {
  expect(new Story().order(order, 5000, 400).rules()).toEqual([])
})

test('valid values at the bounds may be acknowledged and not refused', () => {
  const route = makeRoute('first', 'a', { Timeout: '600s', TargetLatency: '659999ms' })
  const order = putOrder(2, 2, 1, { ...FIRST, Routes: [route] })
  expect(new Story().order(order, 5000, 200).rules()).toEqual([])
  expect(new Story().order(order, 5000, 400).rules()).toEqual(['valid-not-refused'])
})

test('a refused order that is read back is found', () => {
  expect(new Story().order(SECOND, 5000, 412).order(patchOrder(3, 2, 1, makePatch('x')), 5000).read(6000, 3, SECOND_DOCUMENT).rules())
    .toEqual(['only-accepted-in-force'])
})

test('a lost order whose route is served is found', () => {
  expect(storyOfTwo().order(patchOrder(3, 4, 1, makePatch('lost')), 20_000, 412).probe(20_300, 'lost', 'b').rules())
    .toEqual(['only-accepted-in-force'])
})

test('an order without a clear answer that another one has beaten must not be in force', () => {
  expect(storyOfTwo().order(patchOrder(3, 4, 1, makePatch('lost')), 20_000).probe(20_300, 'lost', 'b').rules())
    .toEqual(['only-accepted-in-force'])
})

test('an acknowledged order that is refused when it is sent again is found', () => {
  expect(storyOfTwo().order(SECOND, 30_000, 412).rules()).toEqual(['resend-accepted'])
})

test('a read of an older version later than the deadline is found, from a disturbed process too', () => {
  expect(storyOfTwo().read(22_000, 1, FIRST).rules()).toEqual([])
  expect(storyOfTwo().disturb('c0', 21_000, 22_100).read(22_150, 1, FIRST).rules()).toEqual(['no-stale-read'])
})

test('a read that differs from what was sent is found', () => {
  expect(storyOfTwo().read(20_200, 3, FIRST).rules()).toEqual(['read-as-sent'])
})

test('a read of a version that goes back is found, in one incarnation only', () => {
  const story = storyOfTwo().read(20_200, 3, SECOND_DOCUMENT).read(20_500, 1, FIRST)
  expect(story.rules()).toEqual(['no-read-back'])
  expect(storyOfTwo().read(20_200, 3, SECOND_DOCUMENT).read(20_500, 1, FIRST, 'c1').rules()).toEqual([])
})

test('a node that goes back is found after the slack, by the old service and by 404', () => {
  expect(storyOfTwo().probe(20_200, 'first', 'b').probe(20_400, 'first', 'a').rules()).toEqual([])
  expect(storyOfTwo().probe(20_200, 'first', 'b').probe(20_500, 'first', 'a').rules()).toEqual(['no-node-back'])
  expect(storyOfTwo().probe(20_200, 'first', 'b').probe(20_500, 'new').rules()).toEqual(['no-node-back'])
})

test('a route that is missing, moved or still there after the deadline is found', () => {
  expect(storyOfTwo().probe(22_150, 'new').rules()).toEqual(['change-in-force-in-time'])
  expect(storyOfTwo().probe(22_150, 'first', 'a').rules()).toEqual(['change-in-force-in-time'])
  const removal = patchOrder(3, 4, 3, { Remove: { Routes: ['new'] } })
  expect(storyOfTwo().order(removal, 30_000, 200).probe(32_150, 'new', 'b').rules()).toEqual(['change-in-force-in-time'])
})

test('a node out of touch is not judged by the deadline', () => {
  expect(storyOfTwo().disturb('n0', 18_000, 19_200).probe(22_150, 'new').rules()).toEqual([])
  expect(storyOfTwo().disturb('n1', 18_000, 19_200).probe(22_150, 'new').rules()).toEqual(['change-in-force-in-time'])
  const story = storyOfTwo().probe(22_150, 'new')
  story.history.delays.push({ fromMs: 20_000, toMs: 20_400 })
  expect(story.rules()).toEqual([])
})

test('a disturbed replica stretches the deadline, and a lost majority ends it', () => {
  expect(storyOfTwo().disturb('c0', 19_000, 21_000).probe(22_150, 'new').rules()).toEqual([])
  const disturbed = (): Story => storyOfTwo().disturb('c0', 19_000, 25_000)
  expect(disturbed().probe(27_050, 'new').rules()).toEqual([])
  expect(disturbed().probe(27_150, 'new').rules()).toEqual(['change-in-force-in-time'])
  expect(disturbed().disturb('c1', 20_500, 21_000).probe(27_150, 'new').rules()).toEqual([])
})

test('a replica that stays away does not stretch the deadline', () => {
  const story = storyOfTwo().disturb('c0', 15_000, 40_000).probe(22_150, 'new')
  expect(story.rules()).toEqual(['change-in-force-in-time'])
})

test('added routes that fail far more often than the first ones are found', () => {
  const story = storyOfTwo()
  for (let index = 0; index < 40; index++) {
    story.probe(30_000 + index, index % 2 === 0 ? 'first' : 'new', 'b')
    if (index % 2 !== 0) Object.assign(story.history.probes[index] ?? {}, { status: 503, runs: [] })
  }
  expect(story.rules()).toEqual(['added-route-served'])
})

test('an acknowledged change that is gone at the end is found', () => {
  const story = storyOfTwo().read(40_000, 1, FIRST)
  story.history.finalFromMs = 39_000
  expect(story.rules()).toEqual(['accepted-kept'])
})

test('an end without a read is found', () => {
  const story = storyOfTwo().read(30_000, 3, SECOND_DOCUMENT)
  story.history.finalFromMs = 39_000
  expect(story.rules()).toEqual(['read-at-the-end'])
})

test('an order without an acknowledgement in a stable group is found', () => {
  const sent = (fromMs = 20_000): Story =>
    new Story().order(SECOND, fromMs).order(SECOND, fromMs + 1100).order(SECOND, fromMs + 2200)
  expect(sent().rules()).toEqual(['order-acknowledged'])
  expect(sent().order(SECOND, 23_950, 200).rules()).toEqual(['order-acknowledged'])
  expect(sent().order(SECOND, 23_850, 200).rules()).toEqual([])
  expect(sent().disturb('c0', 15_000, 40_000).rules()).toEqual(['order-acknowledged'])
  expect(sent().disturb('c0', 22_000, 22_100).rules()).toEqual([])
  expect(sent(2500).rules()).toEqual([])
})

test('a valid order that is refused although no other was on its way is found', () => {
  expect(new Story().order(SECOND, 20_000, 412).rules()).toEqual(['valid-not-refused'])
})

test('a process that ends by itself is found', () => {
  const story = new Story()
  story.history.ends.push({ process: 'n0', atMs: 5000 })
  expect(story.rules()).toEqual(['no-own-end'])
})
