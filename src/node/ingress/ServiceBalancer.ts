import type { UpstreamChooser } from '../../parts/choice/UpstreamChooser.js'
import type { AttemptOutcome, Candidate, ChoiceAction, ChoiceEvent } from '../../parts/choice/Types.js'
import type { RetryPolicy } from '../../parts/retry/RetryPolicy.js'
import type { RetryAction, RetryEvent } from '../../parts/retry/Types.js'
import type { CallId, CallKind, InstanceId, LoadEvidence, Reason } from '../../parts/Types.js'
import { PartTimer } from '../../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import type { TargetSource } from './Types.js'

/** Result of a choice: an instance, or the reason why none is available. */
export type Choice =
  | { readonly type: 'chosen', readonly instance: InstanceId }
  | { readonly type: 'none', readonly reason: Reason, readonly retryAfterMs: number }

/** Receives the decisions of the retry policy for one call. */
export interface RetryListener {
  handleRetryAction (action: RetryAction): void
}

/** Interval of the chooser's ticks, which age its load evidence, while calls are in flight or were recently. */
const CHOOSER_TICK_MS = 50

/** Number of ticks without a call after which the ticks stop, so that an idle service costs nothing. */
const IDLE_TICKS = 20

/**
 * Balances the calls of one service at one ingress node: chooses an instance for each attempt, and decides on retries
 * and hedges. Memory: one entry for each call in flight.
 */
export class ServiceBalancer implements Disposable {
  private readonly _drainingInstances = new Set<InstanceId>()
  private readonly _listeners = new Map<CallId, RetryListener>()
  private readonly _retryTimer: PartTimer
  private _ticker: NodeJS.Timeout | undefined
  private _idleTicks = 0

  public constructor (
    private readonly _service: string,
    private readonly _chooser: UpstreamChooser,
    private readonly _retryPolicy: RetryPolicy,
    private readonly _targets: TargetSource,
    private readonly _clock: Clock,
    private readonly _log: Log
  ) {
    this._retryTimer = new PartTimer(_clock, () => this._stepRetryPolicy({ type: 'tick' }))
  }

  /** Replaces the instances that may be chosen. */
  public setCandidates (candidates: readonly Candidate[]): void {
    this._drainingInstances.clear()
    this._stepChooser({ type: 'members', candidates })
  }

  /** Notifies the chooser of a link that opened or was lost, or of new load evidence. */
  public notify (event: Extract<ChoiceEvent, { type: 'linkUp' | 'linkDown' | 'evidence' }>): void {
    this._stepChooser(event)
  }

  /** Starts a call; its listener receives the decisions on retries and hedges until `endCall`. */
  public beginCall (event: Extract<RetryEvent, { type: 'begin' }>, listener: RetryListener): void {
    this._listeners.set(event.call, listener)
    this._idleTicks = 0
    this._ticker ??= setInterval(() => this._tick(), CHOOSER_TICK_MS)
    this._stepRetryPolicy(event)
  }

  /** Reports the failure or success of an attempt to the retry policy. */
  public report (event: Extract<RetryEvent, { type: 'failed' | 'succeeded' }>): void {
    this._stepRetryPolicy(event)
  }

  /** Ends a call and removes its entry. */
  public endCall (call: CallId): void {
    if (this._listeners.delete(call)) this._stepRetryPolicy({ type: 'ended', call })
  }

  /** Chooses an instance for an attempt; draining ones only if no other is available. */
  public choose (attempt: CallId, kind: CallKind, excluded: readonly InstanceId[]): Choice {
    if (this._drainingInstances.size === 0) return this._chooseExcept(attempt, kind, excluded)
    const choice = this._chooseExcept(attempt, kind, excluded.concat(...this._drainingInstances))
    return choice.type === 'none' ? this._chooseExcept(attempt, kind, excluded) : choice
  }

  /** Records that an instance refused a call because it drains; it is avoided until the next `setCandidates`. */
  public markDraining (instance: InstanceId): void {
    this._drainingInstances.add(instance)
  }

  private _chooseExcept (attempt: CallId, kind: CallKind, excluded: readonly InstanceId[]): Choice {
    for (const action of this._stepChooser({ type: 'choose', call: attempt, kind, excluded })) {
      if (action.type === 'chosen') return action
      if (action.type !== 'noneAvailable') continue
      const { reason, retryAfterMs } = action
      return { type: 'none', reason, retryAfterMs }
    }
    return { type: 'none', reason: 'no-upstream', retryAfterMs: 0 }
  }

  /** Records the outcome of an attempt, with its latency in milliseconds, in the chooser. */
  public recordOutcome (
    attempt: CallId,
    instance: InstanceId,
    outcome: AttemptOutcome,
    latencyMs: number,
    evidence: LoadEvidence | undefined
  ): void {
    const event = { type: 'answered', call: attempt, instance, outcome, latencyMs } as const
    this._stepChooser(evidence === undefined ? event : { ...event, evidence })
  }

  /** Number of calls in flight. */
  public get inFlight (): number {
    return this._listeners.size
  }

  /** Stops the timers. */
  public dispose (): void {
    this._stopTicking()
    this._retryTimer.dispose()
  }

  private _tick (): void {
    this._stepChooser({ type: 'tick' })
    if (this._listeners.size > 0) this._idleTicks = 0
    else if (++this._idleTicks >= IDLE_TICKS) this._stopTicking()
  }

  private _stopTicking (): void {
    clearInterval(this._ticker)
    this._ticker = undefined
  }

  private _stepChooser (event: ChoiceEvent): ChoiceAction[] {
    const actions = this._chooser.step(event, this._clock.nowMs())
    for (const action of actions) this._performChoiceAction(action)
    return actions
  }

  private _performChoiceAction (action: ChoiceAction): void {
    if (action.type === 'probe') this._targets.probe(action.instance)
    if (action.type === 'ejected' || action.type === 'restored') {
      this._log.info({ service: this._service, instance: action.instance }, `instance ${action.type}`)
    }
  }

  private _stepRetryPolicy (event: RetryEvent): void {
    for (const action of this._retryPolicy.step(event, this._clock.nowMs())) {
      if (action.type === 'wake') this._retryTimer.wakeAt(action.atMs)
      else this._listeners.get(action.call)?.handleRetryAction(action)
    }
  }
}
