import type { Disposition, Part, Reason } from '../Types.js'
import { limitAnswerSize } from './AnswerSize.js'
import {
  NO_REPLY_RETRY_AFTER_MS,
  INITIAL_COMMAND_RETRY_MS,
  MAX_ANSWER_BYTES,
  MAX_COMMAND_RETRY_MS,
  OUTCOME_TIMEOUT_MS
} from './Constants.js'
import type {
  PermitAction,
  PermitEvent,
  PermitRequest,
  PermitState,
  RecordCommand,
  RecordReply,
  StoredAnswer
} from './Types.js'

/** Options of an execution permit; durations are in milliseconds. */
export interface PermitOptions {
  /** First delay before a command without a reply is sent again; doubles up to `maxRetryMs`. */
  readonly initialRetryMs: number
  readonly maxRetryMs: number
  /** How long the outcome is sent again before the permit gives up recording it. */
  readonly outcomeTimeoutMs: number
  /** Largest answer that is sent to the ledger with its headers and body. */
  readonly maxAnswerBytes: number
}

type EventOf<Type extends PermitEvent['type']> = Extract<PermitEvent, { type: Type }>

type Handlers = {
  readonly [Type in PermitEvent['type']]: (event: EventOf<Type>, nowMs: number) => PermitAction[]
}

type ReplyHandlers = {
  readonly [Type in RecordReply['type']]:
  (reply: Extract<RecordReply, { type: Type }>, nowMs: number) => PermitAction[]
}

const DEFAULT_OPTIONS: PermitOptions = {
  initialRetryMs: INITIAL_COMMAND_RETRY_MS,
  maxRetryMs: MAX_COMMAND_RETRY_MS,
  outcomeTimeoutMs: OUTCOME_TIMEOUT_MS,
  maxAnswerBytes: MAX_ANSWER_BYTES
}

/**
 * One at-most-once call at the node of its upstream, from the request for permission until its outcome is recorded.
 *
 * The request is dispatched at most once, and only after the ledger has granted it to this holder. Before the dispatch
 * the caller may be answered `not-run`, and the grant is abandoned. After the dispatch the caller receives the answer
 * or `unknown`, and `not-run` only when the upstream has proved that it did not run the request. The caller's answer
 * does not wait until the outcome is recorded; a graceful shutdown waits for `done`.
 *
 * `not-run` applies to this call only: a client that makes several attempts for one request must report the worst of
 * their outcomes.
 *
 * Memory: one command, with an answer of at most `maxAnswerBytes`.
 */
export class ExecutionPermit implements Part<PermitEvent, PermitAction> {
  private readonly _request: PermitRequest
  private readonly _options: PermitOptions
  private _state: PermitState = 'new'
  private _command: RecordCommand | undefined
  private _sequence = 0
  /** Sequence of the first copy of the current command. */
  private _firstSequence = 0
  private _retryAtMs = Number.POSITIVE_INFINITY
  private _retryDelayMs: number
  private _startedAtMs = 0
  /** When the outcome was first sent. */
  private _outcomeAtMs: number | undefined
  /** True once the caller has its answer or refusal, or has disconnected. */
  private _isCallerAnswered = false

  private readonly _handlers: Handlers = {
    start: (_event, nowMs) => this._onStart(nowMs),
    reply: (event, nowMs) => this._onReply(event, nowMs),
    unanswered: (event, nowMs) => this._onUnanswered(event, nowMs),
    answered: (event, nowMs) => this._onAnswered(event.answer, nowMs),
    upstreamLost: (_event, nowMs) => this._giveUpRun('upstream-failed', nowMs),
    notRun: (event, nowMs) => this._onNotRun(event, nowMs),
    callerGone: (_event, nowMs) => this._onCallerGone(nowMs),
    tick: () => []
  }

  private readonly _beginReplies: ReplyHandlers = {
    granted: () => this._onGranted(),
    answered: (reply) => this._end(this._replayAnswer(reply.answer)),
    inProgress: (reply) => this._end(this._refuse('unknown', 'in-progress', reply.retryAfterMs)),
    unknown: () => this._end(this._refuse('unknown', 'peer-lost', 0)),
    recorded: () => [],
    refused: (reply) => this._end(this._refuse('not-run', reply.reason, reply.retryAfterMs))
  }

