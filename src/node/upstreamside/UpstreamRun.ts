import type { RunOutcome } from '../../parts/admission/Types.js'
import { ExecutionPermit } from '../../parts/records/ExecutionPermit.js'
import type { PermitAction, PermitEvent, StoredAnswer } from '../../parts/records/Types.js'
import type { CallId, Disposition, LoadEvidence, Reason } from '../../parts/Types.js'
import type { PartTimer } from '../../runtime/PartTimer.js'
import type { Clock } from '../../runtime/Types.js'
import { DEFAULT_RETRY_AFTER_MS, RUN_GRACE_MS } from '../Constants.js'
import { findHeader } from '../EndToEndHeaders.js'
import type { AnswerHead, CallHandle, CallRequest, CallListener, RawHeaders, Refusal } from '../Types.js'
import type { Incarnation, NodeId } from '../../parts/Types.js'
import type { RecordSender } from './Types.js'
import type { RunFailure, RunListener, UpstreamClient } from './UpstreamClient.js'

/** Services that the upstream side provides to its runs, and notifications that it receives from them. */
export interface RunHost {
  readonly clock: Clock
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly records: RecordSender
  /** Undefined while no upstream is announced. */
  readonly client: UpstreamClient | undefined
  evidence (): LoadEvidence
  /** False while the configuration is not confirmed; checked immediately before an at-most-once request runs. */
  mayRunGuarded (): boolean
  createTimer (onWake: () => void): PartTimer
  /** The request is about to be sent to the upstream. */
  handleDispatch (run: UpstreamRun): void
  /** True when the request is quarantined at this moment. */
  isQuarantined (run: UpstreamRun): boolean
  /**
   * The run ended: the upstream answered, its connection was lost or timed out, or the request was not sent.
   * @param ran True only when the upstream ran the request to its end.
   */
  handleFinish (run: UpstreamRun, outcome: RunOutcome, serviceMs: number, ran: boolean): void
  /** The request was cancelled at the upstream, which may work on it for some more time. */
  handleCancel (run: UpstreamRun, serviceMs: number): void
  /** The caller cancelled the call while it was queued. */
  handleWithdrawal (run: UpstreamRun): void
  /** The run is complete, its record included. */
  handleDone (run: UpstreamRun): void
}

/** Retry-After, in service times, for a duplicate of an at-most-once request whose first run is in progress. */
const IN_PROGRESS_SERVICE_TIMES = 4

/** Lower bound of that Retry-After. */
const MIN_IN_PROGRESS_WAIT_MS = 20

type RunState = 'queued' | 'awaiting-permit' | 'running' | 'finished'
type PermitHandlers = { [Type in PermitAction['type']]: (action: Extract<PermitAction, { type: Type }>) => void }

const REFUSALS_BY_FAILURE: Record<RunFailure, { readonly disposition: Disposition, readonly reason: Reason }> = {
  unsent: { disposition: 'not-run', reason: 'upstream-failed' },
  lost: { disposition: 'unknown', reason: 'upstream-failed' },
  timeout: { disposition: 'unknown', reason: 'deadline-exceeded' }
}

/**
 * One call at the upstream's node: it is queued, gets an execution permit if it must run at most once, is sent to the
 * upstream, and is answered.
 */
export class UpstreamRun implements CallHandle, RunListener {
  /** Deadline of the call, on this node's monotonic clock. */
  public readonly deadlineAtMs: number
  private _state: RunState = 'queued'
  private _callerWaiting = true
  private _startedAtMs = 0
  private _handle: CallHandle | undefined
  private _permit: ExecutionPermit | undefined
  private _timer: PartTimer | undefined
  private _streamedHead: AnswerHead | undefined
  private readonly _permitHandlers: PermitHandlers

  /**
   * @param call Id of the call within this process; not the id that the ingress node gave it.
   */
  public constructor (
    public readonly call: CallId,
    public readonly request: CallRequest,
    private readonly _listener: CallListener,
    private readonly _host: RunHost
  ) {
    this.deadlineAtMs = _host.clock.nowMs() + request.deadlineMs
    this._permitHandlers = this._buildPermitHandlers()
  }

