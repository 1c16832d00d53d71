import type { NodeId, ServiceName } from '../Types.js'
import { ALL_SERVICES } from './Constants.js'

const MS_PER_SECOND = 1_000

/** Token bucket of the members that may be sent to one peer. */
export interface OutboxRate {
  readonly membersPerSecond: number
  /** Capacity of the bucket, in members. */
  readonly burst: number
}

/**
 * Updates that one peer has not been sent yet. Members are queued by node, so that one that changes often is sent once,
 * with its latest state; a token bucket limits the bytes that the peer is sent.
 *
 * Memory: at most one entry for each member and each service.
 */
export class MemberOutbox {
  /** True when the peer subscribed to all services. */
  public readonly all: boolean
  private readonly _services: ReadonlySet<ServiceName>
  private readonly _rate: OutboxRate
  private readonly _pendingMembers = new Set<NodeId>()
  private readonly _pendingServices = new Set<ServiceName>()
  private _tokens: number
  private _refilledAtMs: number

  /**
   * @param services Services that the peer subscribed to, or `*`.
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

  /** Names of the services that the peer subscribed to, without `*`. */
  public get interest (): ServiceName[] {
    return [...this._services].filter((name) => name !== ALL_SERVICES)
  }

  /** True when no update is queued. */
  public get isEmpty (): boolean {
    return this._pendingMembers.size === 0 && this._pendingServices.size === 0
  }

  /**
   * Returns whether the peer subscribed to a service.
   * @param service Service.
   */
  public wants (service: ServiceName): boolean {
    return this.all || this._services.has(service)
  }

  /**
   * Queues a member.
   * @param node Node of the member.
   */
  public addMember (node: NodeId): void {
    this._pendingMembers.add(node)
  }

  /**
   * Queues all members of a service.
   * @param service Service.
   */
  public addService (service: ServiceName): void {
    this._pendingServices.add(service)
  }

  /**
   * Removes and returns as many queued members as the bucket allows.
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
   * Removes and returns the next queued service unless the bucket is empty. Its members are charged even when the
   * bucket holds fewer tokens, which delays later updates.
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
