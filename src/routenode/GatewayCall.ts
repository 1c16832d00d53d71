import type { PlacementOutcome, PlacementQuery } from '../parts/placement/Types.js'
import type { HedgePolicy } from '../parts/retry/HedgePolicy.js'
import { isAtMostOnce } from '../parts/routing/RouteKinds.js'
import { computeTransferMs } from '../parts/transfer/TransferTime.js'
import type { CallId, NodeId, Random } from '../parts/Types.js'
import type { Clock } from '../runtime/Types.js'
import type { BodyResources } from './BodyTransfer.js'
import {
  EVACUATED_RETRY_AFTER_MS, HEDGE_BUDGET_SHARE, LAST_TRY_MIN_WAIT_MS, MAX_DECLINES, MAX_HEDGE_DECLINES,
  RETRY_AFTER_JITTER, RETRY_AFTER_MAX_SHARE
} from './Constants.js'
import type { Placement } from './Placement.js'
import type { Quarantine } from './Quarantine.js'
import type { SharedRetryBudgets } from './SharedRetryBudgets.js'
import type {
  AttemptKind, FailureProof, FailureReason, GatewayReason, GatewayRequest, GatewayResult, InstanceStatus, RefusalReason,
  RoutedAnswer, RoutedCall, RoutedCallHandle, RoutedCallListener
} from './Types.js'

/** What a `GatewayCall` needs of its node. */
export interface GatewayContext {
  readonly clock: Clock
  readonly random: Random
  readonly placement: Placement
  readonly retryBudgets: SharedRetryBudgets
  readonly hedgePolicy: HedgePolicy
  readonly quarantine: Pick<Quarantine, 'check'>
  /** Rate of the link of this VM, among others; absent when that is not counted. */
  readonly bodies?: BodyResources
  /** Returns the used share of a workspace's quota; undefined where it is not known. */
  shareUsed? (workspace: string): number | undefined
  /** Returns an id that no other call of this node has. */
  nextCallId (): CallId
  /** Returns the number of nodes that share the retry budgets. */
  nodeCount (): number
}

/** An attempt that has not ended yet. */
interface PendingAttempt {
  readonly id: CallId
  readonly node: NodeId
  readonly kind: AttemptKind
  /** True when a decline by the gate is final, since the request goes to no other instance. */
  readonly isFinal: boolean
  readonly startedAtMs: number
  /** True once the node of the instance did not answer a ping; the attempt may still end. */
  isUnresponsive: boolean
  handle: RoutedCallHandle | undefined
}

/** Statuses that are likely due to the instance rather than to the request, so that another instance may do better. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503])

/** Outcome that the chooser records for a failed attempt; a rejecting instance counts as one that declines. */
const PLACEMENT_OUTCOME: { readonly [Proof in FailureProof]: PlacementOutcome } = {
  unsent: 'unreachable',
  rejected: 'declined',
  unknown: 'failed'
}

/** Outcome that the chooser records for a call that was turned away; by default the instance counts as declining. */
const OUTCOME_BY_REFUSAL: { readonly [Reason in RefusalReason]?: PlacementOutcome } = {
  'no-slots': 'unreachable',
  quarantined: 'cancelled',
  'request-invalid': 'cancelled'
}

/** Outcome of a hedge: `declined` by a gate, `won` when its answer was first, and otherwise `sent`. */
export type HedgeOutcome = 'declined' | 'sent' | 'won'

/**
 * One request of a caller, from the choice of an instance to its only answer. When a gate declines an attempt, the
 * request goes to another instance; when an attempt fails, it is retried where the route and the retry budget allow it.
 * An at-most-once request goes to another instance only when the one before is proved not to have run it. An idempotent
 * request may be hedged when its first attempt is slow. A quarantined request is refused before each of them.
 */
export class GatewayCall {
  private readonly _timeoutAtMs: number
  private readonly _timeoutTimer: NodeJS.Timeout
  private readonly _triedNodes: NodeId[] = []
  /** At most two: the first attempt or its retry, and a hedge, or a retry beside an unresponsive attempt. */
  private readonly _pendingAttempts = new Set<PendingAttempt>()
  private _hedgeTimer: NodeJS.Timeout | undefined
  private _hedgeOutcome: HedgeOutcome | undefined
  private _hedgeDeclines = 0
  private _declines = 0
  private _hasQueuedAtTriedInstance = false
  private _hasTriedLast = false
  /** Attempts that may have reached an instance. */
  private _sends = 0
  private _mayHaveRun = false
  /** Answer with a retryable status; the caller receives it when no attempt answers better. */
  private _failedAnswer: RoutedAnswer | undefined
  private _isEnded = false