  /** True while the upstream may be working on the request. */
  public get isRunning (): boolean {
    return this._state === 'running'
  }

  /** Starts the run; called when admission has given it a slot. */
  public begin (): void {
    this._startedAtMs = this._host.clock.nowMs()
    if (this.request.kind !== 'guarded') {
      this._dispatch()
      return
    }
    this._state = 'awaiting-permit'
    this._permit = this._createPermit()
    this._stepPermit({ type: 'start' })
  }

  /** Refuses the call without running it. */
  public refuse (refusal: Refusal): void {
    this._state = 'finished'
    this._sendRefusal(refusal)
    this._host.handleDone(this)
  }

  /** Cancels the call. An at-most-once call that has started continues, so that its outcome is recorded. */
  public cancel (): void {
    this._callerWaiting = false
    if (this._state === 'queued') {
      this._state = 'finished'
      this._host.handleWithdrawal(this)
      this._host.handleDone(this)
      return
    }
    if (this._permit !== undefined) {
      this._stepPermit({ type: 'callerGone' })
      return
    }
    if (this._state !== 'running') return
    this._handle?.cancel()
    this._state = 'finished'
    this._host.handleCancel(this, this._host.clock.nowMs() - this._startedAtMs)
    this._host.handleDone(this)
  }

  /** Grants flow-control credit for the answer's body, in bytes. */
  public grant (bytes: number): void {
    this._handle?.grant(bytes)
  }

  public onAnswer (head: AnswerHead, body: Uint8Array): void {
    if (findHeader(head.headers, 'sassafras-shed') === 'not-run') {
      this._onNotRun('shed', 'shedding')
      return
    }
    this._finish(head.status >= 500 ? 'error' : 'ok', true)
    if (this._permit !== undefined) {
      this._stepPermit({ type: 'answered', answer: buildStoredAnswer(head, body, false) })
      return
    }
    if (this._callerWaiting) this._listener.onAnswer(head, body, this._host.evidence())
    this._host.handleDone(this)
  }

  public onHead (head: AnswerHead): void {
    this._streamedHead = head
    if (this._callerWaiting) this._listener.onHead(head, this._host.evidence())
  }

  public onBody (bytes: Uint8Array): void {
    if (this._callerWaiting) this._listener.onBody(bytes)
    else this._handle?.grant(bytes.length)
  }

  public onEnd (): void {
    const head = this._streamedHead as AnswerHead
    this._finish(head.status >= 500 ? 'error' : 'ok', true)
    if (this._callerWaiting) this._listener.onEnd()
    this._callerWaiting = false
    this._finishStreamed(head)
  }

  public onFailure (failure: RunFailure, message: string): void {
    if (failure === 'unsent') {
      this._onNotRun('error', 'upstream-failed')
      return
    }
    this._finish('lost')
    if (this._streamedHead !== undefined) {
      if (this._callerWaiting) this._listener.onAbort(message)
      this._callerWaiting = false
    }
    if (this._permit !== undefined) {
      this._stepPermit({ type: 'upstreamLost' })
      return
    }
    this.refuse({ ...REFUSALS_BY_FAILURE[failure], retryAfterMs: DEFAULT_RETRY_AFTER_MS })
  }

  private _dispatch (): void {
    const client = this._host.client
    // The process may have been frozen since the call arrived, so that its lease has expired.
    if (this._permit !== undefined && !this._host.mayRunGuarded()) {
      this._onNotRun('error', 'stale-configuration')
      return
    }
    if (client === undefined) {
      this._onNotRun('error', 'no-upstream')
      return
    }
    // The request may have been quarantined while the call was queued.
    if (this._host.isQuarantined(this)) {
      this._onNotRun('error', 'quarantined')
      return
    }
    this._state = 'running'
    this._host.handleDispatch(this)
    const leftMs = Math.max(1, this.deadlineAtMs - this._host.clock.nowMs())
    // The outcome of an at-most-once request is recorded even after the caller's deadline, so it may run longer.
    const graceMs = this._permit === undefined ? 0 : RUN_GRACE_MS
    this._handle = client.run(this.request, leftMs + graceMs, this)
  }

