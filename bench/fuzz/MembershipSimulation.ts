import fc from 'fast-check'
import { compareAnnouncements } from '../../src/parts/membership/MemberOrder.js'
import { MembershipTable, type TableOptions } from '../../src/parts/membership/MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent, MemberState } from '../../src/parts/membership/Types.js'

const MAX_STEPS = 60
const SETTLE_MS = 60_000
const TICK_MS = 1_000
const REPLICAS = ['r1', 'r2']
const NODES = ['n1', 'n2', 'n3', 'n4']
const SERVICES = ['menus', 'orders']

/** Disables one mechanism of a table. */
export type TableFault = (table: MembershipTable) => void

/** Kind and choice of a step; each is taken modulo the number of options. */
export type MembershipStep = readonly [number, number]

interface TableHost {
  table: MembershipTable
  /** Newest announcement that the table has held since its start, by node. */
  newestByNode: Map<string, Member>
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

/** Simulates two control replicas and four nodes over links that delay, lose, duplicate and reorder messages. */
export class MembershipSimulation {
  private readonly _fault: TableFault
  private readonly _hosts = new Map<string, TableHost>()
  private readonly _upstreams = new Map<string, Upstream>()
  private _network: Message[] = []
  private _nowMs = 0
  private _areReplicasCut = false

  private readonly _stepHandlers: ReadonlyArray<(pick: number) => void> = [
    (pick) => this._announceState(pick),
    (pick) => this._moveNode(pick),
    (pick) => this._restartNode(pick),
    (pick) => this._crashNode(pick),
    (pick) => this._restartReplica(pick),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, true),
    (pick) => this._dropMessage(pick),
    () => this._sendHeartbeats(),
    (pick) => this._tick(pick % 1_000),
    (pick) => { this._nowMs += pick % 5_000 },
    (pick) => this._step(REPLICAS[pick % 2] as string, { type: 'tick' }),
    (pick) => this._setReplicaCut(pick % 2 === 0)
  ]

  /**
   * @param fault Disables a mechanism, or does nothing.
   */
  public constructor (fault: TableFault) {
    this._fault = fault
    REPLICAS.forEach((name) => this._startTable(name, { role: 'replica' }))
    this._connectReplicas()
    NODES.forEach((node, index) => {
      const service = SERVICES[index % 2] as string
      this._upstreams.set(node, { member: makeMember(node, service), alive: true, home: undefined })
      this._startTable(node, { role: 'node', self: node })
      this._connect(node, REPLICAS[index % 2] as string)
    })
  }

  /**
   * Runs a schedule, then checks that all tables converge.
   * @param steps Steps to run.
   * @throws Error when a property is violated.
   */
  public run (steps: readonly MembershipStep[]): void {
    for (const [kind, pick] of steps) {
      const handler = this._stepHandlers[kind % this._stepHandlers.length] as (pick: number) => void
      handler(pick)
    }
    this._settle()
  }

  private _startTable (name: string, options: Partial<TableOptions>): void {
    const table = new MembershipTable(options)
    this._fault(table)
    this._hosts.set(name, { table, newestByNode: new Map() })
  }

  private _pickUpstream (pick: number): Upstream {
    return this._upstreams.get(NODES[pick % NODES.length] as string) as Upstream
  }

  private _connectReplicas (): void {
    if (this._areReplicasCut) {
      return
    }
    for (const [index, name] of REPLICAS.entries()) {
      const other = REPLICAS[1 - index] as string
      this._step(name, { type: 'interest', from: other, services: ['*'] })
    }
  }

  /** Attaches a node to a control replica; the node announces itself with a new sequence or keeps the old one. */
  private _connect (node: string, home: string, withNewSequence = true): void {
    const upstream = this._upstreams.get(node) as Upstream
    this._disconnect(node)
    upstream.home = home
    if (withNewSequence) {
      this._announceChange(upstream, {})
    }
    this._step(node, { type: 'interest', from: home, services: ['*'] })
    const digests = (this._hosts.get(node) as TableHost).table.digests()
    this._network.push({ from: node, to: home, event: { type: 'interest', from: node, services: SERVICES, digests } })
  }

  private _disconnect (node: string): void {
    const upstream = this._upstreams.get(node) as Upstream
    const { home } = upstream
    if (home === undefined) {
      return
    }
    upstream.home = undefined
    this._step(home, { type: 'lost', from: node })
    this._step(node, { type: 'lost', from: home })
    this._network = this._network.filter(({ from, to }) => from !== node && to !== node)
  }

  private _announceChange (upstream: Upstream, change: Partial<Member>): void {
    upstream.member = { ...upstream.member, sequence: upstream.member.sequence + 1, ...change }
    this._step(upstream.member.node, { type: 'announce', member: upstream.member })
  }

  private _announceState (pick: number): void {
    const upstream = this._pickUpstream(pick)
    const states: MemberState[] = ['starting', 'serving', 'draining', 'left']
    if (upstream.alive) {
      this._announceChange(upstream, { state: states[Math.floor(pick / 4) % 4] as MemberState })
    }
  }

  private _moveNode (pick: number): void {
    const upstream = this._pickUpstream(pick)
    if (upstream.alive) {
      this._connect(upstream.member.node, REPLICAS[Math.floor(pick / 4) % 2] as string, pick % 3 === 0)
    }
  }