  /**
   * @param _onEnd Called once with the result; not called after `cancel`.
   */
  public constructor (
    private readonly _request: GatewayRequest,
    private readonly _context: GatewayContext,
    private readonly _onEnd: (result: GatewayResult) => void
  ) {
    const { route, deadlineMs, arrivedAtMs } = _request
    this._timeoutAtMs = arrivedAtMs + Math.min(deadlineMs, route.timeoutMs)
    this._timeoutTimer = setTimeout(() => this.endWithoutAnswer('timeout'), Math.max(1, this._timeoutAtMs - _context.clock.nowMs()))
  }

  /** Number of attempts that may have reached an instance. */
  public get sends (): number {
    return this._sends
  }

  /** Number of attempts of this request that a gate declined. */
  public get declines (): number {
    return this._declines
  }

  /** Outcome of the last hedge; undefined when none was sent. */
  public get hedge (): HedgeOutcome | undefined {
    return this._hedgeOutcome
  }

  /** Node of the instance that was tried last. */
  public get lastNode (): NodeId | undefined {
    return this._triedNodes.at(-1)
  }

  /** Starts the first attempt. */
  public start (): void {
    const { retryBudgets, clock, hedgePolicy, nodeCount } = this._context
    const { parentAttemptKind, service } = this._request
    const budget = retryBudgets.budgetFor(service)
    hedgePolicy.throttleFor(service).recordFirstAttempt()
    if (parentAttemptKind === undefined) budget.countRequest(clock.nowMs())
    // A nested call of a retry or a hedge is repeated work for the service that it calls.
    const isRetry = parentAttemptKind !== undefined && parentAttemptKind !== 'first'
    if (isRetry && !budget.tryWithdraw(nodeCount(), clock.nowMs())) this._giveUp('retry-budget', 0)
    else this._startAttempt(parentAttemptKind ?? 'first')
  }

  /** The caller has disconnected: pending attempts are cancelled and no more are started. */
  public cancel (): void {
    if (this._isEnded) return
    this._cancelAttempts()
    this._end()
  }

  private _startAttempt (kind: AttemptKind): void {
    const { placement, clock, quarantine } = this._context
    const refusal = quarantine.check(this._request, true)
    if (refusal !== undefined) return this._giveUp('quarantined', refusal.retryAfterMs)
    const chooser = placement.findChooser(this._request.service)
    const nowMs = clock.nowMs()
    const query = this._buildQuery()
    const node = chooser?.choose(query, nowMs)
    if (node !== undefined) {
      const moveMs = this._declines < MAX_DECLINES ? chooser?.moveCostMs(node, query, nowMs) : undefined
      return this._sendTo(node, kind, moveMs)
    }
    // All instances were tried. If none can have received the request, the one expected to finish first must queue it.
    const mayQueueAtTriedInstance = this._sends === 0 && !this._hasQueuedAtTriedInstance
    this._hasQueuedAtTriedInstance = true
    const fallback = mayQueueAtTriedInstance ? chooser?.choose({ ...query, excluded: [] }, nowMs) : undefined
    if (fallback !== undefined) return this._sendTo(fallback, kind, undefined)
    if (chooser?.isClosed(query) === true) return this._giveUp('zones-evacuated', EVACUATED_RETRY_AFTER_MS)
    const untilOpenMs = chooser?.untilOpenMs(nowMs)
    if (untilOpenMs === undefined) this._giveUp('no-instance', 0)
    else this._giveUp('rate-limited', untilOpenMs)
  }

  private _buildQuery (): PlacementQuery {
    const { expectedBytes, route, body } = this._request
    const { placement, bodies } = this._context
    const query = {
      bytes: expectedBytes,
      allowsTrial: !isAtMostOnce(route.kind),
      excluded: this._triedNodes,
      ...placement.drawExclusion()
    }
    if (route.kind !== 'upload') return query
    return { ...query, transferMs: computeTransferMs(body.length, bodies?.linkMbps) }
  }

