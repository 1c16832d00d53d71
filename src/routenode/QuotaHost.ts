import type { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import { CLIENT_TICK_MS } from '../parts/quota/Constants.js'
import { type NodeRank, QuotaClient } from '../parts/quota/QuotaClient.js'
import type { QuotaAnswer, QuotaClientAction, QuotaClientEvent, QuotaMessage } from '../parts/quota/Types.js'
import type { NodeId, Random } from '../parts/Types.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { CLOCK_STEP_MS, RANK_INTERVAL_MS, RETRY_AFTER_MAX_SHARE } from './Constants.js'
import { QuotaCredit } from './QuotaCredit.js'
import type { RouteNodeMetrics } from './RouteNodeMetrics.js'
import type { GatewayRequest, GatewayResult } from './Types.js'

/** What the host of a `QuotaClient` needs of its node. */
export interface QuotaHostOptions {
  /** Name of this node. */
  readonly self: NodeId
  /** Returns the incarnation of this node. */
  readonly incarnation: () => number
  readonly directory: NodeDirectory
  readonly clock: Clock
  readonly random: Random
  readonly metrics: RouteNodeMetrics
  /** Sends a message to the control replica; it may be dropped. */
  readonly send: (message: QuotaMessage) => void
}

/** Result of a request that gets no credit. */
export type QuotaRefusal = Extract<GatewayResult, { type: 'limited' }>

/** Receives the decision on a request: one of the two methods is called at most once. */
export interface QuotaDecision {
  onAdmitted (atMs: number): void
  onRefused (refusal: QuotaRefusal): void
}

/** A request that waits for a credit. */
interface PendingRequest {
  readonly request: GatewayRequest
  readonly decision: QuotaDecision
}

/**
 * Runs the `QuotaClient` of a node. Where no request needs a credit, it has no timer and sends nothing but a report
 * when a new leader calls for one.
 *
 * Memory: that of the client, and the requests that wait.
 */
export class QuotaHost implements Disposable {
  private readonly _client: QuotaClient
  private readonly _pending = new Map<number, PendingRequest>()
  private _lastId = 0
  private _timer: NodeJS.Timeout | undefined
  private _flush: NodeJS.Immediate | undefined
  /** Difference of the wall clock and the monotonic clock when it was last read. */
  private _clockOffsetMs: number
  private _rank: NodeRank = { index: 0, count: 1 }
  private _rankAtMs = -Infinity
  private _isDisposed = false

  public constructor (private readonly _options: QuotaHostOptions) {
    const { clock, incarnation, random } = _options
    this._clockOffsetMs = clock.wallMs() - clock.nowMs()
    this._client = new QuotaClient({
      incarnation, startedAtMs: clock.nowMs(), random, rank: () => this._currentRank()
    })
  }

  /** Opens the credit of a request, which is taken by `QuotaCredit.request`. */
  public openCredit (request: GatewayRequest): QuotaCredit {
    return new QuotaCredit(this, request)
  }

  /** Returns the used share of a workspace's quota, from 0 to 1 in eighths; undefined where it is not known. */
  public shareUsed (workspace: string): number | undefined {
    return this._client.shareUsed(workspace, this._options.clock.nowMs())
  }

  /**
   * Asks for a credit of a workspace with a quota.
   * @returns Id of the request for `cancel`.
   */
  public ask (request: GatewayRequest, decision: QuotaDecision): number {
    const id = ++this._lastId
    const { name: workspace, quota } = request.workspace!
    this._options.metrics.countQuota('requested')
    this._pending.set(id, { request, decision })
    const waitMs = this._waitMs(request)
    this._step({ type: 'request', id, workspace, quota: quota!, waitMs })
    return id
  }

  /** Nobody waits any more for the credit of a request. */
  public cancel (id: number): void {
    const workspace = this._pending.get(id)?.request.workspace?.name
    if (workspace !== undefined && this._pending.delete(id)) this._step({ type: 'cancel', id, workspace })
  }

  /** Gives the credit of a request back that was admitted at `atMs` and is proved not to have run. */
  public giveBack (workspace: string, atMs: number): void {
    this._options.metrics.countQuota('returned')
    this._step({ type: 'giveBack', workspace, atMs })
  }

  /** Receives an answer of the leader. */
  public receive (answer: QuotaAnswer): void {
    this._step({ type: 'answer', answer })
  }

  /** A connection to a control replica has opened. */
  public notifyConnected (): void {
    this._step({ type: 'opened' })
  }

  /** Stops the timers; requests that wait are not decided any more. */
  public dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
    clearImmediate(this._flush)
  }

  private _step (event: QuotaClientEvent): void {
    if (this._isDisposed) return
    const nowMs = this._options.clock.nowMs()
    if (this._hasClockStepped(nowMs)) this._carryOut(this._client.step({ type: 'suspended' }, nowMs), nowMs)
    this._carryOut(this._client.step(event, nowMs), nowMs)
    // Requests that arrive in the same turn of the event loop share a message.
    if (this._client.needsFlush) this._flush ??= setImmediate(() => this._sendDue())
    if (this._client.isActive) this._timer ??= setTimeout(() => this._tick(), CLIENT_TICK_MS)
  }

  private _sendDue (): void {
    this._flush = undefined
    this._step({ type: 'flush' })
  }

  private _tick (): void {
    this._timer = undefined
    this._step({ type: 'tick' })
  }

  /** While a process is suspended, its monotonic clock may stand still, but its wall clock is set right afterwards. */
  private _hasClockStepped (nowMs: number): boolean {
    const offsetMs = this._options.clock.wallMs() - nowMs
    const hasStepped = Math.abs(offsetMs - this._clockOffsetMs) > CLOCK_STEP_MS
    this._clockOffsetMs = offsetMs
    return hasStepped
  }

  private _carryOut (actions: readonly QuotaClientAction[], nowMs: number): void {
    for (const action of actions) {
      if (action.type === 'send') this._options.send(action.message)
      else this._decide(action, nowMs)
    }
  }

  private _decide (action: Exclude<QuotaClientAction, { type: 'send' }>, nowMs: number): void {
    const pending = this._pending.get(action.id)
    if (pending === undefined) return
    this._pending.delete(action.id)
    const { request, decision } = pending
    const { metrics } = this._options
    if (action.type === 'admit') {
      metrics.countQuota(action.isFallback ? 'fallback' : 'granted')
      decision.onAdmitted(nowMs)
    } else {
      metrics.countQuota('refused')
      const { reason, retryAfterMs } = action
      const { arrivedAtMs, deadlineMs } = request
      const leftMs = Math.max(0, arrivedAtMs + deadlineMs - nowMs)
      decision.onRefused({ type: 'limited', reason, retryAfterMs: Math.min(retryAfterMs, leftMs * RETRY_AFTER_MAX_SHARE) })
    }
  }

  /** A request waits for its credit for half of the time in which an answer is worth its full value. */
  private _waitMs ({ arrivedAtMs, deadlineMs, objectiveAtMs, route }: GatewayRequest): number {
    const endMs = Math.min(objectiveAtMs, arrivedAtMs + Math.min(deadlineMs, route.timeoutMs))
    return Math.max(0, endMs - this._options.clock.nowMs()) / 2
  }

  private _currentRank (): NodeRank {
    const { clock, directory, self } = this._options
    if (clock.nowMs() - this._rankAtMs < RANK_INTERVAL_MS) return this._rank
    this._rankAtMs = clock.nowMs()
    const nodes = directory.entries.filter(({ state, node }) => state !== 'gone' && node !== self)
    this._rank = { index: nodes.filter(({ node }) => node < self).length, count: nodes.length + 1 }
    return this._rank
  }
}