  /**
   * @param request Key, fingerprint, holder and times of the call. The holder must not be used for another permit.
   * @param options Options that replace the defaults.
   */
  public constructor (request: PermitRequest, options: Partial<PermitOptions> = {}) {
    this._request = request
    this._options = { ...DEFAULT_OPTIONS, ...options }
    this._retryDelayMs = this._options.initialRetryMs
  }

  /** State for the state dump. */
  public get state (): PermitState {
    return this._state
  }

  /**
   * Handles one event and returns the actions for the host, in order.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: PermitEvent, nowMs: number): PermitAction[] {
    const wasDone = this._state === 'done'
    const timeoutActions = this._checkTimeouts(nowMs)
    const handler = this._handlers[event.type] as (event: PermitEvent, nowMs: number) => PermitAction[]
    const actions = [...timeoutActions, ...handler(event, nowMs)]
    if (this._state === 'done') {
      return wasDone ? actions : [...actions, { type: 'done' }]
    }
    return [...actions, ...this._scheduleWake()]
  }

  private _onStart (nowMs: number): PermitAction[] {
    if (this._state !== 'new') {
      return []
    }
    if (nowMs >= this._request.deadlineAtMs) {
      return this._end(this._refuse('not-run', 'deadline-exceeded', 0))
    }
    const { record, fingerprint, holder, runForMs } = this._request
    this._state = 'asking'
    this._startedAtMs = nowMs
    this._firstSequence = 1
    return this._send({ type: 'begin', record, fingerprint, holder, runForMs }, nowMs)
  }

  private _onReply (event: EventOf<'reply'>, nowMs: number): PermitAction[] {
    // Replies to all copies of the current command are equivalent.
    if (event.sequence < this._firstSequence || this._command === undefined) {
      return []
    }
    if (this._state === 'asking') {
      const handler = this._beginReplies[event.reply.type] as (reply: RecordReply, nowMs: number) => PermitAction[]
      return handler(event.reply, nowMs)
    }
    const isRecordSettled = event.reply.type === 'recorded' || event.reply.type === 'refused'
    return isRecordSettled && this._state !== 'dispatched' ? this._end([]) : []
  }

  private _onUnanswered (event: EventOf<'unanswered'>, nowMs: number): PermitAction[] {
    if (event.sequence === this._sequence && this._command !== undefined) {
      this._retryAtMs = Math.min(this._retryAtMs, nowMs + this._options.initialRetryMs)
    }
    return []
  }

  private _onGranted (): PermitAction[] {
    // `_checkTimeouts` ran before: a call past its deadline was abandoned and never gets here.
    this._command = undefined
    this._retryAtMs = Number.POSITIVE_INFINITY
    this._state = 'dispatched'
    return [{ type: 'dispatch' }]
  }

  private _onAnswered (answer: StoredAnswer, nowMs: number): PermitAction[] {
    if (this._state !== 'dispatched') {
      return []
    }
    const actions: PermitAction[] = this._isCallerAnswered ? [] : [{ type: 'answer', answer, isReplayed: false }]
    this._isCallerAnswered = true
    this._state = 'answering'
    const kept = limitAnswerSize(answer, this._options.maxAnswerBytes)
    return [...actions, ...this._sendOutcome({ type: 'finish', ...this._recordAndHolder(), answer: kept }, nowMs)]
  }

  /** Stops waiting for the upstream; the outcome stays unknown. */
  private _giveUpRun (reason: Reason, nowMs: number): PermitAction[] {
    if (this._state !== 'dispatched') {
      return []
    }
    this._state = 'losing'
    const callerActions = this._refuse('unknown', reason, 0)
    return [...callerActions, ...this._sendOutcome({ type: 'lose', ...this._recordAndHolder() }, nowMs)]
  }

  private _onNotRun (event: EventOf<'notRun'>, nowMs: number): PermitAction[] {
    if (this._state !== 'dispatched') {
      return []
    }
    const callerActions = this._refuse('not-run', event.reason, event.retryAfterMs)
    return [...callerActions, ...this._abandonGrant(nowMs)]
  }

  /** A dispatched call goes on until its outcome is recorded; one that is not yet dispatched abandons its grant. */
  private _onCallerGone (nowMs: number): PermitAction[] {
    if (this._state === 'new') {
      this._isCallerAnswered = true
      return this._end([])
    }
    if (this._state !== 'asking') {
      this._isCallerAnswered = true
      return []
    }
    return [...this._refuse('not-run', 'cancelled', 0), ...this._abandonGrant(nowMs)]
  }