  /**
   * Sends an attempt to the instance beside a node.
   * @param moveMs See `GateCall.moveMs`. When undefined, a decline is final, so that the caller is refused at once
   * instead of waiting at one gate after the other.
   * @param isFinal True when the request goes to no other instance if the gate declines.
   */
  private _sendTo (node: NodeId, kind: AttemptKind, moveMs: number | undefined, isFinal = moveMs === undefined): void {
    const { placement, clock } = this._context
    const id = this._context.nextCallId()
    const startedAtMs = clock.nowMs()
    const pending: PendingAttempt = {
      id, node, kind, isFinal, startedAtMs, isUnresponsive: false, handle: undefined
    }
    this._pendingAttempts.add(pending)
    this._triedNodes.push(node)
    placement.findChooser(this._request.service)?.recordSent(node)
    const listener = this._buildListener(pending)
    pending.handle = placement.findTarget(node).start(this._buildCall(pending, moveMs), listener)
    if (kind !== 'hedge') this._scheduleHedge()
  }

  private _buildListener (pending: PendingAttempt): RoutedCallListener {
    return {
      onAnswer: (answer, load) => {
        const outcome = answer.status >= 500 ? 'failed' : 'answered'
        if (this._endAttempt(pending, outcome, load, true)) this._onAnswer(pending, answer)
      },
      onDeclined: (reason, retryAfterMs, load) => {
        const outcome = OUTCOME_BY_REFUSAL[reason] ?? 'declined'
        if (this._endAttempt(pending, outcome, load)) this._onDeclined(pending, reason, retryAfterMs)
      },
      onFailed: (proof, reason, load) => {
        if (this._endAttempt(pending, PLACEMENT_OUTCOME[proof], load)) this._onFailed(pending, proof, reason)
      },
      onUnresponsive: () => this._onUnresponsive(pending)
    }
  }

  /** The node may be gone: a request that may run twice is retried without waiting for the link to fail. */
  private _onUnresponsive (pending: PendingAttempt): void {
    if (this._isEnded || !this._pendingAttempts.has(pending)) return
    pending.isUnresponsive = true
    if (isAtMostOnce(this._request.route.kind) || this._hasResponsiveAttempt()) return
    if (this._tryWithdrawRetry()) this._startAttempt('repeat')
  }

  private _hasResponsiveAttempt (): boolean {
    return [...this._pendingAttempts].some(({ isUnresponsive }) => !isUnresponsive)
  }

  /** Removes a pending attempt and records its outcome; returns whether the outcome still matters to the request. */
  private _endAttempt (
    pending: PendingAttempt, outcome: PlacementOutcome, load: InstanceStatus | undefined, isAnswer = false
  ): boolean {
    if (!this._pendingAttempts.delete(pending)) return false
    const { placement, clock } = this._context
    if (load !== undefined) placement.recordStatus(pending.node, load, isAnswer)
    placement.findChooser(this._request.service)?.recordEnd(pending.node, outcome, load, clock.nowMs())
    return !this._isEnded
  }

  private _buildCall ({ id, kind, node }: PendingAttempt, moveMs: number | undefined): RoutedCall {
    const { requestId, method, target, headers, body, route, service, workspace } = this._request
    const { parentAttemptKind, objectiveAtMs } = this._request
    const nowMs = this._context.clock.nowMs()
    const knownLimit = this._context.placement.findKnownLimit(node)
    const coldPerS = this._context.placement.findColdPerS(service)
    const shareUsed = workspace?.shareUsed ?? (workspace && this._context.shareUsed?.(workspace.name))
    return {
      ...(coldPerS === undefined ? {} : { coldPerS }),
      ...(knownLimit === undefined ? {} : { knownLimit }),
      ...(workspace === undefined ? {} : { workspace: workspace.name, workspacePriority: workspace.priority }),
      ...(shareUsed === undefined ? {} : { shareUsed }),
      id,
      service,
      method,
      target,
      headers,
      body,
      requestId,
      work: route.name,
      kind: route.kind,
      nested: parentAttemptKind !== undefined,
      priority: route.priority,
      // Integers take a third of the bytes of fractions in a frame.
      leftMs: Math.max(1, Math.floor(this._timeoutAtMs - nowMs)),
      objectiveLeftMs: Math.floor(objectiveAtMs - nowMs),
      moveMs,
      attempt: kind
    }
  }

  private _scheduleHedge (): void {
    const { route, objectiveAtMs } = this._request
    if (isAtMostOnce(route.kind) || this._hedgeOutcome !== undefined) return
    const delayMs = this._context.hedgePolicy.delayMs(route.name, objectiveAtMs - this._context.clock.nowMs())
    clearTimeout(this._hedgeTimer)
    if (delayMs !== undefined) this._hedgeTimer = setTimeout(() => this._sendHedge(), delayMs)
  }

