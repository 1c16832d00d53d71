import type { DeclineReason, GateLoad } from '../parts/gate/Types.js'
import type { PlacementOutcome, PlacementQuery } from '../parts/placement/Types.js'
import type { HedgePolicy } from '../parts/retry/HedgePolicy.js'
import type { Route } from '../parts/routing/Types.js'
import type { CallId, NodeId, Random, ServiceName } from '../parts/Types.js'
import type { Clock } from '../runtime/Types.js'
import { HEDGE_BUDGET_SHARE, MAX_DECLINES, MAX_HEDGE_DECLINES, RETRY_MAX_SHARE, RETRY_SPREAD } from './Constants.js'
import type { Placement } from './Placement.js'
import type { RepeatBudgets } from './RepeatBudgets.js'
import type {
  Attempt, FailureProof, FailureReason, RawHeaders, RoutedAnswer, RoutedCall, RoutedCallHandle, RoutedCallSink
} from './Types.js'

/** A request of a caller, read whole and routed. */
export interface GatewayRequest {
  readonly requestId: string
  readonly method: string
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  readonly route: Route
  readonly service: ServiceName
  readonly version: number
  /** The attempt in whose run the instance on this VM makes this call; undefined when a caller makes it. */
  readonly parent: Attempt | undefined
  /** Milliseconds that the caller waits, counted from `arrivedAtMs`. */
  readonly deadlineMs: number
  readonly arrivedAtMs: number
  /** Until then the answer is worth its full value, counted from the caller's first attempt. */
  readonly objectiveAtMs: number
  /** Bytes that the request and its answer are expected to have together. */
  readonly expectedBytes: number
}

/** Why a request was not even routed. */
export type RequestFault = 'no-configuration' | 'no-route' | 'body-too-large'

/** Why the system answered in place of an instance. */
export type GatewayReason = FailureReason | DeclineReason | RequestFault | 'no-instance' | 'retry-budget' | 'caller-gone'

/** What the caller gets. */
export type GatewayResult =
  | { readonly type: 'answer', readonly answer: RoutedAnswer }
  /** Proved not to have run. */
  | { readonly type: 'refused', readonly reason: GatewayReason, readonly retryAfterMs: number }
  /** May have run. */
  | { readonly type: 'failed', readonly reason: GatewayReason, readonly timedOut: boolean }

/** What a call needs of its node. */
export interface GatewayContext {
  readonly clock: Clock
  readonly random: Random
  readonly placement: Placement
  readonly budgets: RepeatBudgets
  readonly hedges: HedgePolicy
  nextCall (): CallId
  /** Nodes that share the budgets. */
  nodes (): number
}

/** One instance's turn with the call. */
interface Turn {
  readonly id: CallId
  readonly node: NodeId
  readonly attempt: Attempt
  /** What the gate answers is final: the call has nowhere else to go. */
  readonly isFinal: boolean
  readonly startedAtMs: number
  handle: RoutedCallHandle | undefined
}

/** Failures that are likely those of the instance rather than of the request, so that another may answer better. */
const REPEATABLE_STATUS: ReadonlySet<number> = new Set([500, 502, 503])

const PLACEMENT_OUTCOME: { readonly [Proof in FailureProof]: PlacementOutcome } = {
  unsent: 'unreachable',
  rejected: 'declined',
  unknown: 'failed'
}

/** How a duplicate fared; undefined when none was sent. */
export type HedgeOutcome = 'declined' | 'sent' | 'won'

/**
 * One request of a caller on its way: placed, handed back by gates and placed anew, sent again where its route and
 * the budget allow, answered exactly once. A request that must run once is sent to another instance only when the
 * one before is proved not to have run it; one that may run again may have a second turn beside a slow first.
 */
export class GatewayCall {
  private readonly _timeoutAtMs: number
  private readonly _timer: NodeJS.Timeout
  private readonly _asked: NodeId[] = []
  /** Turns that are out: the first or its replacement, and a duplicate. */
  private readonly _turns = new Set<Turn>()
  private _hedgeTimer: NodeJS.Timeout | undefined
  private _hedge: HedgeOutcome | undefined
  private _hedgeDeclines = 0
  private _declines = 0
  private _askedAll = false
  /** Instances that a send may have reached. */
  private _sends = 0
  private _mayHaveRun = false
  private _heldAnswer: RoutedAnswer | undefined
  private _ended = false

