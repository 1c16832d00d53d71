import fc from 'fast-check'
import { compareAnnouncements } from '../../src/parts/membership/MemberOrder.js'
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
  private readonly _fault: TableFault
  private readonly _sites = new Map<string, Site>()
  private readonly _upstreams = new Map<string, Upstream>()
  private _network: Message[] = []
  private _nowMs = 0
  private _cut = false

  private readonly _kinds: ReadonlyArray<(pick: number) => void> = [
    (pick) => this._announce(pick),
    (pick) => this._move(pick),
    (pick) => this._restart(pick),
    (pick) => this._crash(pick),
    (pick) => this._restartReplica(pick),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, true),
    (pick) => this._lose(pick),
    () => this._beat(),
    (pick) => this._tick(pick % 1_000),
    (pick) => { this._nowMs += pick % 5_000 },
    (pick) => this._feed(REPLICAS[pick % 2] as string, { type: 'tick' }),
    (pick) => this._cutReplicas(pick % 2 === 0)
  ]

  /**
   * @param fault Takes a mechanism away, or does nothing.
   */
  public constructor (fault: TableFault) {
    this._fault = fault
    REPLICAS.forEach((name) => this._site(name, { role: 'replica' }))
    this._joinReplicas()
    NODES.forEach((node, index) => {
      const service = SERVICES[index % 2] as string
      this._upstreams.set(node, { member: memberOf(node, service), alive: true, home: undefined })
      this._site(node, { role: 'node', self: node })
      this._connect(node, REPLICAS[index % 2] as string)
    })
  }

  /**
   * Runs a schedule, settles and throws at the first broken promise.
   * @param steps Kind and choice of each step.
   */
  public run (steps: readonly MembershipStep[]): void {
    for (const [kind, pick] of steps) {
      const act = this._kinds[kind % this._kinds.length] as (pick: number) => void
      act(pick)
    }
    this._settle()
  }

  private _site (name: string, options: Partial<TableOptions>): void {
    const table = new MembershipTable(options)
    this._fault(table)
    this._sites.set(name, { table, seen: new Map() })
  }

  private _upstream (pick: number): Upstream {
    return this._upstreams.get(NODES[pick % NODES.length] as string) as Upstream
  }

  private _joinReplicas (): void {
    if (this._cut) {
      return
    }
    for (const [index, name] of REPLICAS.entries()) {
      const other = REPLICAS[1 - index] as string
      this._feed(name, { type: 'interest', from: other, services: ['*'] })
    }
  }

  /** A node attaches to a control replica; it may announce itself with a new sequence or with the old one. */
  private _connect (node: string, home: string, anew = true): void {
    const upstream = this._upstreams.get(node) as Upstream
    this._disconnect(node)
    upstream.home = home
    if (anew) {
      this._tell(upstream, {})
    }
    this._feed(node, { type: 'interest', from: home, services: ['*'] })
    const digests = (this._sites.get(node) as Site).table.digests()
    this._network.push({ from: node, to: home, event: { type: 'interest', from: node, services: SERVICES, digests } })
  }

  private _disconnect (node: string): void {
    const upstream = this._upstreams.get(node) as Upstream
    const { home } = upstream
    if (home === undefined) {
      return
    }
    upstream.home = undefined
    this._feed(home, { type: 'lost', from: node })
    this._feed(node, { type: 'lost', from: home })
    this._network = this._network.filter(({ from, to }) => from !== node && to !== node)
  }

  private _tell (upstream: Upstream, change: Partial<Member>): void {
    upstream.member = { ...upstream.member, sequence: upstream.member.sequence + 1, ...change }
    this._feed(upstream.member.node, { type: 'announce', member: upstream.member })
  }

  private _announce (pick: number): void {
    const upstream = this._upstream(pick)
    const states: MemberState[] = ['starting', 'serving', 'draining', 'left']
    if (upstream.alive) {
      this._tell(upstream, { state: states[Math.floor(pick / 4) % 4] as MemberState })
    }
  }

  private _move (pick: number): void {
    const upstream = this._upstream(pick)
    if (upstream.alive) {
      this._connect(upstream.member.node, REPLICAS[Math.floor(pick / 4) % 2] as string, pick % 3 === 0)
    }
  }

  private _restart (pick: number): void {
    const upstream = this._upstream(pick)
    const { node, incarnation } = upstream.member
    this._disconnect(node)
    this._site(node, { role: 'node', self: node })
    upstream.member = { ...upstream.member, incarnation: incarnation + 1, sequence: 0, state: 'serving' }
    upstream.alive = true
    this._connect(node, REPLICAS[Math.floor(pick / 4) % 2] as string)
  }

  private _crash (pick: number): void {
    const upstream = this._upstream(pick)
    this._disconnect(upstream.member.node)
    upstream.alive = false
  }

  private _restartReplica (pick: number): void {
    const name = REPLICAS[pick % 2] as string
    const attached = [...this._upstreams.values()].filter((upstream) => upstream.home === name)
    attached.forEach((upstream) => this._disconnect(upstream.member.node))
    this._network = this._network.filter(({ from, to }) => from !== name && to !== name)
    this._feed(REPLICAS[1 - pick % 2] as string, { type: 'lost', from: name })
    this._site(name, { role: 'replica' })
    this._joinReplicas()
    attached.forEach((upstream) => this._connect(upstream.member.node, REPLICAS[1 - pick % 2] as string))
  }

  private _cutReplicas (cut: boolean): void {
    if (this._cut === cut) {
      return
    }
    this._cut = cut
    this._joinReplicas()
    this._network = this._network.filter((message) => !this._isCut(message))
    if (cut) {
      this._feed('r1', { type: 'lost', from: 'r2' })
      this._feed('r2', { type: 'lost', from: 'r1' })
    }
  }

  private _isCut ({ from, to }: Pick<Message, 'from' | 'to'>): boolean {
    return this._cut && REPLICAS.includes(from) && REPLICAS.includes(to)
  }

  private _beat (): void {
    for (const { member, alive, home } of this._upstreams.values()) {
      if (alive && home !== undefined) {
        const { node, incarnation, sequence } = member
        this._network.push({ from: node, to: home, event: { type: 'heartbeat', node, incarnation, sequence } })
      }
    }
  }

  private _tick (ms: number): void {
    this._nowMs += ms
    for (const name of this._sites.keys()) {
      if (this._upstreams.get(name)?.alive !== false) {
        this._feed(name, { type: 'tick' })
      }
    }
  }

  private _deliver (pick: number, keep: boolean): void {
    const index = pick % (this._network.length || 1)
    const message = this._network[index]
    if (message === undefined) {
      return
    }
    if (!keep) {
      this._network.splice(index, 1)
    }
    this._feed(message.to, message.event)
  }

  /** The interest opens a connection: it can't be lost while the connection stays. */
  private _lose (pick: number): void {
    const index = pick % (this._network.length || 1)
    if (this._network[index]?.event.type !== 'interest') {
      this._network.splice(index, 1)
    }
  }

  private _feed (name: string, event: MembershipEvent): void {
    const site = this._sites.get(name) as Site
    const actions = site.table.step(event, this._nowMs)
    // Only these bring content; what a table holds is compared with all that it ever held.
    if (event.type === 'announce' || event.type === 'merge') {
      this._checkOrder(site)
    }
    for (const action of actions) {
      this._send(name, action)
    }
  }

  private _send (from: string, action: MembershipAction): void {
    if (action.type === 'sendBeats') {
      this._network.push({ from, to: action.to, event: { type: 'beats', from, beats: action.beats } })
    } else if (action.type === 'sendDigest') {
      this._network.push({ from, to: action.to, event: { type: 'digest', from, digests: action.digests } })
    } else if (action.type === 'send') {
      const own = action.members[0]
      const event: MembershipEvent = own?.node === from
        ? { type: 'announce', member: own }
        : { type: 'merge', from, members: action.members, ...(action.whole ? { whole: action.whole } : {}) }
      this._network.push({ from, to: action.to, event })
    }
  }

  private _checkOrder (site: Site): void {
    for (const member of site.table.members()) {
      const seen = site.seen.get(member.node)
      if (seen !== undefined && compareAnnouncements(member, seen) < 0) {
        throw new Error('a table went back to stale news')
      }
      site.seen.set(member.node, member)
    }
  }

  private _settle (): void {
    this._cutReplicas(false)
    for (const { member, alive, home } of this._upstreams.values()) {
      if (alive && home === undefined) {
        this._connect(member.node, REPLICAS[0] as string)
      }
    }
    for (let passed = 0; passed < SETTLE_MS; passed += TICK_MS) {
      this._beat()
      this._tick(TICK_MS)
      while (this._network.length > 0) {
        this._deliver(0, false)
      }
    }
    const wanted = this._truth()
    for (const [name, site] of this._sites) {
      const { table } = site
      this._checkOrder(site)
      if (this._upstreams.get(name)?.alive !== false) {
        const known = SERVICES.flatMap((service) => table.membersOf(service).map(told)).sort()
        if (known.join() !== wanted.join()) {
          throw new Error(`${name} knows ${known.join()} where ${wanted.join()} live`)
        }
      }
    }
  }

  private _truth (): string[] {
    return [...this._upstreams.values()]
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