  /**
   * Sends a hedge to another instance while one attempt is pending, if an attempt is left, the throttle and the budget
   * allow it, and that instance is expected to answer in time.
   */
  private _sendHedge (): void {
    const { placement, clock, hedgePolicy, retryBudgets, nodeCount, quarantine } = this._context
    const { route, service } = this._request
    if (this._pendingAttempts.size !== 1 || this._sends + this._pendingAttempts.size >= route.maxAttempts) return
    if (!hedgePolicy.throttleFor(service).allowHedge() || quarantine.check(this._request, true) !== undefined) return
    const nowMs = clock.nowMs()
    const query = { ...this._buildQuery(), allowsTrial: false, maxCostMs: this._timeoutAtMs - nowMs }
    const node = placement.findChooser(service)?.choose(query, nowMs)
    if (
      node === undefined || !retryBudgets.budgetFor(service).tryWithdraw(nodeCount(), nowMs, HEDGE_BUDGET_SHARE)
    ) return
    this._hedgeOutcome = 'sent'
    this._sendTo(node, 'hedge', undefined)
  }

  private _onAnswer (pending: PendingAttempt, answer: RoutedAnswer): void {
    this._sends++
    this._mayHaveRun = true
    if (this._isRetryable(answer)) {
      this._failedAnswer = answer
      if (this._pendingAttempts.size > 0) return
      if (this._tryWithdrawRetry()) return this._startAttempt('repeat')
    }
    this._recordLatency(pending)
    this._finish({ type: 'answer', answer })
  }

  /** Records the latency of the first attempt, also when a hedge has overtaken it, and whether the hedge won. */
  private _recordLatency (winner: PendingAttempt): void {
    const { hedgePolicy, clock } = this._context
    const { route, service } = this._request
    const nowMs = clock.nowMs()
    const first = winner.kind === 'first' ? winner : [...this._pendingAttempts].find(({ kind }) => kind === 'first')
    if (first !== undefined) hedgePolicy.recordLatency(route.name, nowMs - first.startedAtMs)
    if (this._hedgeOutcome !== 'sent') return
    const won = winner.kind === 'hedge'
    hedgePolicy.throttleFor(service).recordHedgeOutcome(won)
    if (won) this._hedgeOutcome = 'won'
  }

  private _onDeclined (pending: PendingAttempt, reason: RefusalReason, retryAfterMs: number): void {
    this._declines++
    if (pending.kind === 'hedge' && this._hedgeOutcome !== undefined) return this._onHedgeDeclined(reason, retryAfterMs)
    if (this._hasResponsiveAttempt()) return
    if (reason === 'quarantined' || reason === 'request-invalid') return this._giveUp(reason, retryAfterMs)
    if (!pending.isFinal || NEVER_FINAL_REASONS.has(reason)) return this._startAttempt(pending.kind)
    const waitedMs = this._context.clock.nowMs() - pending.startedAtMs
    if (waitedMs >= LAST_TRY_MIN_WAIT_MS && !this._hasTriedLast) this._tryLast(pending, reason, retryAfterMs)
    else this._giveUp(reason, retryAfterMs)
  }

  /**
   * Tries one more instance after a call has waited at a gate in vain, because its instance has slowed down: others may
   * be idle by now. The call must not wait again, so it only takes a free slot.
   */
  private _tryLast (declined: PendingAttempt, reason: RefusalReason, retryAfterMs: number): void {
    const { placement, clock } = this._context
    this._hasTriedLast = true
    const query = { ...this._buildQuery(), excluded: [declined.node] }
    const node = placement.findChooser(this._request.service)?.choose(query, clock.nowMs())
    if (node === undefined) this._giveUp(reason, retryAfterMs)
    else this._sendTo(node, declined.kind, 0, true)
  }

  private _onHedgeDeclined (reason: RefusalReason, retryAfterMs: number): void {
    this._context.retryBudgets.budgetFor(this._request.service).refund()
    this._hedgeOutcome = 'declined'
    if (this._pendingAttempts.size === 0) return this._retryAfterHedgeDeclined(reason, retryAfterMs)
    if (++this._hedgeDeclines < MAX_HEDGE_DECLINES) this._sendHedge()
  }

  /** The first attempt has failed and its hedge was declined: what is left is a retry, which may be queued. */
  private _retryAfterHedgeDeclined (reason: RefusalReason, retryAfterMs: number): void {
    if (this._tryWithdrawRetry()) this._startAttempt('repeat')
    else this._giveUp(reason, retryAfterMs)
  }