  /**
   * @param _onEnd Called once with what the caller gets; not after `abandon`.
   */
  public constructor (
    private readonly _request: GatewayRequest,
    private readonly _context: GatewayContext,
    private readonly _onEnd: (result: GatewayResult) => void
  ) {
    const { route, deadlineMs, arrivedAtMs } = _request
    this._timeoutAtMs = arrivedAtMs + Math.min(deadlineMs, route.timeoutMs)
    this._timer = setTimeout(() => this._handleTimeout(), Math.max(1, this._timeoutAtMs - _context.clock.nowMs()))
  }

  /** Times that it may have reached an instance. */
  public get sends (): number {
    return this._sends
  }

  /** Times that a gate handed it back. */
  public get declines (): number {
    return this._declines
  }

  /** How its duplicate fared. */
  public get hedge (): HedgeOutcome | undefined {
    return this._hedge
  }

  /** Node of the last instance asked. */
  public get lastNode (): NodeId | undefined {
    return this._asked.at(-1)
  }

  /** Starts the first turn. */
  public begin (): void {
    const { budgets, clock, hedges, nodes } = this._context
    const { parent, service } = this._request
    const budget = budgets.of(service)
    hedges.throttleFor(service).recordFirstAttempt()
    if (parent === undefined) budget.countRequest(clock.nowMs())
    // What a repeated run calls is repeated work for the service that it calls.
    const isRepeat = parent !== undefined && parent !== 'first'
    if (isRepeat && !budget.tryWithdraw(nodes(), clock.nowMs())) this._giveUp('retry-budget', 0)
    else this._next(parent ?? 'first')
  }

  /** The caller went away: what is out is cancelled, what waits never starts. */
  public abandon (): void {
    if (this._ended) return
    this._cancelTurns()
    this._end()
  }

  private _next (attempt: Attempt): void {
    const { placement, clock } = this._context
    const chooser = placement.chooserOf(this._request.service)
    const nowMs = clock.nowMs()
    const query = this._buildQuery()
    const node = chooser?.choose(query, nowMs)
    if (node !== undefined) {
      const moveMs = this._declines < MAX_DECLINES ? chooser?.moveCostMs(node, query, nowMs) : undefined
      return this._ask(node, attempt, moveMs)
    }
    // All were asked: the one that is expected to finish first must take the call into its line.
    const mayAskAgain = this._sends === 0 && !this._askedAll
    this._askedAll = true
    const fallback = mayAskAgain ? chooser?.choose({ ...query, excluded: [] }, nowMs) : undefined
    if (fallback === undefined) this._giveUp('no-instance', 0)
    else this._ask(fallback, attempt, undefined)
  }

  private _buildQuery (): PlacementQuery {
    const { expectedBytes, route } = this._request
    return { bytes: expectedBytes, allowsTrial: route.kind !== 'once', excluded: this._asked }
  }

  /**
   * @param moveMs See `GateCall.moveMs`. The gate's answer to a call without it is final: callers that are given up are
   * told at once, not after they have waited at one gate after the other.
   */
  private _ask (node: NodeId, attempt: Attempt, moveMs: number | undefined): void {
    const { placement, clock } = this._context
    const id = this._context.nextCall()
    const startedAtMs = clock.nowMs()
    const turn: Turn = { id, node, attempt, isFinal: moveMs === undefined, startedAtMs, handle: undefined }
    this._turns.add(turn)
    this._asked.push(node)
    placement.chooserOf(this._request.service)?.recordStart(node)
    const sink = this._buildSink(turn)
    const target = placement.targetOf(node)
    if (target === undefined) return sink.onFailed('unsent', 'node-unknown', undefined)
    turn.handle = target.start(this._buildCall(turn, moveMs), sink)
    if (attempt !== 'hedge') this._armHedge()
  }