  // Ends a run whose request certainly did not run at the upstream; such a call may be retried.
  private _onNotRun (outcome: RunOutcome, reason: Reason): void {
    this._finish(outcome)
    const retryAfterMs = DEFAULT_RETRY_AFTER_MS
    const disposition = reason === 'quarantined' ? 'quarantined' : 'not-run'
    if (this._permit !== undefined) this._stepPermit({ type: 'notRun', reason, retryAfterMs })
    else this.refuse({ disposition, reason, retryAfterMs })
  }

  private _finish (outcome: RunOutcome, ran = false): void {
    if (this._state === 'finished') return
    this._state = 'finished'
    this._host.handleFinish(this, outcome, this._host.clock.nowMs() - this._startedAtMs, ran)
  }

  private _finishStreamed (head: AnswerHead): void {
    if (this._permit === undefined) this._host.handleDone(this)
    else this._stepPermit({ type: 'answered', answer: buildStoredAnswer(head, new Uint8Array(0), true) })
  }

  private _createPermit (): ExecutionPermit {
    const { request, _host: host } = this
    this._timer = host.createTimer(() => this._stepPermit({ type: 'tick' }))
    return new ExecutionPermit({
      record: { service: request.service, key: request.key as string },
      fingerprint: request.fingerprint,
      holder: { node: host.node, incarnation: host.incarnation, call: this.call },
      deadlineAtMs: this.deadlineAtMs,
      runForMs: request.deadlineMs + RUN_GRACE_MS
    })
  }

  private _stepPermit (event: PermitEvent): void {
    if (this._permit === undefined) return
    for (const action of this._permit.step(event, this._host.clock.nowMs())) {
      const handler = this._permitHandlers[action.type] as (action: PermitAction) => void
      handler(action)
    }
  }

  private _buildPermitHandlers (): PermitHandlers {
    return {
      send: action => this._host.records.sendRecord(action.command, reply => {
        const { sequence } = action
        this._stepPermit(reply === undefined ? { type: 'unanswered', sequence } : { type: 'reply', sequence, reply })
      }),
      dispatch: () => this._dispatch(),
      answer: action => {
        // A replayed answer used the slot only for the request to control.
        this._finish('cancelled')
        this._sendAnswer(action.answer)
      },
      refuse: action => {
        if (!this.isRunning) this._finish('cancelled')
        this._sendRefusal(action.reason === 'in-progress' ? this._withShorterRetryAfter(action) : action)
      },
      wake: action => this._timer?.wakeAt(action.atMs),
      done: () => {
        this._timer?.dispose()
        this._host.handleDone(this)
      }
    }
  }

  // The first run usually ends within a few service times, so the caller can retry long before the permit expires.
  private _withShorterRetryAfter (refusal: Refusal): Refusal {
    const likelyMs = Math.max(MIN_IN_PROGRESS_WAIT_MS, IN_PROGRESS_SERVICE_TIMES * this._host.evidence().serviceMs)
    return { ...refusal, retryAfterMs: Math.min(refusal.retryAfterMs, likelyMs) }
  }

  private _sendAnswer (answer: StoredAnswer): void {
    if (!this._callerWaiting) return
    this._callerWaiting = false
    const head = { status: answer.status, headers: answer.headers.flat() }
    this._listener.onAnswer(head, answer.body, this._host.evidence())
  }

  private _sendRefusal ({ disposition, reason, retryAfterMs, firstStatus }: Refusal): void {
    if (!this._callerWaiting) return
    this._callerWaiting = false
    const first = firstStatus === undefined ? {} : { firstStatus }
    this._listener.onRefused({ disposition, reason, retryAfterMs, ...first }, this._host.evidence())
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
