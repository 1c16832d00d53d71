import type { UpstreamChooser } from '../../parts/choice/UpstreamChooser.js'
import type { AttemptOutcome, Candidate, ChoiceAction, ChoiceEvent } from '../../parts/choice/Types.js'
import type { RetryPolicy } from '../../parts/retry/RetryPolicy.js'
import type { RetryAction, RetryEvent } from '../../parts/retry/Types.js'
import type { CallId, CallKind, InstanceId, LoadEvidence, Reason } from '../../parts/Types.js'
import { PartTimer } from '../../platform/PartTimer.js'
import type { Clock, Disposable, Log } from '../../platform/Types.js'
import type { TargetSource } from './Types.js'

/** Answer to a choice. */
export type Choice =
  | { readonly type: 'chosen', readonly instance: InstanceId }
  | { readonly type: 'none', readonly reason: Reason, readonly retryAfterMs: number }

/** Hears what the retry policy decides for one call, outside of its own events. */
export interface RetryListener {
  handleRetryAction (action: RetryAction): void
}

/** Between ticks of the chooser, which age its evidence, while calls are in flight or were lately. */
const CHOOSER_TICK_MS = 50

/** Ticks without a call after which the ticking stops: an idle service costs nothing. */
const IDLE_TICKS = 20

/** Choice and retries of one service at one ingress node. Holds one entry for each call in flight. */
export class ServiceLane implements Disposable {
  private readonly leaving = new Set<InstanceId>()
  private readonly listeners = new Map<CallId, RetryListener>()
  private readonly retryTimer: PartTimer
  private ticker: NodeJS.Timeout | undefined
  private idleTicks = 0

  public constructor (
    private readonly service: string,
    private readonly chooser: UpstreamChooser,
    private readonly retries: RetryPolicy,
    private readonly targets: TargetSource,
    private readonly clock: Clock,
    private readonly log: Log
  ) {
    this.retryTimer = new PartTimer(clock, () => this.stepRetries({ type: 'tick' }))
  }

  /** Replaces the instances that may be chosen. */
  public setCandidates (candidates: readonly Candidate[]): void {
    this.leaving.clear()
    this.stepChooser({ type: 'members', candidates })
  }

  /** Tells the chooser of a link or of fresh evidence. */
  public tell (event: Extract<ChoiceEvent, { type: 'linkUp' | 'linkDown' | 'evidence' }>): void {
    this.stepChooser(event)
  }

  /** Starts a call; its listener hears of retries and hedges until `end`. */
  public begin (event: Extract<RetryEvent, { type: 'begin' }>, listener: RetryListener): void {
    this.listeners.set(event.call, listener)
    this.idleTicks = 0
    this.ticker ??= setInterval(() => this.tick(), CHOOSER_TICK_MS)
    this.stepRetries(event)
  }

  /** Tells the policy of a failure or a success. */
  public report (event: Extract<RetryEvent, { type: 'failed' | 'succeeded' }>): void {
    this.stepRetries(event)
  }

  /** Forgets a call. */
  public end (call: CallId): void {
    if (this.listeners.delete(call)) this.stepRetries({ type: 'ended', call })
  }

  /** Picks an instance for an attempt, at once. */
  public choose (attempt: CallId, kind: CallKind, excluded: readonly InstanceId[]): Choice {
    if (this.leaving.size === 0) return this.chooseAmong(attempt, kind, excluded)
    const choice = this.chooseAmong(attempt, kind, excluded.concat(...this.leaving))
    return choice.type === 'none' ? this.chooseAmong(attempt, kind, excluded) : choice
  }

  /** An instance said that it drains; it is passed over until members are read again. */
  public avoid (instance: InstanceId): void {
    this.leaving.add(instance)
  }

  private chooseAmong (attempt: CallId, kind: CallKind, excluded: readonly InstanceId[]): Choice {
    for (const action of this.stepChooser({ type: 'choose', call: attempt, kind, excluded })) {
      if (action.type === 'chosen') return action
      if (action.type !== 'noneAvailable') continue
      const { reason, retryAfterMs } = action
      return { type: 'none', reason, retryAfterMs }
    }
    return { type: 'none', reason: 'no-upstream', retryAfterMs: 0 }
  }

  /** Tells the chooser how an attempt ended. */
  public settle (
    attempt: CallId,
    instance: InstanceId,
    outcome: AttemptOutcome,
    latencyMs: number,
    evidence: LoadEvidence | undefined
  ): void {
    const event = { type: 'answered', call: attempt, instance, outcome, latencyMs } as const
    this.stepChooser(evidence === undefined ? event : { ...event, evidence })
  }

  /** Calls in flight. */
  public get inFlight (): number {
    return this.listeners.size
  }

  /** Stops the timers. */
  public dispose (): void {
    this.stopTicking()
    this.retryTimer.dispose()
  }

  private tick (): void {
    this.stepChooser({ type: 'tick' })
    if (this.listeners.size > 0) this.idleTicks = 0
    else if (++this.idleTicks >= IDLE_TICKS) this.stopTicking()
  }

  private stopTicking (): void {
    clearInterval(this.ticker)
    this.ticker = undefined
  }

  private stepChooser (event: ChoiceEvent): ChoiceAction[] {
    const actions = this.chooser.step(event, this.clock.nowMs())
    for (const action of actions) this.handleChoiceAction(action)
    return actions
  }

  private handleChoiceAction (action: ChoiceAction): void {
    if (action.type === 'probe') this.targets.probe(action.instance)
    if (action.type === 'ejected' || action.type === 'restored') {
      this.log.info({ service: this.service, instance: action.instance }, `instance ${action.type}`)
    }
  }

  private stepRetries (event: RetryEvent): void {
    for (const action of this.retries.step(event, this.clock.nowMs())) {
      if (action.type === 'wake') this.retryTimer.wakeAt(action.atMs)
      else this.listeners.get(action.call)?.handleRetryAction(action)
    }
  }
}