  private _buildSink (turn: Turn): RoutedCallSink {
    return {
      onAnswer: (answer, load) => {
        if (this._settle(turn, answer.status >= 500 ? 'failed' : 'answered', load)) this._handleAnswer(turn, answer)
      },
      onTurnedAway: (reason, retryAfterMs, load) => {
        const outcome = reason === 'no-slots' ? 'unreachable' : 'declined'
        if (this._settle(turn, outcome, load)) this._handleTurnedAway(turn, reason, retryAfterMs)
      },
      onFailed: (proof, reason, load) => {
        if (this._settle(turn, PLACEMENT_OUTCOME[proof], load)) this._handleFailed(turn, proof, reason)
      }
    }
  }

  /** Closes a turn; returns whether its outcome still matters. */
  private _settle (turn: Turn, outcome: PlacementOutcome, load: GateLoad | undefined): boolean {
    if (!this._turns.delete(turn)) return false
    const { placement, clock } = this._context
    placement.chooserOf(this._request.service)?.recordEnd(turn.node, outcome, load, clock.nowMs())
    return !this._ended
  }

  private _buildCall ({ id, attempt }: Turn, moveMs: number | undefined): RoutedCall {
    const { requestId, method, target, headers, body, route, service, parent, objectiveAtMs } = this._request
    const nowMs = this._context.clock.nowMs()
    return {
      id,
      service,
      method,
      target,
      headers,
      body,
      requestId,
      work: route.name,
      kind: route.kind,
      nested: parent !== undefined,
      priority: route.priority,
      // Whole numbers take a third of the bytes of others.
      leftMs: Math.max(1, Math.floor(this._timeoutAtMs - nowMs)),
      objectiveLeftMs: Math.floor(objectiveAtMs - nowMs),
      moveMs,
      attempt
    }
  }

  private _armHedge (): void {
    const { route, objectiveAtMs } = this._request
    if (route.kind === 'once' || this._hedge !== undefined) return
    const delayMs = this._context.hedges.delayMs(route.name, objectiveAtMs - this._context.clock.nowMs())
    clearTimeout(this._hedgeTimer)
    if (delayMs !== undefined) this._hedgeTimer = setTimeout(() => this._sendHedge(), delayMs)
  }

  /** Sends a duplicate to another instance while the first attempt is out, if that may help and the budget allows. */
  private _sendHedge (): void {
    const { placement, clock, hedges, budgets, nodes } = this._context
    const { route, service } = this._request
    if (this._turns.size !== 1 || this._sends + this._turns.size >= route.maxAttempts) return
    if (!hedges.throttleFor(service).allowHedge()) return
    const nowMs = clock.nowMs()
    const query = { ...this._buildQuery(), allowsTrial: false, maxCostMs: this._timeoutAtMs - nowMs }
    const node = placement.chooserOf(service)?.choose(query, nowMs)
    if (node === undefined || !budgets.of(service).tryWithdraw(nodes(), nowMs, HEDGE_BUDGET_SHARE)) return
    this._hedge = 'sent'
    this._ask(node, 'hedge', undefined)
  }

  private _handleAnswer (turn: Turn, answer: RoutedAnswer): void {
    this._sends++
    this._mayHaveRun = true
    if (this._isRepeatable(answer)) {
      this._heldAnswer = answer
      if (this._turns.size > 0) return
      if (this._mayRepeat()) return this._next('repeat')
    }
    this._learn(turn)
    this._finish({ type: 'answer', answer })
  }

  /** Learns from the attempt that answered, and from the one that it has overtaken. */
  private _learn (winner: Turn): void {
    const { hedges, clock } = this._context
    const { route, service } = this._request
    const nowMs = clock.nowMs()
    const first = winner.attempt === 'first' ? winner : [...this._turns].find(({ attempt }) => attempt === 'first')
    if (first !== undefined) hedges.recordLatency(route.name, nowMs - first.startedAtMs)
    if (this._hedge !== 'sent') return
    const won = winner.attempt === 'hedge'
    hedges.throttleFor(service).recordHedgeOutcome(won)
    if (won) this._hedge = 'won'
  }

  private _handleTurnedAway (turn: Turn, reason: DeclineReason, retryAfterMs: number): void {
    this._declines++
    if (turn.attempt === 'hedge' && this._hedge !== undefined) return this._handleHedgeDeclined(reason, retryAfterMs)
    if (this._turns.size > 0) return
    if (turn.isFinal && reason !== 'no-slots') this._giveUp(reason, retryAfterMs)
    else this._next(turn.attempt)
  }

