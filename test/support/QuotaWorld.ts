import { QuotaClient } from '../../src/parts/quota/QuotaClient.js'
import { QuotaLedger } from '../../src/parts/quota/QuotaLedger.js'
import { CLIENT_TICK_MS, LEDGER_TICK_MS, QUOTA_WINDOW_MS } from '../../src/parts/quota/Constants.js'
import type {
  Quota, QuotaAnswer, QuotaClientAction, QuotaClientEvent, QuotaLedgerAction, QuotaMessage
} from '../../src/parts/quota/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'

export const WORKSPACE = 'w'

/** Time after the loss of a node at which the directory no longer lists it. */
const GONE_MS = 23_000

/** Time from the loss of a leader to the next one. */
const ELECTION_MS = 900

export type NodeState = 'running' | 'paused' | 'down'

/** A node of the world. */
export interface WorldNode {
  readonly name: string
  readonly index: number
  client: QuotaClient
  state: NodeState
  isCut: boolean
  /** Time for which the node's clock stood still. */
  lostMs: number
  /** What happens at the node once it resumes. */
  backlog: Array<() => void>
  goneAtMs: number
  run: number
  quota: Quota
}

export interface AdmittedRequest {
  readonly atMs: number
  isReturned: boolean
}

export interface NetworkConditions {
  readonly minMs: number
  readonly maxMs: number
  /** Probability that a message is lost. */
  readonly loss: number
}

interface Leader {
  readonly ledger: QuotaLedger
  readonly term: number
  isFrozen: boolean
  backlog: Array<() => void>
}

/**
 * Nodes with a `QuotaClient` each and leaders with a `QuotaLedger` each, in virtual time. Messages take random times,
 * so that they overtake each other, and may be lost.
 */
export class QuotaWorld {
  public readonly nodes: WorldNode[] = []
  public readonly admitted: AdmittedRequest[] = []
  public readonly refusedAtMs: number[] = []
  public messages = 0
  public nowMs = 1000
  public quota: Quota
  /** Share of the admitted requests that end without having run. */
  public returnShare = 0
  public network: NetworkConditions = { minMs: 2, maxMs: 8, loss: 0 }
  private readonly _random: SeededRandom
  private readonly _events: Array<{ atMs: number, order: number, run: () => void }> = []
  private _order = 0
  private _leader: Leader | undefined
  private _term = 0
  private _lastId = 0
  private readonly _pending = new Map<number, { node: WorldNode }>()

  public constructor (count: number, quota: Quota, seed: number) {
    this.quota = quota
    this._random = new SeededRandom(seed)
    for (let index = 0; index < count; index++) this.nodes.push(this._makeNode(index))
    this._elect()
    this.every(LEDGER_TICK_MS, () => this._onLeader(this._leader, leader => leader.ledger.step({ type: 'tick' }, this.nowMs)))
    for (const node of this.nodes) this.every(CLIENT_TICK_MS, () => this._onNode(node, () => this._tick(node)))
  }

  /** A number in [0, 1). */
  public random (): number {
    return this._random.next()
  }

