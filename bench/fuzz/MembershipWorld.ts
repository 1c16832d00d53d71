import fc from 'fast-check'
import { compareContent } from '../../src/parts/membership/MemberOrder.js'
import { MembershipTable, type TableOptions } from '../../src/parts/membership/MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent, MemberState } from '../../src/parts/membership/Types.js'

const STEPS = 60
const SETTLE_MS = 60_000
const TICK_MS = 1_000
const REPLICAS = ['r1', 'r2']
const NODES = ['n1', 'n2', 'n3', 'n4']
const SERVICES = ['menus', 'orders']

/** Takes a mechanism away from a table. */
export type TableFault = (table: MembershipTable) => void
export type MembershipStep = readonly [number, number]

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
export class MembershipWorld {
  private readonly fault: TableFault
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

  /**
   * @param fault Takes a mechanism away, or does nothing.
   */
  public constructor (fault: TableFault) {
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

  /**
   * Runs a schedule, settles and throws at the first broken promise.
   * @param steps Kind and choice of each step.
   */
  public run (steps: readonly MembershipStep[]): void {
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
    // Only these bring content; what a table holds is compared with all that it ever held.
    if (event.type === 'announce' || event.type === 'merge') {
      this.checkOrder(site)
    }
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
    for (const [name, site] of this.sites) {
      const { table } = site
      this.checkOrder(site)
      if (this.upstreams.get(name)?.alive !== false) {
        const known = SERVICES.flatMap((service) => table.membersOf(service).map(told)).sort()
        if (known.join() !== wanted.join()) {
          throw new Error(`${name} knows ${known.join()} where ${wanted.join()} live`)
        }
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

/**
 * Returns a member for schedules and tests.
 * @param node Its node.
 * @param service Its service.
 * @param change What differs from a serving member.
 */
export function memberOf (node: string, service: string, change: Partial<Member> = {}): Member {
  const address = '127.0.0.1:7000'
  const place = { region: 'lappi', zone: 'z1' }
  return { node, service, incarnation: 1, sequence: 0, state: 'serving', address, place, slots: 9, ...change }
}

const steps = fc.array(fc.tuple(fc.nat(13), fc.nat(9_999)), { maxLength: STEPS, size: 'max' })

/**
 * Returns the property that no schedule breaks a promise.
 * @param fault Takes a mechanism away; nothing by default.
 */
export function tablesConverge (fault: TableFault = () => {}) {
  return fc.property(steps, (schedule) => new MembershipWorld(fault).run(schedule))
}
