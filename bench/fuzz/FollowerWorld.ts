import fc from 'fast-check'
import { makeDifference } from '../../src/parts/configuration/ConfigurationDifference.js'
import { ConfigurationFollower } from '../../src/parts/configuration/ConfigurationFollower.js'
import { ConfigurationRegister } from '../../src/parts/configuration/ConfigurationRegister.js'
import { LEASE_MS } from '../../src/parts/configuration/Constants.js'
import type {
  Configuration, FollowerAction, FollowerEvent, ServiceRule, VersionedConfiguration
} from '../../src/parts/configuration/Types.js'

const FOLLOWERS = 3

/** Changes a sound follower into one without a mechanism. */
export type FollowerFault = (follower: ConfigurationFollower) => void

interface Message {
  readonly to: number
  readonly event: FollowerEvent
}

interface Node {
  follower: ConfigurationFollower
  version: number
  newestAtStart: number
}

export type FollowerStep = readonly [number, number, number]

/** Three nodes that hear committed configurations in any order, delayed, lost and repeated. */
export class FollowerWorld {
  private readonly fault: FollowerFault
  private readonly register = new ConfigurationRegister()
  private readonly committed: VersionedConfiguration[] = [this.register.inForce]
  private readonly committedAtMs: number[] = [0]
  private readonly nodes: Node[] = []
  private network: Message[] = []
  private nowMs = 1
  private term = 1

  private readonly kinds: ReadonlyArray<(node: number, pick: number) => void> = [
    (_node, pick) => this.commit(pick),
    (node, pick) => this.send(node, { type: 'copy', from: 'lagging', confirmed: false, copy: this.some(pick) }),
    (node) => this.send(node, { type: 'copy', from: 'control', ...this.read(), copy: this.newest() }),
    (node) => this.send(node, { type: 'confirm', version: this.newest().version, term: this.term, ...this.read() }),
    (node, pick) => this.difference(node, pick, false),
    (node, pick) => this.difference(node, pick, true),
    (node, pick) => this.passOn(node, pick),
    (node, pick) => this.send(node, { type: 'peerVersion', from: 'peer', version: this.some(pick).version }),
    (_node, pick) => this.deliver(pick, false),
    (_node, pick) => this.deliver(pick, false),
    (_node, pick) => this.deliver(pick, true),
    (_node, pick) => { this.network.splice(pick % (this.network.length || 1), 1) },
    (_node, pick) => this.pass(pick % 1_500),
    (node) => this.feed(node, { type: 'tick' }),
    (node) => this.restart(node)
  ]

  /**
   * @param fault Takes a mechanism away, or does nothing.
   */
  public constructor (fault: FollowerFault) {
    this.fault = fault
    for (let node = 0; node < FOLLOWERS; node += 1) {
      this.nodes.push(this.started())
    }
  }

  /**
   * Runs a schedule, settles and throws at the first broken promise.
   * @param steps Kind, node and choice of each step.
   */
  public run (steps: readonly FollowerStep[]): void {
    for (const [kind, node, pick] of steps) {
      const act = this.kinds[kind % this.kinds.length] as (node: number, pick: number) => void
      act(node % FOLLOWERS, pick)
      this.check()
    }
    this.settle()
  }

  private started (): Node {
    const follower = new ConfigurationFollower()
    this.fault(follower)
    return { follower, version: 0, newestAtStart: this.newest().version }
  }

  private commit (pick: number): void {
    this.term += pick % 5 === 0 ? 1 : 0
    const base = this.register.inForce.version
    const operation = `operation-${base}`
    this.register.apply({ operation, base, configuration: configurationOf(pick) }, this.term)
    this.committed.push(this.register.inForce)
    this.committedAtMs.push(this.nowMs)
  }

  private newest (): VersionedConfiguration {
    return this.committed.at(-1) as VersionedConfiguration
  }

  private some (pick: number): VersionedConfiguration {
    return this.committed[pick % this.committed.length] as VersionedConfiguration
  }

  /** A quorum read that answers what a node asks now; the answer may be long under way. */
  private read () {
    return { confirmed: true, askedAtMs: this.nowMs }
  }