  private _restartNode (pick: number): void {
    const upstream = this._pickUpstream(pick)
    const { node, incarnation } = upstream.member
    this._disconnect(node)
    this._startTable(node, { role: 'node', self: node })
    upstream.member = { ...upstream.member, incarnation: incarnation + 1, sequence: 0, state: 'serving' }
    upstream.alive = true
    this._connect(node, REPLICAS[Math.floor(pick / 4) % 2] as string)
  }

  private _crashNode (pick: number): void {
    const upstream = this._pickUpstream(pick)
    this._disconnect(upstream.member.node)
    upstream.alive = false
  }

  private _restartReplica (pick: number): void {
    const name = REPLICAS[pick % 2] as string
    const attached = [...this._upstreams.values()].filter((upstream) => upstream.home === name)
    attached.forEach((upstream) => this._disconnect(upstream.member.node))
    this._network = this._network.filter(({ from, to }) => from !== name && to !== name)
    this._step(REPLICAS[1 - pick % 2] as string, { type: 'lost', from: name })
    this._startTable(name, { role: 'replica' })
    this._connectReplicas()
    attached.forEach((upstream) => this._connect(upstream.member.node, REPLICAS[1 - pick % 2] as string))
  }

  private _setReplicaCut (cut: boolean): void {
    if (this._areReplicasCut === cut) {
      return
    }
    this._areReplicasCut = cut
    this._connectReplicas()
    this._network = this._network.filter((message) => !this._isCut(message))
    if (cut) {
      this._step('r1', { type: 'lost', from: 'r2' })
      this._step('r2', { type: 'lost', from: 'r1' })
    }
  }

  private _isCut ({ from, to }: Pick<Message, 'from' | 'to'>): boolean {
    return this._areReplicasCut && REPLICAS.includes(from) && REPLICAS.includes(to)
  }

  private _sendHeartbeats (): void {
    for (const { member, alive, home } of this._upstreams.values()) {
      if (alive && home !== undefined) {
        const { node, incarnation, sequence } = member
        this._network.push({ from: node, to: home, event: { type: 'heartbeat', node, incarnation, sequence } })
      }
    }
  }

  private _tick (ms: number): void {
    this._nowMs += ms
    for (const name of this._hosts.keys()) {
      if (this._upstreams.get(name)?.alive !== false) {
        this._step(name, { type: 'tick' })
      }
    }
  }

  private _deliver (pick: number, duplicate: boolean): void {
    const index = pick % (this._network.length || 1)
    const message = this._network[index]
    if (message === undefined) {
      return
    }
    if (!duplicate) {
      this._network.splice(index, 1)
    }
    this._step(message.to, message.event)
  }

  /** Drops a message, but not an interest: it opens a connection and can't be lost while the connection stays. */
  private _dropMessage (pick: number): void {
    const index = pick % (this._network.length || 1)
    if (this._network[index]?.event.type !== 'interest') {
      this._network.splice(index, 1)
    }
  }

  private _step (name: string, event: MembershipEvent): void {
    const host = this._hosts.get(name) as TableHost
    const actions = host.table.step(event, this._nowMs)
    // Only these events carry members; no member may be older than one that the table has held before.
    if (event.type === 'announce' || event.type === 'merge') {
      this._checkOrder(host)
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

  private _checkOrder (host: TableHost): void {
    for (const member of host.table.members()) {
      const seen = host.newestByNode.get(member.node)
      if (seen !== undefined && compareAnnouncements(member, seen) < 0) {
        throw new Error('a table returned to a stale announcement')
      }
      host.newestByNode.set(member.node, member)
    }
  }

  private _settle (): void {
    this._setReplicaCut(false)
    for (const { member, alive, home } of this._upstreams.values()) {
      if (alive && home === undefined) {
        this._connect(member.node, REPLICAS[0] as string)
      }
    }
    for (let passed = 0; passed < SETTLE_MS; passed += TICK_MS) {
      this._sendHeartbeats()
      this._tick(TICK_MS)
      while (this._network.length > 0) {
        this._deliver(0, false)
      }
    }
    const expectedMembers = this._expectedMembers()
    for (const [name, host] of this._hosts) {
      const { table } = host
      this._checkOrder(host)
      if (this._upstreams.get(name)?.alive !== false) {
        const known = SERVICES.flatMap((service) => table.membersOf(service).map(formatMember)).sort()
        if (known.join() !== expectedMembers.join()) {
          throw new Error(`${name} knows ${known.join()} instead of the live members ${expectedMembers.join()}`)
        }
      }
    }
  }

  private _expectedMembers (): string[] {
    return [...this._upstreams.values()]
      .filter(({ member, alive }) => alive && member.state !== 'left')
      .map(({ member }) => formatMember(member))
      .sort()
  }
}

function formatMember (member: Member): string {
  return `${member.node} ${member.incarnation} ${member.state}`
}

/**
 * Returns a member for schedules and tests.
 * @param node Its node.
 * @param service Its service.
 * @param change Fields that differ from the defaults of a serving member.
 */
export function makeMember (node: string, service: string, change: Partial<Member> = {}): Member {
  const address = '127.0.0.1:7000'
  const place = { region: 'lappi', zone: 'z1' }
  return { node, service, incarnation: 1, sequence: 0, state: 'serving', address, place, slots: 9, ...change }
}

const steps = fc.array(fc.tuple(fc.nat(13), fc.nat(9_999)), { maxLength: MAX_STEPS, size: 'max' })

/**
 * Returns the property that tables never return to a stale announcement and that they converge to the live members.
 * @param fault Disables a mechanism; none by default.
 */
export function membershipProperty (fault: TableFault = () => {}) {
  return fc.property(steps, (schedule) => new MembershipSimulation(fault).run(schedule))
}
