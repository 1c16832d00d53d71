import type { RunOutcome } from '../../parts/admission/Types.js'
import { RunPermit } from '../../parts/records/RunPermit.js'
import type { PermitAction, PermitEvent, StoredAnswer } from '../../parts/records/Types.js'
import type { CallId, Disposition, LoadEvidence, Reason } from '../../parts/Types.js'
import type { PartTimer } from '../../platform/PartTimer.js'
import type { Clock } from '../../platform/Types.js'
import { DEFAULT_RETRY_AFTER_MS, RUN_GRACE_MS } from '../Constants.js'
import { findHeader } from '../EndToEndHeaders.js'
import type { AnswerHead, CallHandle, CallRequest, CallSink, RawHeaders, Refusal } from '../Types.js'
import type { Incarnation, NodeId } from '../../parts/Types.js'
import type { RecordSender } from './Types.js'
import type { RunFailure, RunListener, UpstreamClient } from './UpstreamClient.js'

/** What a run asks of the upstream side that holds it. */
export interface RunHost {
  readonly clock: Clock
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly records: RecordSender
  /** Undefined once the upstream has gone. */
  readonly client: UpstreamClient | undefined
  evidence (): LoadEvidence
  /** False while the configuration is not confirmed; asked right before a guarded run. */
  mayRunGuarded (): boolean
  createTimer (onWake: () => void): PartTimer
  /** The request is about to reach the upstream. */
  handleDispatch (run: UpstreamRun): void
  /** True when the request is quarantined by now. */
  isQuarantined (run: UpstreamRun): boolean
  /**
   * The upstream is through with the request, or the run was given up while it waited.
   * @param ran True only when the upstream ran it to its end.
   */
  handleFinish (run: UpstreamRun, outcome: RunOutcome, serviceMs: number, ran: boolean): void
  /** The request was cancelled at the upstream, which may work on it for a while. */
  handleCancel (run: UpstreamRun, serviceMs: number): void
  /** The caller went away while the call waited in the queue. */
  handleWithdrawal (run: UpstreamRun): void
  /** Nothing is left to do for the run. */
  handleDone (run: UpstreamRun): void
}

type RunState = 'queued' | 'permitting' | 'running' | 'finished'
type PermitHandlers = { [Type in PermitAction['type']]: (action: Extract<PermitAction, { type: Type }>) => void }

const FAILURES: Record<RunFailure, { readonly disposition: Disposition, readonly reason: Reason }> = {
  unsent: { disposition: 'not-run', reason: 'upstream-failed' },
  lost: { disposition: 'unknown', reason: 'upstream-failed' },
  timeout: { disposition: 'unknown', reason: 'deadline-exceeded' }
}

/** One call at the upstream's node: queued, permitted if it is guarded, run once, answered. */
export class UpstreamRun implements CallHandle, RunListener {
  /** When the caller stops waiting, on this node's clock. */
  public readonly deadlineAtMs: number
  private state: RunState = 'queued'
  private open = true
  private startedAtMs = 0
  private handle: CallHandle | undefined
  private permit: RunPermit | undefined
  private timer: PartTimer | undefined
  private streamedHead: AnswerHead | undefined
  private readonly permitHandlers: PermitHandlers

  /**
   * @param call Id of the call within this process.
   */
  public constructor (
    public readonly call: CallId,
    public readonly request: CallRequest,
    private readonly sink: CallSink,
    private readonly host: RunHost
  ) {
    this.deadlineAtMs = host.clock.nowMs() + request.deadlineMs
    this.permitHandlers = this.buildPermitHandlers()
  }

  /** True while the upstream may be working on the request. */
  public get isRunning (): boolean {
    return this.state === 'running'
  }

  /** Starts the run; admission has given it a slot. */
  public begin (): void {
    this.startedAtMs = this.host.clock.nowMs()
    if (this.request.kind !== 'guarded') {
      this.dispatch()
      return
    }
    this.state = 'permitting'
    this.permit = this.createPermit()
    this.stepPermit({ type: 'start' })
  }

  /** Answers without a run. */
  public refuse (refusal: Refusal): void {
    this.state = 'finished'
    this.tellRefusal(refusal)
    this.host.handleDone(this)
  }

  /** The caller went away. A guarded run that has started goes on, for its record. */
  public cancel (): void {
    this.open = false
    if (this.state === 'queued') {
      this.state = 'finished'
      this.host.handleWithdrawal(this)
      this.host.handleDone(this)
      return
    }
    if (this.permit !== undefined) {
      this.stepPermit({ type: 'callerGone' })
      return
    }
    if (this.state !== 'running') return
    this.handle?.cancel()
    this.state = 'finished'
    this.host.handleCancel(this, this.host.clock.nowMs() - this.startedAtMs)
    this.host.handleDone(this)
  }

  /** Allows more of the body to be sent. */
  public grant (bytes: number): void {
    this.handle?.grant(bytes)
  }

  public onAnswer (head: AnswerHead, body: Uint8Array): void {
    if (findHeader(head.headers, 'sassafras-shed') === 'not-run') {
      this.handleProof('shed', 'shedding')
      return
    }
    this.finish(head.status >= 500 ? 'error' : 'ok', true)
    if (this.permit !== undefined) {
      this.stepPermit({ type: 'answered', answer: buildStoredAnswer(head, body, false) })
      return
    }
    if (this.open) this.sink.onAnswer(head, body, this.host.evidence())
    this.host.handleDone(this)
  }

