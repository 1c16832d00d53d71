import fc from 'fast-check'
import { expect, test } from 'vitest'
import { NODE_BURST, NODE_MEMBERS_PER_SECOND } from './Constants.js'
import { compareContent } from './MemberOrder.js'
import { MembershipTable, type TableOptions } from './MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent, MemberState } from './Types.js'

const SEED = 4_050
const SCHEDULES = 600
const STEPS = 60
const SETTLE_MS = 60_000
const TICK_MS = 1_000
const REPLICAS = ['r1', 'r2']
const NODES = ['n1', 'n2', 'n3', 'n4']
const SERVICES = ['menus', 'orders']

type Fault = (table: MembershipTable) => void
type Step = readonly [number, number]

interface Site {
  table: MembershipTable
  /** Newest content that this run of the table has held, by node. */
  seen: Map<string, Member>
}

interface Upstream {
  member: Member
  alive: boolean
  home: string | undefined
}

interface Message {
  readonly from: string
  readonly to: string
  readonly event: MembershipEvent
}

/** Two control replicas and four nodes, joined by links that delay, lose, repeat and reorder. */
class World {
  private readonly fault: Fault
  private readonly sites = new Map<string, Site>()
  private readonly upstreams = new Map<string, Upstream>()
  private network: Message[] = []
  private nowMs = 0
  private cut = false

  private readonly kinds: ReadonlyArray<(pick: number) => void> = [
    (pick) => this.announce(pick),
    (pick) => this.move(pick),
    (pick) => this.restart(pick),
    (pick) => this.crash(pick),
    (pick) => this.restartReplica(pick),
    (pick) => this.deliver(pick, false),
    (pick) => this.deliver(pick, false),
    (pick) => this.deliver(pick, true),
    (pick) => this.lose(pick),
    () => this.beat(),
    (pick) => this.tick(pick % 1_000),
    (pick) => { this.nowMs += pick % 5_000 },
    (pick) => this.feed(REPLICAS[pick % 2] as string, { type: 'tick' }),
    (pick) => this.cutReplicas(pick % 2 === 0)
  ]

  public constructor (fault: Fault) {
    this.fault = fault
    REPLICAS.forEach((name) => this.site(name, { role: 'replica' }))
    this.joinReplicas()
    NODES.forEach((node, index) => {
      const service = SERVICES[index % 2] as string
      this.upstreams.set(node, { member: memberOf(node, service), alive: true, home: undefined })
      this.site(node, { role: 'node', self: node })
      this.connect(node, REPLICAS[index % 2] as string)
    })
  }

  public run (steps: readonly Step[]): void {
    for (const [kind, pick] of steps) {
      const act = this.kinds[kind % this.kinds.length] as (pick: number) => void
      act(pick)
    }
    this.settle()
  }

  private site (name: string, options: Partial<TableOptions>): void {
    const table = new MembershipTable(options)
    this.fault(table)
    this.sites.set(name, { table, seen: new Map() })
  }

  private upstream (pick: number): Upstream {
    return this.upstreams.get(NODES[pick % NODES.length] as string) as Upstream
  }

  private joinReplicas (): void {
    if (this.cut) {
      return
    }
    for (const [index, name] of REPLICAS.entries()) {
      const other = REPLICAS[1 - index] as string
      this.feed(name, { type: 'interest', from: other, services: ['*'] })
    }
  }

  /** A node attaches to a control replica; it may announce itself with a new sequence or with the old one. */
  private connect (node: string, home: string, anew = true): void {
    const upstream = this.upstreams.get(node) as Upstream
    this.disconnect(node)
    upstream.home = home
    if (anew) {
      this.tell(upstream, {})
    }
    this.feed(node, { type: 'interest', from: home, services: ['*'] })
    const digests = (this.sites.get(node) as Site).table.digests()
    this.network.push({ from: node, to: home, event: { type: 'interest', from: node, services: SERVICES, digests } })
  }

  private disconnect (node: string): void {
    const upstream = this.upstreams.get(node) as Upstream
    const { home } = upstream
    if (home === undefined) {
      return
    }
    upstream.home = undefined
    this.feed(home, { type: 'lost', from: node })
    this.feed(node, { type: 'lost', from: home })
    this.network = this.network.filter(({ from, to }) => from !== node && to !== node)
  }