  private _handleHedgeDeclined (reason: DeclineReason, retryAfterMs: number): void {
    this._context.budgets.of(this._request.service).refund()
    this._hedge = 'declined'
    if (this._turns.size === 0) return this._replaceFirst(reason, retryAfterMs)
    if (++this._hedgeDeclines < MAX_HEDGE_DECLINES) this._sendHedge()
  }

  /** The first attempt has failed and its duplicate found no room: what is left is an attempt that may wait. */
  private _replaceFirst (reason: DeclineReason, retryAfterMs: number): void {
    if (this._mayRepeat()) this._next('repeat')
    else this._giveUp(reason, retryAfterMs)
  }

  private _handleFailed (turn: Turn, proof: FailureProof, reason: FailureReason): void {
    if (proof !== 'unsent') this._sends++
    if (proof === 'unknown') this._mayHaveRun = true
    if (this._turns.size > 0) return
    // A duplicate was paid for as a repeat, and is the only attempt by now.
    const attempt = turn.attempt === 'hedge' && this._hedge !== undefined ? 'repeat' : turn.attempt
    if (proof === 'unsent') return this._next(attempt)
    // The deadline is that of the whole request: there is no time left for another instance.
    if (reason === 'timeout') return this._giveUp(reason, 0)
    const repeatable = proof === 'rejected' || this._request.route.kind !== 'once'
    if (repeatable && this._mayRepeat()) this._next('repeat')
    else this._giveUp(reason, 0)
  }

  private _isRepeatable ({ status }: RoutedAnswer): boolean {
    return REPEATABLE_STATUS.has(status) && this._request.route.kind !== 'once'
  }

  private _mayRepeat (): boolean {
    const { budgets, clock, nodes } = this._context
    const { route, service } = this._request
    if (this._sends >= route.maxAttempts) return false
    return budgets.of(service).tryWithdraw(nodes(), clock.nowMs())
  }

  private _giveUp (reason: GatewayReason, retryAfterMs: number): void {
    if (REFUSED_FOR_LOAD.has(reason)) this._context.hedges.throttleFor(this._request.service).recordOverload()
    if (this._heldAnswer !== undefined) this._finish({ type: 'answer', answer: this._heldAnswer })
    else if (this._mayHaveRun) this._finish({ type: 'failed', reason, timedOut: reason === 'timeout' })
    else this._finish({ type: 'refused', reason, retryAfterMs: this._spread(retryAfterMs) })
  }

  /** Callers that were refused together come back apart, and while they still wait. */
  private _spread (retryAfterMs: number): number {
    const { route, deadlineMs, arrivedAtMs } = this._request
    const leftMs = Math.max(0, arrivedAtMs + deadlineMs - this._context.clock.nowMs())
    const spreadMs = this._context.random.next() * RETRY_SPREAD * route.latencyObjectiveMs
    return Math.min(retryAfterMs + spreadMs, leftMs * RETRY_MAX_SHARE)
  }

  private _handleTimeout (): void {
    if (this._ended) return
    const out = this._turns.size > 0
    this._cancelTurns()
    if (this._heldAnswer !== undefined) this._finish({ type: 'answer', answer: this._heldAnswer })
    else if (out || this._mayHaveRun) this._finish({ type: 'failed', reason: 'timeout', timedOut: true })
    else this._finish({ type: 'refused', reason: 'timeout', retryAfterMs: 0 })
  }

  private _cancelTurns (): void {
    for (const turn of [...this._turns]) {
      this._sends++
      turn.handle?.cancel()
      this._settle(turn, 'cancelled', undefined)
    }
  }

  private _finish (result: GatewayResult): void {
    if (this._ended) return
    this._cancelTurns()
    this._end()
    this._onEnd(result)
  }

  private _end (): void {
    this._ended = true
    clearTimeout(this._timer)
    clearTimeout(this._hedgeTimer)
  }
}

/** Reasons that tell of too much load rather than of a failure. */
const REFUSED_FOR_LOAD: ReadonlySet<GatewayReason> = new Set(['busy', 'too-late'])
