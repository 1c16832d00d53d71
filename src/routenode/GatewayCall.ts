import type { GateLoad, TurnAwayReason } from '../parts/gate/Types.js'
import type { PlacementOutcome } from '../parts/placement/Types.js'
import type { Route } from '../parts/routing/Types.js'
import type { CallId, NodeId, Random, ServiceName } from '../parts/Types.js'
import type { Clock } from '../runtime/Types.js'
import { MAX_DECLINES, RETRY_MAX_SHARE, RETRY_SPREAD } from './Constants.js'
import type { Placement } from './Placement.js'
import type { RepeatBudgets } from './RepeatBudgets.js'
import type { FailureProof, FailureReason, RawHeaders, RoutedAnswer, RoutedCall, RoutedCallHandle } from './Types.js'

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
  readonly nested: boolean
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
export type GatewayReason = FailureReason | TurnAwayReason | RequestFault | 'no-instance' | 'retry-budget' | 'caller-gone'

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
  nextCall (): CallId
  /** Nodes that share the budgets. */
  nodes (): number
}

/** One instance's turn with the call. */
interface Turn {
  readonly id: CallId
  readonly node: NodeId
  /** What the gate answers is final: the call has nowhere else to go. */
  readonly isFinal: boolean
  handle: RoutedCallHandle | undefined
  open: boolean
}

/** How much better the answer of another instance may be: its own trouble, not that of the request. */
const REPEATABLE_STATUS: ReadonlySet<number> = new Set([500, 502, 503])

const PLACEMENT_OUTCOME: { readonly [Proof in FailureProof]: PlacementOutcome } = {
  unsent: 'unreachable',
  rejected: 'declined',
  unknown: 'failed'
}

/**
 * One request of a caller on its way: placed, handed back by gates and placed anew, sent again where its route and
 * the budget allow, answered exactly once. A request that must run once is sent to another instance only when the
 * one before is proved not to have run it.
 */
export class GatewayCall {
  private readonly _timeoutAtMs: number
  private readonly _timer: NodeJS.Timeout
  private readonly _asked: NodeId[] = []
  private _turn: Turn | undefined
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

  /** Node of the last instance asked. */
  public get lastNode (): NodeId | undefined {
    return this._asked.at(-1)
  }

  /** Starts the first turn. */
  public begin (): void {
    const { budgets, clock } = this._context
    if (!this._request.nested) budgets.of(this._request.service).countRequest(clock.nowMs())
    this._next()
  }

  /** The caller went away: what is out is cancelled, what waits never starts. */
  public abandon (): void {
    if (this._ended) return
    this._end()
    this._cancelTurn()
  }

  private _next (): void {
    const { placement, clock } = this._context
    const chooser = placement.chooserOf(this._request.service)
    const nowMs = clock.nowMs()
    const mayTry = this._request.route.kind !== 'once'
    const query = { bytes: this._request.expectedBytes, mayTry, excluded: this._asked }
    const node = chooser?.choose(query, nowMs)
    if (node !== undefined) {
      const moveMs = this._declines < MAX_DECLINES ? chooser?.moveMs(node, query, nowMs) : undefined
      return this._ask(node, moveMs)
    }
    // All were asked: the one that is expected to finish first must take the call into its line.
    const mayAskAgain = this._sends === 0 && !this._askedAll
    this._askedAll = true
    const fallback = mayAskAgain ? chooser?.choose({ ...query, excluded: [] }, nowMs) : undefined
    if (fallback === undefined) this._giveUp('no-instance', 0)
    else this._ask(fallback, undefined)
  }