  private tell (upstream: Upstream, change: Partial<Member>): void {
    upstream.member = { ...upstream.member, sequence: upstream.member.sequence + 1, ...change }
    this.feed(upstream.member.node, { type: 'announce', member: upstream.member })
  }

  private announce (pick: number): void {
    const upstream = this.upstream(pick)
    const states: MemberState[] = ['starting', 'serving', 'draining', 'left']
    if (upstream.alive) {
      this.tell(upstream, { state: states[Math.floor(pick / 4) % 4] as MemberState })
    }
  }

  private move (pick: number): void {
    const upstream = this.upstream(pick)
    if (upstream.alive) {
      this.connect(upstream.member.node, REPLICAS[Math.floor(pick / 4) % 2] as string, pick % 3 === 0)
    }
  }

  private restart (pick: number): void {
    const upstream = this.upstream(pick)
    const { node, incarnation } = upstream.member
    this.disconnect(node)
    this.site(node, { role: 'node', self: node })
    upstream.member = { ...upstream.member, incarnation: incarnation + 1, sequence: 0, state: 'serving' }
    upstream.alive = true
    this.connect(node, REPLICAS[Math.floor(pick / 4) % 2] as string)
  }

  private crash (pick: number): void {
    const upstream = this.upstream(pick)
    this.disconnect(upstream.member.node)
    upstream.alive = false
  }

  private restartReplica (pick: number): void {
    const name = REPLICAS[pick % 2] as string
    const attached = [...this.upstreams.values()].filter((upstream) => upstream.home === name)
    attached.forEach((upstream) => this.disconnect(upstream.member.node))
    this.network = this.network.filter(({ from, to }) => from !== name && to !== name)
    this.feed(REPLICAS[1 - pick % 2] as string, { type: 'lost', from: name })
    this.site(name, { role: 'replica' })
    this.joinReplicas()
    attached.forEach((upstream) => this.connect(upstream.member.node, REPLICAS[1 - pick % 2] as string))
  }

  private cutReplicas (cut: boolean): void {
    if (this.cut === cut) {
      return
    }
    this.cut = cut
    this.joinReplicas()
    this.network = this.network.filter((message) => !this.isCut(message))
    if (cut) {
      this.feed('r1', { type: 'lost', from: 'r2' })
      this.feed('r2', { type: 'lost', from: 'r1' })
    }
  }

  private isCut ({ from, to }: Pick<Message, 'from' | 'to'>): boolean {
    return this.cut && REPLICAS.includes(from) && REPLICAS.includes(to)
  }

  private beat (): void {
    for (const { member, alive, home } of this.upstreams.values()) {
      if (alive && home !== undefined) {
        const { node, incarnation, sequence } = member
        this.network.push({ from: node, to: home, event: { type: 'heartbeat', node, incarnation, sequence } })
      }
    }
  }

  private tick (ms: number): void {
    this.nowMs += ms
    for (const name of this.sites.keys()) {
      if (this.upstreams.get(name)?.alive !== false) {
        this.feed(name, { type: 'tick' })
      }
    }
  }

  private deliver (pick: number, keep: boolean): void {
    const index = pick % (this.network.length || 1)
    const message = this.network[index]
    if (message === undefined) {
      return
    }
    if (!keep) {
      this.network.splice(index, 1)
    }
    this.feed(message.to, message.event)
  }

  /** The interest opens a connection: it can't be lost while the connection stays. */
  private lose (pick: number): void {
    const index = pick % (this.network.length || 1)
    if (this.network[index]?.event.type !== 'interest') {
      this.network.splice(index, 1)
    }
  }

  private feed (name: string, event: MembershipEvent): void {
    const site = this.sites.get(name) as Site
    const actions = site.table.step(event, this.nowMs)
    this.checkOrder(site)
    for (const action of actions) {
      this.send(name, action)
    }
  }