  private _checkTimeouts (nowMs: number): PermitAction[] {
    if (this._state === 'asking' && nowMs >= this._request.deadlineAtMs) {
      // More than one command sent means that control did not reply in time; after one, the deadline was merely short.
      const reason = this._sequence > 1 ? 'control-unavailable' : 'deadline-exceeded'
      return [...this._refuse('not-run', reason, NO_REPLY_RETRY_AFTER_MS), ...this._abandonGrant(nowMs)]
    }
    if (this._state === 'dispatched') {
      return this._checkRunTimeout(nowMs)
    }
    if (this._outcomeAtMs !== undefined && nowMs - this._outcomeAtMs >= this._options.outcomeTimeoutMs) {
      return this._end([])
    }
    return nowMs >= this._retryAtMs && this._command !== undefined ? this._retryCommand(this._command, nowMs) : []
  }

  private _checkRunTimeout (nowMs: number): PermitAction[] {
    if (nowMs - this._startedAtMs >= this._request.runForMs && nowMs >= this._request.deadlineAtMs) {
      return this._giveUpRun('deadline-exceeded', nowMs)
    }
    return nowMs >= this._request.deadlineAtMs ? this._refuse('unknown', 'deadline-exceeded', 0) : []
  }

  private _abandonGrant (nowMs: number): PermitAction[] {
    this._state = 'giving-back'
    return this._sendOutcome({ type: 'abandon', ...this._recordAndHolder() }, nowMs)
  }

  /** Sends the final command of the permit, with new retry delays. */
  private _sendOutcome (command: RecordCommand, nowMs: number): PermitAction[] {
    this._outcomeAtMs = nowMs
    this._retryDelayMs = this._options.initialRetryMs
    this._firstSequence = this._sequence + 1
    return this._send(command, nowMs)
  }

  private _retryCommand (command: RecordCommand, nowMs: number): PermitAction[] {
    this._retryDelayMs = Math.min(this._retryDelayMs * 2, this._options.maxRetryMs)
    return this._send(command, nowMs)
  }

  private _send (command: RecordCommand, nowMs: number): PermitAction[] {
    this._command = command
    this._sequence += 1
    this._retryAtMs = nowMs + this._retryDelayMs
    return [{ type: 'send', sequence: this._sequence, command }]
  }

  private _recordAndHolder () {
    return { record: this._request.record, holder: this._request.holder }
  }

  /** Answers the caller with the stored answer of an earlier run. */
  private _replayAnswer (answer: StoredAnswer): PermitAction[] {
    if (answer.truncated) {
      return this._refuse('unknown', 'too-large', 0, answer.status)
    }
    this._isCallerAnswered = true
    return [{ type: 'answer', answer, isReplayed: true }]
  }

  /** Refuses the call unless the caller has been answered already. */
  private _refuse (
    disposition: Disposition,
    reason: Reason,
    retryAfterMs: number,
    firstStatus?: number
  ): PermitAction[] {
    if (this._isCallerAnswered) {
      return []
    }
    this._isCallerAnswered = true
    const status = firstStatus === undefined ? {} : { firstStatus }
    return [{ type: 'refuse', disposition, reason, retryAfterMs, ...status }]
  }

  private _end (actions: PermitAction[]): PermitAction[] {
    this._state = 'done'
    this._command = undefined
    this._retryAtMs = Number.POSITIVE_INFINITY
    return actions
  }

  private _scheduleWake (): PermitAction[] {
    const atMs = Math.min(this._retryAtMs, this._nextTimeoutAtMs())
    return Number.isFinite(atMs) ? [{ type: 'wake', atMs }] : []
  }

  private _nextTimeoutAtMs (): number {
    if (this._state === 'asking' || (this._state === 'dispatched' && !this._isCallerAnswered)) {
      return this._request.deadlineAtMs
    }
    if (this._state === 'dispatched') {
      return Math.max(this._startedAtMs + this._request.runForMs, this._request.deadlineAtMs)
    }
    return this._outcomeAtMs === undefined
      ? Number.POSITIVE_INFINITY
      : this._outcomeAtMs + this._options.outcomeTimeoutMs
  }
}