  private difference (node: number, pick: number, confirmed: boolean): void {
    const to = confirmed ? this.newest() : this.some(pick)
    const base = this.committed[(pick * 31) % (to.version || 1)] as VersionedConfiguration
    const difference = makeDifference(base, to)
    this.send(node, { type: 'difference', from: 'control', difference, ...(confirmed ? this.read() : { confirmed }) })
  }

  private passOn (node: number, pick: number): void {
    const copy = this.nodes[pick % FOLLOWERS]?.follower.inForce
    if (copy !== undefined) {
      this.send(node, { type: 'copy', from: 'peer', confirmed: false, copy })
    }
  }

  private send (to: number, event: FollowerEvent): void {
    this.network.push({ to, event })
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

  private feed (index: number, event: FollowerEvent): FollowerAction[] {
    const node = this.nodes[index] as Node
    const actions = node.follower.step(event, this.nowMs)
    for (const action of actions) {
      if (action.type === 'apply') {
        this.checkApply(node, action.copy)
      }
    }
    return actions
  }

  private checkApply (node: Node, copy: VersionedConfiguration): void {
    if (copy.version <= node.version) {
      throw new Error('a version went back')
    }
    if (JSON.stringify(copy) !== JSON.stringify(this.committed[copy.version])) {
      throw new Error('applied what was never committed')
    }
    if (node.version === 0 && copy.version < node.newestAtStart) {
      throw new Error('started with an older version than a quorum confirms')
    }
    node.version = copy.version
  }

  private check (): void {
    for (const { follower, version } of this.nodes) {
      if (follower.state(this.nowMs) === 'current' && version < this.newestBefore(this.nowMs - LEASE_MS)) {
        throw new Error('current past its lease')
      }
    }
  }

  private newestBefore (atMs: number): number {
    return this.committedAtMs.findLastIndex((committedAtMs) => committedAtMs < atMs)
  }

  private pass (ms: number): void {
    this.nowMs += ms
  }

  private restart (index: number): void {
    this.nodes[index] = this.started()
    this.network = this.network.filter((message) => message.to !== index)
  }

  /** With control in reach every node comes to the newest version; askCopy is answered. */
  private settle (): void {
    this.commit(1)
    for (let index = 0; index < FOLLOWERS; index += 1) {
      for (let round = 0; round < 3; round += 1) {
        this.pass(600)
        const confirm = { type: 'confirm', version: this.newest().version, term: this.term, ...this.read() } as const
        const asks = this.feed(index, confirm).some((action) => action.type === 'askCopy')
        if (asks) {
          this.feed(index, { type: 'copy', from: 'control', ...this.read(), copy: this.newest() })
        }
      }
      const { follower } = this.nodes[index] as Node
      if (follower.version !== this.newest().version || follower.state(this.nowMs) !== 'current') {
        throw new Error('a node does not come to the newest version')
      }
    }
  }
}

/**
 * Returns a sound configuration that varies with a number.
 * @param pick Any whole number.
 */
export function configurationOf (pick: number): Configuration {
  const services = ['catalogue', 'custody', 'vault'].filter((_name, index) => (pick >> index) % 2 === 0)
  return {
    services: services.map((name) => ruleOf(name, 1 + pick % 4)),
    zones: [{ region: 'kyushu', zone: `z${pick % 2}` }],
    measuring: { bytesPerSecond: 100 * (pick % 3), messagesPerCall: 0.1 }
  }
}

function ruleOf (name: string, deadlineMs: number): ServiceRule {
  const patterns = { guarded: ['POST /checkouts'], downloads: ['GET /drawings'], keyless: 'refuse' } as const
  return { name, ...patterns, deadlineMs, drainMs: 0, retryShare: 0.1, maxBodyBytes: 1_000 }
}

const steps = fc.array(fc.tuple(fc.nat(14), fc.nat(2), fc.nat(9_999)), { maxLength: 80, size: 'max' })

/**
 * Returns the property that no schedule breaks a promise.
 * @param fault Takes a mechanism away; nothing by default.
 */
export function followersHold (fault: FollowerFault = () => {}) {
  return fc.property(steps, (schedule) => new FollowerWorld(fault).run(schedule))
}
