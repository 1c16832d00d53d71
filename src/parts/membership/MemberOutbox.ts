import type { NodeId, ServiceName } from '../Types.js'
import { ALL_SERVICES } from './Constants.js'

const MS_PER_SECOND = 1_000

/** Rates at which members may be sent to one peer. */
export interface OutboxRate {
  readonly membersPerSecond: number
  readonly burst: number
}

/**
 * What one peer is still to be told. Members wait here by name, so that one that changes often is sent once, with
 * its last state; a token bucket keeps the peer's bytes within its limit.
 *
 * Memory: one entry for each member and each service at most.
 */
export class MemberOutbox {
  public readonly all: boolean
  private readonly services: ReadonlySet<ServiceName>
  private readonly rate: OutboxRate
  private readonly members = new Set<NodeId>()
  private readonly wholes = new Set<ServiceName>()
  private tokens: number
  private filledAtMs: number

  /**
   * @param services Services of interest, or `*`.
   * @param rate Rate and burst of the token bucket.
   * @param nowMs Monotonic time in milliseconds.
   */
  public constructor (services: readonly ServiceName[], rate: OutboxRate, nowMs: number) {
    this.services = new Set(services)
    this.all = this.services.has(ALL_SERVICES)
    this.rate = rate
    this.tokens = rate.burst
    this.filledAtMs = nowMs
  }

  /** Names of the services of interest, without `*`. */
  public get interest (): ServiceName[] {
    return [...this.services].filter((name) => name !== ALL_SERVICES)
  }

  /** True when nothing waits. */
  public get empty (): boolean {
    return this.members.size === 0 && this.wholes.size === 0
  }

  /**
   * Returns whether the peer wants to hear of a service.
   * @param service Service.
   */
  public wants (service: ServiceName): boolean {
    return this.all || this.services.has(service)
  }

  /**
   * Lets a member wait.
   * @param node Node of the member.
   */
  public addMember (node: NodeId): void {
    this.members.add(node)
  }

  /**
   * Lets a whole service wait.
   * @param service Service.
   */
  public addWhole (service: ServiceName): void {
    this.wholes.add(service)
  }

  /**
   * Takes waiting members as far as the bucket allows.
   * @param nowMs Monotonic time in milliseconds.
   */
  public takeMembers (nowMs: number): NodeId[] {
    this.fill(nowMs)
    const taken: NodeId[] = []
    for (const node of this.members) {
      if (this.tokens < 1) {
        break
      }
      this.tokens -= 1
      this.members.delete(node)
      taken.push(node)
    }
    return taken
  }

  /**
   * Takes the next whole service when the bucket is not empty; its members may overdraw the bucket.
   * @param nowMs Monotonic time in milliseconds.
   * @param sizeOf Returns how many members a service has.
   */
  public takeWhole (nowMs: number, sizeOf: (service: ServiceName) => number): ServiceName | undefined {
    this.fill(nowMs)
    const next = this.wholes.values().next().value
    if (next === undefined || this.tokens < 1) {
      return undefined
    }
    this.wholes.delete(next)
    this.tokens -= Math.max(1, sizeOf(next))
    return next
  }

  private fill (nowMs: number): void {
    const gained = (nowMs - this.filledAtMs) * this.rate.membersPerSecond / MS_PER_SECOND
    this.tokens = Math.min(this.rate.burst, this.tokens + gained)
    this.filledAtMs = nowMs
  }
}