  /**
   * @param moveMs See `GateCall.moveMs`. The gate's answer to a call without it is final: callers that are given up are
   * told at once, not after they have waited at one gate after the other.
   */
  private _ask (node: NodeId, moveMs: number | undefined): void {
    const { placement, clock } = this._context
    const target = placement.targetOf(node)
    const chooser = placement.chooserOf(this._request.service)
    const id = this._context.nextCall()
    const turn: Turn = { id, node, isFinal: moveMs === undefined, handle: undefined, open: true }
    this._turn = turn
    this._asked.push(node)
    chooser?.begin(node)
    const settle = (outcome: PlacementOutcome, load: GateLoad | undefined): boolean => {
      const current = turn.open && this._turn === turn
      if (turn.open) chooser?.end(node, outcome, load, clock.nowMs())
      turn.open = false
      return current && !this._ended
    }
    const sink = {
      onAnswer: (answer: RoutedAnswer, load: GateLoad) => {
        if (settle(answer.status >= 500 ? 'failed' : 'answered', load)) this._handleAnswer(answer)
      },
      onTurnedAway: (reason: TurnAwayReason, retryAfterMs: number, load: GateLoad) => {
        const outcome = reason === 'no-slots' ? 'unreachable' : 'declined'
        if (settle(outcome, load)) this._handleTurnedAway(turn, reason, retryAfterMs)
      },
      onFailed: (proof: FailureProof, reason: FailureReason, load: GateLoad | undefined) => {
        if (settle(PLACEMENT_OUTCOME[proof], load)) this._handleFailed(proof, reason)
      }
    }
    if (target === undefined) return sink.onFailed('unsent', 'node-unknown', undefined)
    const handle = target.start(this._buildCall(turn.id, moveMs), sink)
    turn.handle = {
      cancel: () => {
        handle.cancel()
        settle('cancelled', undefined)
      }
    }
  }

  private _buildCall (id: CallId, moveMs: number | undefined): RoutedCall {
    const { requestId, method, target, headers, body, route, service, nested, objectiveAtMs } = this._request
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
      nested,
      priority: route.priority,
      // Whole numbers take a third of the bytes of others.
      leftMs: Math.max(1, Math.floor(this._timeoutAtMs - nowMs)),
      objectiveLeftMs: Math.floor(objectiveAtMs - nowMs),
      moveMs
    }
  }

  private _handleAnswer (answer: RoutedAnswer): void {
    this._sends++
    this._mayHaveRun = true
    if (this._isRepeatable(answer) && this._mayRepeat()) {
      this._heldAnswer = answer
      this._next()
      return
    }
    this._finish({ type: 'answer', answer })
  }

  private _handleTurnedAway ({ isFinal }: Turn, reason: TurnAwayReason, retryAfterMs: number): void {
    this._declines++
    if (isFinal && reason !== 'no-slots') this._giveUp(reason, retryAfterMs)
    else this._next()
  }

  private _handleFailed (proof: FailureProof, reason: FailureReason): void {
    if (proof === 'unsent') return this._next()
    this._sends++
    if (proof === 'unknown') this._mayHaveRun = true
    // The deadline is that of the whole request: there is no time left for another instance.
    if (reason === 'timeout') return this._giveUp(reason, 0)
    const repeatable = proof === 'rejected' || this._request.route.kind !== 'once'
    if (repeatable && this._mayRepeat()) this._next()
    else this._giveUp(reason, 0)
  }

  private _isRepeatable ({ status }: RoutedAnswer): boolean {
    return REPEATABLE_STATUS.has(status) && this._request.route.kind !== 'once'
  }

  private _mayRepeat (): boolean {
    const { budgets, clock, nodes } = this._context
    const { route, service } = this._request
    if (this._sends >= route.maxAttempts) return false
    return budgets.of(service).tryRepeat(nodes(), clock.nowMs())
  }

  private _giveUp (reason: GatewayReason, retryAfterMs: number): void {
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
    const out = this._turn?.open === true
    this._cancelTurn()
    if (this._heldAnswer !== undefined) this._finish({ type: 'answer', answer: this._heldAnswer })
    else if (out || this._mayHaveRun) this._finish({ type: 'failed', reason: 'timeout', timedOut: true })
    else this._finish({ type: 'refused', reason: 'timeout', retryAfterMs: 0 })
  }

  private _cancelTurn (): void {
    if (this._turn?.open !== true) return
    this._sends++
    this._turn.handle?.cancel()
  }

  private _finish (result: GatewayResult): void {
    if (this._ended) return
    this._end()
    this._onEnd(result)
  }

  private _end (): void {
    this._ended = true
    clearTimeout(this._timer)
  }
}
