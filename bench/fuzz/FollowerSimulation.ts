import fc from 'fast-check'
import { makeDelta } from '../../src/parts/configuration/ConfigurationDelta.js'
import { ConfigurationFollower } from '../../src/parts/configuration/ConfigurationFollower.js'
import { ConfigurationStore } from '../../src/parts/configuration/ConfigurationStore.js'
import { LEASE_MS } from '../../src/parts/configuration/Constants.js'
import type {
  Configuration, FollowerAction, FollowerEvent, ServiceRule, VersionedConfiguration
} from '../../src/parts/configuration/Types.js'

const FOLLOWER_COUNT = 3

/** Disables one mechanism of a follower. */
export type FollowerFault = (follower: ConfigurationFollower) => void

interface Message {
  readonly to: number
  readonly event: FollowerEvent
}

interface SimulatedNode {
  follower: ConfigurationFollower
  version: number
  /** Newest committed version when the node started. */
  newestAtStart: number
}

/** Kind, node and choice of a step; each is taken modulo the number of options. */
export type FollowerStep = readonly [number, number, number]

/** Simulates three nodes over a network that delays, loses, duplicates and reorders committed configurations. */
export class FollowerSimulation {
  private readonly _fault: FollowerFault
  private readonly _store = new ConfigurationStore()
  private readonly _committed: VersionedConfiguration[] = [this._store.inForce]
  private readonly _committedAtMs: number[] = [0]
  private readonly _nodes: SimulatedNode[] = []
  private _network: Message[] = []
  private _nowMs = 1
  private _term = 1

  private readonly _stepHandlers: ReadonlyArray<(node: number, pick: number) => void> = [
    (_node, pick) => this._commit(pick),
    (node, pick) => this._send(node, { type: 'copy', from: 'lagging', confirmed: false, copy: this._pickCommitted(pick) }),
    (node) => this._send(node, { type: 'copy', from: 'control', ...this._quorumRead(), copy: this._newest() }),
    (node) => this._send(node, { type: 'confirm', version: this._newest().version, term: this._term, ...this._quorumRead() }),
    (node, pick) => this._sendDelta(node, pick, false),
    (node, pick) => this._sendDelta(node, pick, true),
    (node, pick) => this._relayCopy(node, pick),
    (node, pick) => this._send(node, { type: 'peerVersion', from: 'peer', version: this._pickCommitted(pick).version }),
    (_node, pick) => this._deliver(pick, false),
    (_node, pick) => this._deliver(pick, false),
    (_node, pick) => this._deliver(pick, true),
    (_node, pick) => { this._network.splice(pick % (this._network.length || 1), 1) },
    (_node, pick) => this._advanceTime(pick % 1_500),
    (node) => this._step(node, { type: 'tick' }),
    (node) => this._restartNode(node)
  ]

  /**
   * @param fault Disables a mechanism, or does nothing.
   */
  public constructor (fault: FollowerFault) {
    this._fault = fault
    for (let node = 0; node < FOLLOWER_COUNT; node += 1) {
      this._nodes.push(this._createNode())
    }
  }

  /**
   * Runs a schedule, then checks that all nodes converge.
   * @param steps Steps to run.
   * @throws Error when a property is violated.
   */
  public run (steps: readonly FollowerStep[]): void {
    for (const [kind, node, pick] of steps) {
      const handler = this._stepHandlers[kind % this._stepHandlers.length] as (node: number, pick: number) => void
      handler(node % FOLLOWER_COUNT, pick)
      this._checkLeases()
    }
    this._settle()
  }

  private _createNode (): SimulatedNode {
    const follower = new ConfigurationFollower()
    this._fault(follower)
    return { follower, version: 0, newestAtStart: this._newest().version }
  }

  private _commit (pick: number): void {
    this._term += pick % 5 === 0 ? 1 : 0
    const base = this._store.inForce.version
    const operation = `operation-${base}`
    this._store.apply({ operation, base, configuration: makeConfiguration(pick) }, this._term)
    this._committed.push(this._store.inForce)
    this._committedAtMs.push(this._nowMs)
  }

  private _newest (): VersionedConfiguration {
    return this._committed.at(-1) as VersionedConfiguration
  }

  private _pickCommitted (pick: number): VersionedConfiguration {
    return this._committed[pick % this._committed.length] as VersionedConfiguration
  }

  /** Returns the fields of a confirmed reply to a request that is sent now; its delivery may take long. */
  private _quorumRead () {
    return { confirmed: true, askedAtMs: this._nowMs }
  }