  private send (from: string, action: MembershipAction): void {
    if (action.type === 'sendBeats') {
      this.network.push({ from, to: action.to, event: { type: 'beats', from, beats: action.beats } })
    } else if (action.type === 'sendDigest') {
      this.network.push({ from, to: action.to, event: { type: 'digest', from, digests: action.digests } })
    } else if (action.type === 'send') {
      const own = action.members[0]
      const event: MembershipEvent = own?.node === from
        ? { type: 'announce', member: own }
        : { type: 'merge', from, members: action.members, ...(action.whole ? { whole: action.whole } : {}) }
      this.network.push({ from, to: action.to, event })
    }
  }

  private checkOrder (site: Site): void {
    for (const member of site.table.members()) {
      const seen = site.seen.get(member.node)
      if (seen !== undefined && compareContent(member, seen) < 0) {
        throw new Error('a table went back to stale news')
      }
      site.seen.set(member.node, member)
    }
  }

  private settle (): void {
    this.cutReplicas(false)
    for (const { member, alive, home } of this.upstreams.values()) {
      if (alive && home === undefined) {
        this.connect(member.node, REPLICAS[0] as string)
      }
    }
    for (let passed = 0; passed < SETTLE_MS; passed += TICK_MS) {
      this.beat()
      this.tick(TICK_MS)
      while (this.network.length > 0) {
        this.deliver(0, false)
      }
    }
    const wanted = this.truth()
    for (const [name, { table }] of this.sites) {
      if (this.upstreams.get(name)?.alive !== false) {
        expect([name, SERVICES.flatMap((service) => table.membersOf(service).map(told)).sort()]).toEqual([name, wanted])
      }
    }
  }

  private truth (): string[] {
    return [...this.upstreams.values()]
      .filter(({ member, alive }) => alive && member.state !== 'left')
      .map(({ member }) => told(member))
      .sort()
  }
}

function told (member: Member): string {
  return `${member.node} ${member.incarnation} ${member.state}`
}

function memberOf (node: string, service: string, change: Partial<Member> = {}): Member {
  const address = '127.0.0.1:7000'
  const place = { region: 'lappi', zone: 'z1' }
  return { node, service, incarnation: 1, sequence: 0, state: 'serving', address, place, slots: 9, ...change }
}

const steps = fc.array(fc.tuple(fc.nat(13), fc.nat(9_999)), { maxLength: STEPS, size: 'max' })

function holds (fault: Fault) {
  return fc.property(steps, (schedule) => new World(fault).run(schedule))
}