  public at (atMs: number, run: () => void): void {
    const event = { atMs, order: this._order++, run }
    let low = 0
    let high = this._events.length
    // In descending order, so that the next event is the last one.
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this._events[middle]!
      if (other.atMs > atMs || (other.atMs === atMs && other.order > event.order)) low = middle + 1
      else high = middle
    }
    this._events.splice(low, 0, event)
  }

  public every (intervalMs: number, run: () => void): void {
    const next = (): void => {
      run()
      this.at(this.nowMs + intervalMs, next)
    }
    this.at(this.nowMs + this.random() * intervalMs, next)
  }

  public runUntil (endMs: number): void {
    while (this._events.length > 0 && this._events.at(-1)!.atMs <= endMs) {
      const event = this._events.pop()!
      this.nowMs = event.atMs
      event.run()
    }
    this.nowMs = endMs
  }

  /** A caller sends a request to a node; a node that does not run loses it. */
  public request (node: WorldNode): void {
    if (node.state !== 'running') return
    const id = ++this._lastId
    this._pending.set(id, { node })
    this._step(node, { type: 'request', id, workspace: WORKSPACE, quota: node.quota, waitMs: 1000 })
  }

  /** Starts to send requests at random intervals to nodes that `pick` names. */
  public load (perS: number, fromMs: number, toMs: number, pick: () => WorldNode, isEven = false): void {
    const next = (): void => {
      if (this.nowMs >= toMs) return
      this.request(pick())
      this.at(this.nowMs + 1000 / perS * (isEven ? 1 : -Math.log(1 - this.random())), next)
    }
    this.at(fromMs + this.random() * 1000 / perS, next)
  }

  public pickAny (): WorldNode {
    return this.nodes[Math.floor(this.random() * this.nodes.length)]!
  }

  /** Suspends a node; its clock may stand still meanwhile, which it usually notices by the wall clock. */
  public pause (node: WorldNode, forMs: number, isClockStopped: boolean, isNoticed = true): void {
    if (node.state !== 'running') return
    node.state = 'paused'
    this._setGone(node, forMs)
    this.at(this.nowMs + forMs, () => {
      if (node.state !== 'paused') return
      node.state = 'running'
      if (isClockStopped) {
        node.lostMs += forMs
        if (isNoticed) this._step(node, { type: 'suspended' })
      }
      node.goneAtMs = Infinity
      this._step(node, { type: 'opened' })
      node.backlog.splice(0).forEach(run => run())
    })
  }

  /** Ends a node; it starts anew without state. */
  public restart (node: WorldNode, forMs: number): void {
    if (node.state !== 'running') return
    node.state = 'down'
    node.backlog = []
    this._setGone(node, forMs)
    this.at(this.nowMs + forMs, () => {
      node.run++
      node.client = this._makeClient(node.index, node.run, this.nowMs - node.lostMs)
      node.state = 'running'
      node.goneAtMs = Infinity
    })
  }

  /** Cuts nodes off from all control replicas. */
  public cut (nodes: readonly WorldNode[], forMs: number): void {
    for (const node of nodes) {
      node.isCut = true
      this._setGone(node, forMs)
    }
    this.at(this.nowMs + forMs, () => {
      for (const node of nodes) {
        node.isCut = false
        node.goneAtMs = Infinity
        if (node.state === 'running') this._step(node, { type: 'opened' })
      }
    })
  }

  /** Suspends the leader; when it thaws, another may have been elected. */
  public freezeLeader (forMs: number): void {
    const leader = this._leader
    if (leader === undefined) return
    leader.isFrozen = true
    this.at(this.nowMs + forMs, () => {
      leader.isFrozen = false
      leader.backlog.splice(0).forEach(run => run())
    })
    this.at(this.nowMs + ELECTION_MS, () => { if (leader.isFrozen && this._leader === leader) this._elect() })
  }

  /** The leader ends; the next one has no state. */
  public loseLeader (): void {
    if (this._leader === undefined) return
    this._leader.isFrozen = true
    this._leader.backlog = []
    this._leader = undefined
    this.at(this.nowMs + ELECTION_MS, () => { if (this._leader === undefined) this._elect() })
  }

  /** Puts another quota into force at the leader at once and at each node within a second. */
  public setQuota (quota: Quota): void {
    this.quota = quota
    for (const node of this.nodes) this.at(this.nowMs + this.random() * 1000, () => { node.quota = quota })
  }

  /** Returns the largest number of requests that ran of those admitted in any window between two times. */
  public peak (fromMs = 0, toMs = Infinity): number {
    const counted = this.admitted.filter(({ isReturned, atMs }) => !isReturned && atMs >= fromMs && atMs < toMs)
    const times = counted.map(({ atMs }) => atMs)
    let first = 0
    let peak = 0
    for (let last = 0; last < times.length; last++) {
      while (times[last]! - times[first]! >= QUOTA_WINDOW_MS) first++
      peak = Math.max(peak, last - first + 1)
    }
    return peak
  }

  private _makeNode (index: number): WorldNode {
    const client = this._makeClient(index, 1, this.nowMs - 60_000)
    return {
      name: `n${index}`,
      index,
      client,
      state: 'running',
      isCut: false,
      lostMs: 0,
      backlog: [],
      goneAtMs: Infinity,
      run: 1,
      quota: this.quota
    }
  }

  private _makeClient (index: number, run: number, startedAtMs: number): QuotaClient {
    return new QuotaClient({
      incarnation: () => run, startedAtMs, random: this._random, rank: () => ({ index, count: this.nodes.length })
    })
  }

  private _setGone (node: WorldNode, forMs: number): void {
    node.goneAtMs = forMs > GONE_MS ? this.nowMs + GONE_MS : Infinity
  }

  private _elect (): void {
    const term = ++this._term
    const ledger = new QuotaLedger({
      term,
      startedAtMs: this.nowMs,
      findQuota: () => this.quota,
      listNodes: () => this.nodes.filter(({ goneAtMs }) => goneAtMs > this.nowMs).map(({ name }) => name)
    })
    this._leader = { ledger, term, isFrozen: false, backlog: [] }
  }

  private _tick (node: WorldNode): void {
    if (node.client.isActive) this._step(node, { type: 'tick' })
  }

  private _step (node: WorldNode, event: QuotaClientEvent): void {
    const { client } = node
    this._carryOut(node, client.step(event, this._localMs(node)))
    if (client.needsFlush) this._carryOut(node, client.step({ type: 'flush' }, this._localMs(node)))
  }

  private _localMs (node: WorldNode): number {
    return this.nowMs - node.lostMs
  }

  private _carryOut (node: WorldNode, actions: readonly QuotaClientAction[]): void {
    for (const action of actions) {
      if (action.type === 'send') this._sendToLeader(node, action.message)
      else if (action.type === 'refuse') {
        this._pending.delete(action.id)
        this.refusedAtMs.push(this.nowMs)
      } else this._onAdmitted(node, action.id)
    }
  }

  private _onAdmitted (node: WorldNode, id: number): void {
    if (!this._pending.delete(id)) throw new Error('a request was admitted twice')
    const request = { atMs: this.nowMs, isReturned: false }
    this.admitted.push(request)
    if (this.random() >= this.returnShare) return
    const { run } = node
    const localMs = this._localMs(node)
    request.isReturned = true
    this.at(this.nowMs + this.random() * 1500, () => this._onNode(node, () => {
      if (node.run === run) this._step(node, { type: 'giveBack', workspace: WORKSPACE, atMs: localMs })
    }))
  }

  private _sendToLeader (node: WorldNode, message: QuotaMessage): void {
    this.messages++
    if (node.isCut) return
    this._transmit(() => {
      // The home replica sends it to the leader that it knows.
      this._onLeader(this._leader, leader => leader.ledger.step({ type: 'message', node: node.name, message }, this.nowMs))
    })
  }

  private _onLeader (leader: Leader | undefined, run: (leader: Leader) => QuotaLedgerAction[]): void {
    if (leader === undefined) return
    const act = (): void => run(leader).forEach(action => this._carryOutLedger(action))
    if (leader.isFrozen) leader.backlog.push(act)
    else act()
  }

  private _carryOutLedger (action: QuotaLedgerAction): void {
    const receivers = action.type === 'answer' ? this.nodes.filter(({ name }) => name === action.node) : this.nodes
    for (const node of receivers) this._sendToNode(node, action.answer)
  }

  private _sendToNode (node: WorldNode, answer: QuotaAnswer): void {
    if (node.isCut) return
    const { run } = node
    this._transmit(() => {
      if (!node.isCut && node.run === run) this._onNode(node, () => this._step(node, { type: 'answer', answer }))
    })
  }

  private _transmit (deliver: () => void): void {
    const { minMs, maxMs, loss } = this.network
    if (this.random() < loss) return
    this.at(this.nowMs + minMs + this.random() * (maxMs - minMs), deliver)
  }

  private _onNode (node: WorldNode, run: () => void): void {
    if (node.state === 'running') run()
    else if (node.state === 'paused') node.backlog.push(run)
  }
}