  private _sendDelta (node: number, pick: number, confirmed: boolean): void {
    const to = confirmed ? this._newest() : this._pickCommitted(pick)
    const base = this._committed[(pick * 31) % (to.version || 1)] as VersionedConfiguration
    const difference = makeDelta(base, to)
    this._send(node, { type: 'difference', from: 'control', difference, ...(confirmed ? this._quorumRead() : { confirmed }) })
  }

  private _relayCopy (node: number, pick: number): void {
    const copy = this._nodes[pick % FOLLOWER_COUNT]?.follower.inForce
    if (copy !== undefined) {
      this._send(node, { type: 'copy', from: 'peer', confirmed: false, copy })
    }
  }

  private _send (to: number, event: FollowerEvent): void {
    this._network.push({ to, event })
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

  private _step (index: number, event: FollowerEvent): FollowerAction[] {
    const node = this._nodes[index] as SimulatedNode
    const actions = node.follower.step(event, this._nowMs)
    for (const action of actions) {
      if (action.type === 'apply') {
        this._checkApply(node, action.copy)
      }
    }
    return actions
  }

  private _checkApply (node: SimulatedNode, copy: VersionedConfiguration): void {
    if (copy.version <= node.version) {
      throw new Error('a version went back')
    }
    if (JSON.stringify(copy) !== JSON.stringify(this._committed[copy.version])) {
      throw new Error('applied a configuration that was never committed')
    }
    if (node.version === 0 && copy.version < node.newestAtStart) {
      throw new Error('started with an older version than a quorum confirms')
    }
    node.version = copy.version
  }

  private _checkLeases (): void {
    for (const { follower, version } of this._nodes) {
      if (follower.state(this._nowMs) === 'current' && version < this._newestBefore(this._nowMs - LEASE_MS)) {
        throw new Error('current past its lease')
      }
    }
  }

  private _newestBefore (atMs: number): number {
    return this._committedAtMs.findLastIndex((committedAtMs) => committedAtMs < atMs)
  }

  private _advanceTime (ms: number): void {
    this._nowMs += ms
  }

  private _restartNode (index: number): void {
    this._nodes[index] = this._createNode()
    this._network = this._network.filter((message) => message.to !== index)
  }

  /** Checks that every node reaches the newest version once control answers its requests. */
  private _settle (): void {
    this._commit(1)
    for (let index = 0; index < FOLLOWER_COUNT; index += 1) {
      for (let round = 0; round < 3; round += 1) {
        this._advanceTime(600)
        const confirm = { type: 'confirm', version: this._newest().version, term: this._term, ...this._quorumRead() } as const
        const needsCopy = this._step(index, confirm).some((action) => action.type === 'askCopy')
        if (needsCopy) {
          this._step(index, { type: 'copy', from: 'control', ...this._quorumRead(), copy: this._newest() })
        }
      }
      const { follower } = this._nodes[index] as SimulatedNode
      if (follower.version !== this._newest().version || follower.state(this._nowMs) !== 'current') {
        throw new Error('a node did not reach the newest version')
      }
    }
  }
}

/**
 * Returns a valid configuration that varies with a number.
 * @param pick Any whole number.
 */
export function makeConfiguration (pick: number): Configuration {
  const services = ['catalogue', 'custody', 'vault'].filter((_name, index) => (pick >> index) % 2 === 0)
  return {
    services: services.map((name) => makeServiceRule(name, 1 + pick % 4)),
    zones: [{ region: 'kyushu', zone: `z${pick % 2}` }],
    measuring: { bytesPerSecond: 100 * (pick % 3), messagesPerCall: 0.1 }
  }
}

function makeServiceRule (name: string, deadlineMs: number): ServiceRule {
  const patterns = { guarded: ['POST /checkouts'], downloads: ['GET /drawings'], keyless: 'refuse' } as const
  return { name, ...patterns, deadlineMs, drainMs: 0, retryShare: 0.1, maxBodyBytes: 1_000 }
}

const steps = fc.array(fc.tuple(fc.nat(14), fc.nat(2), fc.nat(9_999)), { maxLength: 80, size: 'max' })

/**
 * Returns the property that applied versions were committed and never decrease, that a node is current only within
 * its lease, and that nodes converge.
 * @param fault Disables a mechanism; none by default.
 */
export function followerProperty (fault: FollowerFault = () => {}) {
  return fc.property(steps, (schedule) => new FollowerSimulation(fault).run(schedule))
}
