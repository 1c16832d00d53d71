import type { AttemptOutcome } from '../../parts/choice/Types.js'
import type { CallId, InstanceId, LoadEvidence } from '../../parts/Types.js'
import type { Clock } from '../../runtime/Types.js'
import type { AnswerHead, CallHandle, CallRequest, CallListener, CallTarget, Refusal } from '../Types.js'
import type { ServiceBalancer } from './ServiceBalancer.js'

/** Receives the answer to an attempt; `attempt` identifies it among the attempts of the call. */
export interface AttemptListener {
  handleAnswer (attempt: Attempt, head: AnswerHead, body: Uint8Array): void
  handleHead (attempt: Attempt, head: AnswerHead): void
  handleBody (attempt: Attempt, bytes: Uint8Array): void
  handleEnd (attempt: Attempt): void
  handleRefused (attempt: Attempt, refusal: Refusal): void
  handleAbort (attempt: Attempt, reason: string): void
}

/** One send of a call to one instance. Its outcome is reported to the balancer exactly once. */
export class Attempt implements CallListener {
  private readonly _startedAtMs: number
  private _handle: CallHandle | undefined
  private _pendingCredit = 0
  private _settled = false

  /**
   * @param number 1 for the first attempt of the call.
   * @param id Identifies the attempt within this process.
   */
  public constructor (
    public readonly number: number,
    public readonly id: CallId,
    public readonly instance: InstanceId,
    private readonly _balancer: ServiceBalancer,
    private readonly _clock: Clock,
    private readonly _listener: AttemptListener
  ) {
    this._startedAtMs = _clock.nowMs()
  }

  /** True until the attempt has ended. */
  public get isOpen (): boolean {
    return !this._settled
  }

  /** Milliseconds since the start. */
  public get elapsedMs (): number {
    return this._clock.nowMs() - this._startedAtMs
  }

  /** Sends the call. */
  public start (target: CallTarget, request: CallRequest): void {
    this._handle = target.start(request, this)
    if (this._pendingCredit > 0) this._handle.grant(this._pendingCredit)
  }

  /** Cancels the attempt; without effect once it has ended. */
  public cancel (): void {
    if (this._settled) return
    this._settle('cancelled', undefined)
    this._handle?.cancel()
  }

  /** Grants flow-control credit for the answer's body, in bytes. */
  public grant (bytes: number): void {
    if (this._handle === undefined) this._pendingCredit += bytes
    else this._handle.grant(bytes)
  }

  public onAnswer (head: AnswerHead, body: Uint8Array, evidence: LoadEvidence): void {
    if (this._settled) return
    this._settle(classifyAnswer(head), evidence)
    this._listener.handleAnswer(this, head, body)
  }

  public onHead (head: AnswerHead): void {
    if (!this._settled) this._listener.handleHead(this, head)
  }

  public onBody (bytes: Uint8Array): void {
    if (!this._settled) this._listener.handleBody(this, bytes)
  }

  public onEnd (): void {
    if (this._settled) return
    this._settle('ok', undefined)
    this._listener.handleEnd(this)
  }

  public onRefused (refusal: Refusal, evidence: LoadEvidence | undefined): void {
    if (this._settled) return
    this._settle(classifyRefusal(refusal), evidence)
    this._listener.handleRefused(this, refusal)
  }

  public onAbort (reason: string): void {
    if (this._settled) return
    this._settle('error', undefined)
    this._listener.handleAbort(this, reason)
  }

  private _settle (outcome: AttemptOutcome, evidence: LoadEvidence | undefined): void {
    this._settled = true
    this._balancer.recordOutcome(this.id, this.instance, outcome, this.elapsedMs, evidence)
  }
}

function classifyAnswer (head: AnswerHead): AttemptOutcome {
  return head.status >= 500 ? 'error' : 'ok'
}

/** Refusals that count as errors of the instance for outlier ejection. */
const FAULT_REASONS: ReadonlySet<Refusal['reason']> = new Set(['upstream-failed', 'no-upstream'])

function classifyRefusal (refusal: Refusal): AttemptOutcome {
  if (refusal.reason === 'peer-lost') return 'unreachable'
  return FAULT_REASONS.has(refusal.reason) ? 'error' : 'refused'
}