  private _onFailed (pending: PendingAttempt, proof: FailureProof, reason: FailureReason): void {
    if (proof !== 'unsent') this._sends++
    if (proof === 'unknown') this._mayHaveRun = true
    if (this._hasResponsiveAttempt()) return
    // The hedge was the last pending attempt and its budget token is spent, so its replacement counts as a retry.
    const kind = pending.kind === 'hedge' && this._hedgeOutcome !== undefined ? 'repeat' : pending.kind
    if (proof === 'unsent') return this._startAttempt(kind)
    // The deadline holds for the whole request: no time is left for another instance.
    if (reason === 'timeout') return this._giveUp(reason, 0)
    const isRetryable = proof === 'rejected' || !isAtMostOnce(this._request.route.kind)
    if (isRetryable && this._tryWithdrawRetry()) this._startAttempt('repeat')
    else this._giveUp(reason, 0)
  }

  private _isRetryable ({ status }: RoutedAnswer): boolean {
    return RETRYABLE_STATUSES.has(status) && !isAtMostOnce(this._request.route.kind)
  }

  private _tryWithdrawRetry (): boolean {
    const { retryBudgets, clock, nodeCount } = this._context
    const { route, service } = this._request
    if (this._sends + this._pendingAttempts.size >= route.maxAttempts) return false
    return retryBudgets.budgetFor(service).tryWithdraw(nodeCount(), clock.nowMs())
  }

  /** Ends the request without an answer, unless an unresponsive attempt is left that may still bring one. */
  private _giveUp (reason: GatewayReason, retryAfterMs: number): void {
    if (this._pendingAttempts.size > 0) return
    if (OVERLOAD_REASONS.has(reason)) this._context.hedgePolicy.throttleFor(this._request.service).recordOverload()
    if (this._failedAnswer !== undefined) this._finish({ type: 'answer', answer: this._failedAnswer })
    else if (this._mayHaveRun) this._finish({ type: 'failed', reason, timedOut: reason === 'timeout' })
    else this._finish({ type: 'refused', reason, retryAfterMs: this._computeRetryAfterMs(reason, retryAfterMs) })
  }

  /**
   * Adds jitter, so that callers refused together don't return together, and caps the delay below their deadline. The
   * caller of a quarantined request is not invited to return before the quarantine ends.
   */
  private _computeRetryAfterMs (reason: GatewayReason, retryAfterMs: number): number {
    if (reason === 'quarantined') return retryAfterMs
    const { route, deadlineMs, arrivedAtMs } = this._request
    const leftMs = Math.max(0, arrivedAtMs + deadlineMs - this._context.clock.nowMs())
    const jitterMs = this._context.random.next() * RETRY_AFTER_JITTER * route.latencyObjectiveMs
    return Math.min(retryAfterMs + jitterMs, leftMs * RETRY_AFTER_MAX_SHARE)
  }

  /** Ends the call at its timeout or before its node exits: `refused` where it is proved that nothing has run. */
  public endWithoutAnswer (reason: 'timeout' | 'stopping'): void {
    if (this._isEnded) return
    const hasPending = [...this._pendingAttempts].some(({ handle }) => handle?.isUnsent?.() !== true)
    this._cancelAttempts()
    if (this._failedAnswer !== undefined) this._finish({ type: 'answer', answer: this._failedAnswer })
    else if (hasPending || this._mayHaveRun) this._finish({ type: 'failed', reason, timedOut: reason === 'timeout' })
    else this._finish({ type: 'refused', reason, retryAfterMs: 0 })
  }

  private _cancelAttempts (): void {
    for (const pending of [...this._pendingAttempts]) {
      if (pending.handle?.isUnsent?.() !== true) this._sends++
      pending.handle?.cancel()
      this._endAttempt(pending, 'cancelled', undefined)
    }
  }

  private _finish (result: GatewayResult): void {
    if (this._isEnded) return
    this._cancelAttempts()
    this._end()
    this._onEnd(result)
  }

  private _end (): void {
    this._isEnded = true
    clearTimeout(this._timeoutTimer)
    clearTimeout(this._hedgeTimer)
  }
}

/** Reasons for which an instance declines calls without regard to its queue, so that another may take them at once. */
const NEVER_FINAL_REASONS: ReadonlySet<RefusalReason> = new Set(['no-slots', 'rate-limited'])

/** Reasons that stem from overload rather than from a failure. */
const OVERLOAD_REASONS: ReadonlySet<GatewayReason> = new Set(['busy', 'too-late', 'displaced'])