  public onHead (head: AnswerHead): void {
    this.streamedHead = head
    if (this.open) this.sink.onHead(head, this.host.evidence())
  }

  public onBody (bytes: Uint8Array): void {
    if (this.open) this.sink.onBody(bytes)
    else this.handle?.grant(bytes.length)
  }

  public onEnd (): void {
    const head = this.streamedHead as AnswerHead
    this.finish(head.status >= 500 ? 'error' : 'ok', true)
    if (this.open) this.sink.onEnd()
    this.open = false
    this.settleStreamed(head)
  }

  public onFailure (failure: RunFailure, message: string): void {
    if (failure === 'unsent') {
      this.handleProof('error', 'upstream-failed')
      return
    }
    this.finish('lost')
    if (this.streamedHead !== undefined) {
      if (this.open) this.sink.onAbort(message)
      this.open = false
    }
    if (this.permit !== undefined) {
      this.stepPermit({ type: 'upstreamLost' })
      return
    }
    this.refuse({ ...FAILURES[failure], retryAfterMs: DEFAULT_RETRY_AFTER_MS })
  }

  private dispatch (): void {
    const client = this.host.client
    // The process may have been frozen past its lease between the arrival and now.
    if (this.permit !== undefined && !this.host.mayRunGuarded()) {
      this.handleProof('error', 'stale-configuration')
      return
    }
    if (client === undefined) {
      this.handleProof('error', 'no-upstream')
      return
    }
    // Verdicts may have come while the call waited.
    if (this.host.isQuarantined(this)) {
      this.handleProof('error', 'quarantined')
      return
    }
    this.state = 'running'
    this.host.handleDispatch(this)
    const leftMs = Math.max(1, this.deadlineAtMs - this.host.clock.nowMs())
    // A guarded run that outlives its caller is still recorded, so it gets more time than the caller has.
    const graceMs = this.permit === undefined ? 0 : RUN_GRACE_MS
    this.handle = client.run(this.request, leftMs + graceMs, this)
  }

  // The upstream proved that it did not run the request.
  private handleProof (outcome: RunOutcome, reason: Reason): void {
    this.finish(outcome)
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS
    const disposition = reason === 'quarantined' ? 'quarantined' : 'not-run'
    if (this.permit !== undefined) this.stepPermit({ type: 'notRun', reason, retryAfterMs })
    else this.refuse({ disposition, reason, retryAfterMs })
  }

  private finish (outcome: RunOutcome, ran = false): void {
    if (this.state === 'finished') return
    this.state = 'finished'
    this.host.handleFinish(this, outcome, this.host.clock.nowMs() - this.startedAtMs, ran)
  }

  private settleStreamed (head: AnswerHead): void {
    if (this.permit === undefined) this.host.handleDone(this)
    else this.stepPermit({ type: 'answered', answer: buildStoredAnswer(head, new Uint8Array(0), true) })
  }

  private createPermit (): RunPermit {
    const { request, host } = this
    this.timer = host.createTimer(() => this.stepPermit({ type: 'tick' }))
    return new RunPermit({
      record: { service: request.service, key: request.key as string },
      fingerprint: request.fingerprint,
      holder: { node: host.node, incarnation: host.incarnation, call: this.call },
      deadlineAtMs: this.deadlineAtMs,
      runForMs: request.deadlineMs + RUN_GRACE_MS
    })
  }

  private stepPermit (event: PermitEvent): void {
    if (this.permit === undefined) return
    for (const action of this.permit.step(event, this.host.clock.nowMs())) {
      const handler = this.permitHandlers[action.type] as (action: PermitAction) => void
      handler(action)
    }
  }

  private buildPermitHandlers (): PermitHandlers {
    return {
      send: action => this.host.records.sendRecord(action.command, reply => {
        const { sequence } = action
        this.stepPermit(reply === undefined ? { type: 'unanswered', sequence } : { type: 'reply', sequence, reply })
      }),
      dispatch: () => this.dispatch(),
      answer: action => {
        // A repeated answer used the slot only to ask control.
        this.finish('cancelled')
        this.tellAnswer(action.answer)
      },
      refuse: action => {
        if (!this.isRunning) this.finish('cancelled')
        this.tellRefusal(action)
      },
      wake: action => this.timer?.wakeAt(action.atMs),
      done: () => {
        this.timer?.dispose()
        this.host.handleDone(this)
      }
    }
  }

  private tellAnswer (answer: StoredAnswer): void {
    if (!this.open) return
    this.open = false
    const head = { status: answer.status, headers: answer.headers.flat() }
    this.sink.onAnswer(head, answer.body, this.host.evidence())
  }

  private tellRefusal ({ disposition, reason, retryAfterMs, firstStatus }: Refusal): void {
    if (!this.open) return
    this.open = false
    const first = firstStatus === undefined ? {} : { firstStatus }
    this.sink.onRefused({ disposition, reason, retryAfterMs, ...first }, this.host.evidence())
  }
}

function buildStoredAnswer (head: AnswerHead, body: Uint8Array, truncated: boolean): StoredAnswer {
  return { status: head.status, headers: pairHeaders(head.headers), body, truncated }
}

function pairHeaders (raw: RawHeaders): Array<readonly [string, string]> {
  const pairs: Array<readonly [string, string]> = []
  for (let i = 0; i + 1 < raw.length; i += 2) pairs.push([raw[i] as string, raw[i + 1] as string])
  return pairs
}