function finding (fault: Fault): string {
  const result = fc.check(holds(fault), { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
  return result.failed ? String(result.errorInstance) : 'nothing'
}

test('tables converge and never go back', () => {
  fc.assert(holds(() => {}), { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
})

test('finds stale news that resurrects', () => {
  expect(finding((table) => {
    const { store } = { store: table['store'] }
    const take = store.take.bind(store)
    store.take = (member, direct, nowMs) => {
      const entry = store.get(member.node)
      if (entry !== undefined && compareContent(member, entry.member) < 0) {
        store['replace'](entry, member)
      }
      return take(member, direct, nowMs)
    }
  })).toContain('went back to stale news')
})

test('finds silence that nobody notices', () => {
  expect(finding((table) => { table['expireLeases'] = () => [] })).toContain('expected')
})

test('finds lost messages that no digest repairs', () => {
  expect(finding((table) => { table['tellDigests'] = () => [] })).toContain('expected')
})

test('finds silence of a cut-off replica taken over later signs of life', () => {
  expect(finding((table) => {
    const { store } = { store: table['store'] }
    const take = store.take.bind(store)
    store.take = (member, direct, nowMs) => {
      const entry = store.get(member.node)
      return entry !== undefined && member.silent ? store.silence(entry, nowMs) : take(member, direct, nowMs)
    }
    table['renew'] = () => []
  })).toContain('expected')
})

test('joins, changes, drains, restarts, silence, returns and leaves are told apart', () => {
  const table = new MembershipTable({ role: 'replica' })
  const types: string[] = []
  const step = (event: MembershipEvent, nowMs: number) => {
    types.push(...table.step(event, nowMs).map((action) => action.type))
  }
  const announce = (change: Partial<Member>, nowMs: number) => {
    step({ type: 'announce', member: memberOf('n1', 'menus', change) }, nowMs)
  }
  announce({ sequence: 1, state: 'starting' }, 0)
  announce({ sequence: 2, state: 'serving' }, 10)
  announce({ sequence: 3, state: 'draining' }, 20)
  announce({ incarnation: 2, sequence: 1, state: 'serving' }, 30)
  for (let nowMs = 1_000; nowMs <= 4_000; nowMs += 1_000) {
    step({ type: 'tick' }, nowMs)
  }
  step({ type: 'heartbeat', node: 'n1', incarnation: 1, sequence: 9 }, 4_100)
  step({ type: 'heartbeat', node: 'n1', incarnation: 2, sequence: 1 }, 4_200)
  announce({ incarnation: 2, sequence: 2, state: 'left' }, 4_300)
  announce({ incarnation: 2, sequence: 1, state: 'serving' }, 4_400)
  announce({ incarnation: 3, sequence: 1, state: 'serving' }, 4_500)
  expect(types).toEqual(['joined', 'changed', 'changed', 'restarted', 'silent', 'joined', 'left', 'restarted'])
})

test('a replica that was frozen calls nobody silent for that', () => {
  const table = new MembershipTable({ role: 'replica' })
  table.step({ type: 'announce', member: memberOf('n1', 'menus') }, 0)
  table.step({ type: 'tick' }, 100)
  expect(table.step({ type: 'tick' }, 30_000)).toEqual([])
  expect(table.counters.frozen).toBe(1)
  table.step({ type: 'tick' }, 31_000)
  table.step({ type: 'tick' }, 32_000)
  expect(table.step({ type: 'tick' }, 33_000)).toMatchObject([{ type: 'silent' }])
})

test('members that left are kept up to a bound and for a time', () => {
  const table = new MembershipTable({ role: 'replica', maxTombstones: 10, tombstoneMs: 5_000 })
  for (let number = 0; number < 50; number += 1) {
    table.step({ type: 'announce', member: memberOf(`n${number}`, 'menus') }, 0)
    const left = memberOf(`n${number}`, 'menus', { sequence: 1, state: 'left' })
    table.step({ type: 'announce', member: left }, 0)
  }
  expect(table.members().length).toBe(10)
  for (let nowMs = 1_000; nowMs <= 5_000; nowMs += 1_000) {
    table.step({ type: 'tick' }, nowMs)
  }
  expect(table.members()).toEqual([])
})

test('a member that flaps is sent to a node within its rate, with its last state', () => {
  const table = new MembershipTable({ role: 'replica' })
  table.step({ type: 'interest', from: 'n9', services: ['menus'] }, 0)
  const sent: Member[] = []
  for (let sequence = 1; sequence <= 2_000; sequence += 1) {
    const member = memberOf('n1', 'menus', { sequence, slots: sequence })
    const actions = table.step({ type: 'announce', member }, sequence)
    sent.push(...actions.flatMap((action) => action.type === 'send' ? action.members : []))
  }
  // The burst, and the rate for 2 s.
  expect(sent.length).toBeLessThanOrEqual(NODE_BURST + 2 * NODE_MEMBERS_PER_SECOND)
  const last = table.step({ type: 'tick' }, 3_000).flatMap((action) => action.type === 'send' ? action.members : [])
  expect([...sent, ...last].at(-1)?.slots).toBe(2_000)
})

test('a node forgets a member that control only knows as silent in an older sequence', () => {
  const table = new MembershipTable({ role: 'node', self: 'n9' })
  table.step({ type: 'merge', from: 'home', members: [memberOf('n1', 'menus', { sequence: 5 })] }, 0)
  const whole = { from: 'home', members: [memberOf('n1', 'menus', { sequence: 4, silent: true })], whole: ['menus'] }
  const forgotten: number[] = []
  for (let nowMs = 0; nowMs <= 40_000; nowMs += 10_000) {
    if (table.step({ type: 'merge', ...whole }, nowMs).some((action) => action.type === 'silent')) {
      forgotten.push(nowMs)
    }
  }
  expect([forgotten, table.membersOf('menus')]).toEqual([[30_000], []])
})
