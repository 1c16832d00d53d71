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
  private readonly _services: ReadonlySet<ServiceName>
  private readonly _rate: OutboxRate
  private readonly _pendingMembers = new Set<NodeId>()
  private readonly _pendingServices = new Set<ServiceName>()
  private _tokens: number
  private _refilledAtMs: number

  /**
   * @param services Services of interest, or `*`.
   * @param rate Rate and burst of the token bucket.
   * @param nowMs Monotonic time in milliseconds.
   */
  public constructor (services: readonly ServiceName[], rate: OutboxRate, nowMs: number) {
    this._services = new Set(services)
    this.all = this._services.has(ALL_SERVICES)
    this._rate = rate
    this._tokens = rate.burst
    this._refilledAtMs = nowMs
  }

  /** Names of the services of interest, without `*`. */
  public get interest (): ServiceName[] {
    return [...this._services].filter((name) => name !== ALL_SERVICES)
  }

  /** True when nothing waits. */
  public get isEmpty (): boolean {
    return this._pendingMembers.size === 0 && this._pendingServices.size === 0
  }

  /**
   * Returns whether the peer wants to hear of a service.
   * @param service Service.
   */
  public wants (service: ServiceName): boolean {
    return this.all || this._services.has(service)
  }

  /**
   * Lets a member wait.
   * @param node Node of the member.
   */
  public addMember (node: NodeId): void {
    this._pendingMembers.add(node)
  }

  /**
   * Lets a whole service wait.
   * @param service Service.
   */
  public addService (service: ServiceName): void {
    this._pendingServices.add(service)
  }

  /**
   * Takes waiting members as far as the bucket allows.
   * @param nowMs Monotonic time in milliseconds.
   */
  public takeMembers (nowMs: number): NodeId[] {
    this._refill(nowMs)
    const taken: NodeId[] = []
    for (const node of this._pendingMembers) {
      if (this._tokens < 1) {
        break
      }
      this._tokens -= 1
      this._pendingMembers.delete(node)
      taken.push(node)
    }
    return taken
  }

  /**
   * Takes the next whole service when the bucket is not empty; its members may overdraw the bucket.
   * @param nowMs Monotonic time in milliseconds.
   * @param countMembers Returns how many members a service has.
   */
  public takeService (nowMs: number, countMembers: (service: ServiceName) => number): ServiceName | undefined {
    this._refill(nowMs)
    const next = this._pendingServices.values().next().value
    if (next === undefined || this._tokens < 1) {
      return undefined
    }
    this._pendingServices.delete(next)
    this._tokens -= Math.max(1, countMembers(next))
    return next
  }

  private _refill (nowMs: number): void {
    const earnedTokens = (nowMs - this._refilledAtMs) * this._rate.membersPerSecond / MS_PER_SECOND
    this._tokens = Math.min(this._rate.burst, this._tokens + earnedTokens)
    this._refilledAtMs = nowMs
  }
}
