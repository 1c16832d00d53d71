import type { AttemptOutcome } from '../../parts/choice/Types.js'
import type { CallId, InstanceId, LoadEvidence } from '../../parts/Types.js'
import type { Clock } from '../../platform/Types.js'
import type { AnswerHead, CallHandle, CallRequest, CallSink, CallTarget, Refusal } from '../Types.js'
import type { ServiceLane } from './ServiceLane.js'

/** Hears how one attempt goes; `attempt` tells which. */
export interface AttemptListener {
  handleAnswer (attempt: Attempt, head: AnswerHead, body: Uint8Array): void
  handleHead (attempt: Attempt, head: AnswerHead): void
  handleBody (attempt: Attempt, bytes: Uint8Array): void
  handleEnd (attempt: Attempt): void
  handleRefused (attempt: Attempt, refusal: Refusal): void
  handleAbort (attempt: Attempt, reason: string): void
}

/** One try of a call at one instance. Tells the chooser exactly once how it ended. */
export class Attempt implements CallSink {
  private readonly startedAtMs: number
  private handle: CallHandle | undefined
  private owedBytes = 0
  private settled = false

  /**
   * @param number 1 for the first attempt of the call.
   * @param id Names the attempt in this process.
   */
  public constructor (
    public readonly number: number,
    public readonly id: CallId,
    public readonly instance: InstanceId,
    private readonly lane: ServiceLane,
    private readonly clock: Clock,
    private readonly listener: AttemptListener
  ) {
    this.startedAtMs = clock.nowMs()
  }

  /** True until the attempt has ended. */
  public get isOpen (): boolean {
    return !this.settled
  }

  /** Milliseconds since the start. */
  public get elapsedMs (): number {
    return this.clock.nowMs() - this.startedAtMs
  }

  /** Sends the call. */
  public start (target: CallTarget, request: CallRequest): void {
    this.handle = target.start(request, this)
    if (this.owedBytes > 0) this.handle.grant(this.owedBytes)
  }

  /** Gives the attempt up. */
  public cancel (): void {
    if (this.settled) return
    this.settle('cancelled', undefined)
    this.handle?.cancel()
  }

  /** Allows more of the body to be sent. */
  public grant (bytes: number): void {
    if (this.handle === undefined) this.owedBytes += bytes
    else this.handle.grant(bytes)
  }

  public onAnswer (head: AnswerHead, body: Uint8Array, evidence: LoadEvidence): void {
    if (this.settled) return
    this.settle(outcomeOf(head), evidence)
    this.listener.handleAnswer(this, head, body)
  }

  public onHead (head: AnswerHead): void {
    if (!this.settled) this.listener.handleHead(this, head)
  }

  public onBody (bytes: Uint8Array): void {
    if (!this.settled) this.listener.handleBody(this, bytes)
  }

  public onEnd (): void {
    if (this.settled) return
    this.settle('ok', undefined)
    this.listener.handleEnd(this)
  }

  public onRefused (refusal: Refusal, evidence: LoadEvidence | undefined): void {
    if (this.settled) return
    this.settle(outcomeOfRefusal(refusal), evidence)
    this.listener.handleRefused(this, refusal)
  }

  public onAbort (reason: string): void {
    if (this.settled) return
    this.settle('error', undefined)
    this.listener.handleAbort(this, reason)
  }

  private settle (outcome: AttemptOutcome, evidence: LoadEvidence | undefined): void {
    this.settled = true
    this.lane.settle(this.id, this.instance, outcome, this.elapsedMs, evidence)
  }
}

function outcomeOf (head: AnswerHead): AttemptOutcome {
  return head.status >= 500 ? 'error' : 'ok'
}

const FAULTS: ReadonlySet<Refusal['reason']> = new Set(['upstream-failed', 'no-upstream'])

function outcomeOfRefusal (refusal: Refusal): AttemptOutcome {
  if (refusal.reason === 'peer-lost') return 'unreachable'
  return FAULTS.has(refusal.reason) ? 'error' : 'refused'
}
