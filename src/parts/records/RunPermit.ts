import type { Disposition, Part, Reason } from '../Types.js'
import { fitAnswer } from './AnswerStore.js'
import {
  COMMAND_RETRY_MS,
  MAX_ANSWER_BYTES,
  MAX_COMMAND_RETRY_MS,
  RECORD_FOR_MS,
  UNAVAILABLE_RETRY_AFTER_MS
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

/** Durations and limits of a run permit. */
export interface PermitOptions {
  readonly retryMs: number
  readonly maxRetryMs: number
  readonly recordForMs: number
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

const DEFAULTS: PermitOptions = {
  retryMs: COMMAND_RETRY_MS,
  maxRetryMs: MAX_COMMAND_RETRY_MS,
  recordForMs: RECORD_FOR_MS,
  maxAnswerBytes: MAX_ANSWER_BYTES
}

/**
 * One guarded call at the node of its upstream, from asking for permission until its outcome is written.
 *
 * The request is dispatched at most once, and only after the ledger has granted it to this holder. Until then the
 * caller may be told `not-run`, and the grant is given back. Once it is dispatched the caller is told the answer or
 * `unknown`, never `not-run`, unless the upstream proves that it did not run it. The caller's answer does not wait
 * for the outcome to be written; a planned stop waits for `done`.
 *
 * `not-run` speaks of this call: whoever made several attempts for one request tells the worst of them.
 *
 * Memory: one command, with at most `maxAnswerBytes` of answer.
 */
export class RunPermit implements Part<PermitEvent, PermitAction> {
  private readonly _request: PermitRequest
  private readonly _options: PermitOptions
  private _current: PermitState = 'new'
  private _command: RecordCommand | undefined
  private _sequence = 0
  private _firstSequence = 0
  private _sendAtMs = Number.POSITIVE_INFINITY
  private _waitMs: number
  private _beganAtMs = 0
  private _settledAtMs: number | undefined
  private _told = false

  private readonly _handlers: Handlers = {
    start: (_event, nowMs) => this._start(nowMs),
    reply: (event, nowMs) => this._takeReply(event, nowMs),
    unanswered: (event, nowMs) => this._takeUnanswered(event, nowMs),
    answered: (event, nowMs) => this._takeAnswer(event.answer, nowMs),
    upstreamLost: (_event, nowMs) => this._takeLoss('upstream-failed', nowMs),
    notRun: (event, nowMs) => this._takeProof(event, nowMs),
    callerGone: (_event, nowMs) => this._takeCallerGone(nowMs),
    tick: () => []
  }

  private readonly _beginReplies: ReplyHandlers = {
    granted: () => this._takeGrant(),
    answered: (reply) => this._end(this._repeatAnswer(reply.answer)),
    inProgress: (reply) => this._end(this._refuse('unknown', 'in-progress', reply.retryAfterMs)),
    unknown: () => this._end(this._refuse('unknown', 'peer-lost', 0)),
    recorded: () => [],
    refused: (reply) => this._end(this._refuse('not-run', reply.reason, reply.retryAfterMs))
  }

  /**
   * @param request Key, fingerprint, holder and times of the call. The holder is never used for another permit.
   * @param options Durations and limits that replace the defaults.
   */
  public constructor (request: PermitRequest, options: Partial<PermitOptions> = {}) {
    this._request = request
    this._options = { ...DEFAULTS, ...options }
    this._waitMs = this._options.retryMs
  }

  /** State for the dump. */
  public get state (): PermitState {
    return this._current
  }

  /**
   * Takes one event and returns the actions for the host, in order.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: PermitEvent, nowMs: number): PermitAction[] {
    const wasDone = this._current === 'done'
    const overdue = this._passTime(nowMs)
    const handler = this._handlers[event.type] as (event: PermitEvent, nowMs: number) => PermitAction[]
    const actions = [...overdue, ...handler(event, nowMs)]
    if (this._current === 'done') {
      return wasDone ? actions : [...actions, { type: 'done' }]
    }
    return [...actions, ...this._wake()]
  }

  private _start (nowMs: number): PermitAction[] {
    if (this._current !== 'new') {
      return []
    }
    if (nowMs >= this._request.deadlineAtMs) {
      return this._end(this._refuse('not-run', 'deadline-exceeded', 0))
    }
    const { record, fingerprint, holder, runForMs } = this._request
    this._current = 'asking'
    this._beganAtMs = nowMs
    this._firstSequence = 1
    return this._send({ type: 'begin', record, fingerprint, holder, runForMs }, nowMs)
  }

  private _takeReply (event: EventOf<'reply'>, nowMs: number): PermitAction[] {
    // A reply to an earlier copy of the same command is as good as one to the last copy.
    if (event.sequence < this._firstSequence || this._command === undefined) {
      return []
    }
    if (this._current === 'asking') {
      const handler = this._beginReplies[event.reply.type] as (reply: RecordReply, nowMs: number) => PermitAction[]
      return handler(event.reply, nowMs)
    }
    const settled = event.reply.type === 'recorded' || event.reply.type === 'refused'
    return settled && this._current !== 'dispatched' ? this._end([]) : []
  }

  private _takeUnanswered (event: EventOf<'unanswered'>, nowMs: number): PermitAction[] {
    if (event.sequence === this._sequence && this._command !== undefined) {
      this._sendAtMs = Math.min(this._sendAtMs, nowMs + this._options.retryMs)
    }
    return []
  }

  private _takeGrant (): PermitAction[] {
    // An overdue call has been given up by `passTime` before its reply is looked at.
    this._command = undefined
    this._sendAtMs = Number.POSITIVE_INFINITY
    this._current = 'dispatched'
    return [{ type: 'dispatch' }]
  }

  private _takeAnswer (answer: StoredAnswer, nowMs: number): PermitAction[] {
    if (this._current !== 'dispatched') {
      return []
    }
    const actions: PermitAction[] = this._told ? [] : [{ type: 'answer', answer, repeated: false }]
    this._told = true
    this._current = 'answering'
    const kept = fitAnswer(answer, this._options.maxAnswerBytes)
    return [...actions, ...this._settle({ type: 'finish', ...this._ownership(), answer: kept }, nowMs)]
  }

  private _takeLoss (reason: Reason, nowMs: number): PermitAction[] {
    if (this._current !== 'dispatched') {
      return []
    }
    this._current = 'losing'
    const told = this._refuse('unknown', reason, 0)
    return [...told, ...this._settle({ type: 'lose', ...this._ownership() }, nowMs)]
  }

  private _takeProof (event: EventOf<'notRun'>, nowMs: number): PermitAction[] {
    if (this._current !== 'dispatched') {
      return []
    }
    const told = this._refuse('not-run', event.reason, event.retryAfterMs)
    return [...told, ...this._giveBack(nowMs)]
  }

  /** A call that has started is finished and recorded; one that has not gives its grant back. */
  private _takeCallerGone (nowMs: number): PermitAction[] {
    if (this._current === 'new') {
      this._told = true
      return this._end([])
    }
    if (this._current !== 'asking') {
      this._told = true
      return []
    }
    return [...this._refuse('not-run', 'cancelled', 0), ...this._giveBack(nowMs)]
  }

  private _passTime (nowMs: number): PermitAction[] {
    if (this._current === 'asking' && nowMs >= this._request.deadlineAtMs) {
      const reason = this._sequence > 1 ? 'control-unavailable' : 'deadline-exceeded'
      return [...this._refuse('not-run', reason, UNAVAILABLE_RETRY_AFTER_MS), ...this._giveBack(nowMs)]
    }
    if (this._current === 'dispatched') {
      return this._passRunTime(nowMs)
    }
    if (this._settledAtMs !== undefined && nowMs - this._settledAtMs >= this._options.recordForMs) {
      return this._end([])
    }
    return nowMs >= this._sendAtMs && this._command !== undefined ? this._sendAgain(this._command, nowMs) : []
  }

  private _passRunTime (nowMs: number): PermitAction[] {
    if (nowMs - this._beganAtMs >= this._request.runForMs && nowMs >= this._request.deadlineAtMs) {
      return this._takeLoss('deadline-exceeded', nowMs)
    }
    return nowMs >= this._request.deadlineAtMs ? this._refuse('unknown', 'deadline-exceeded', 0) : []
  }

  private _giveBack (nowMs: number): PermitAction[] {
    this._current = 'giving-back'
    return this._settle({ type: 'abandon', ...this._ownership() }, nowMs)
  }

  private _settle (command: RecordCommand, nowMs: number): PermitAction[] {
    this._settledAtMs = nowMs
    this._waitMs = this._options.retryMs
    this._firstSequence = this._sequence + 1
    return this._send(command, nowMs)
  }

  private _sendAgain (command: RecordCommand, nowMs: number): PermitAction[] {
    this._waitMs = Math.min(this._waitMs * 2, this._options.maxRetryMs)
    return this._send(command, nowMs)
  }

  private _send (command: RecordCommand, nowMs: number): PermitAction[] {
    this._command = command
    this._sequence += 1
    this._sendAtMs = nowMs + this._waitMs
    return [{ type: 'send', sequence: this._sequence, command }]
  }

  private _ownership () {
    return { record: this._request.record, holder: this._request.holder }
  }

  private _repeatAnswer (answer: StoredAnswer): PermitAction[] {
    if (answer.truncated) {
      return this._refuse('unknown', 'too-large', 0, answer.status)
    }
    this._told = true
    return [{ type: 'answer', answer, repeated: true }]
  }

  private _refuse (
    disposition: Disposition,
    reason: Reason,
    retryAfterMs: number,
    firstStatus?: number
  ): PermitAction[] {
    if (this._told) {
      return []
    }
    this._told = true
    const status = firstStatus === undefined ? {} : { firstStatus }
    return [{ type: 'refuse', disposition, reason, retryAfterMs, ...status }]
  }

  private _end (actions: PermitAction[]): PermitAction[] {
    this._current = 'done'
    this._command = undefined
    this._sendAtMs = Number.POSITIVE_INFINITY
    return actions
  }

  private _wake (): PermitAction[] {
    const atMs = Math.min(this._sendAtMs, this._nextLimitMs())
    return Number.isFinite(atMs) ? [{ type: 'wake', atMs }] : []
  }

  private _nextLimitMs (): number {
    if (this._current === 'asking' || (this._current === 'dispatched' && !this._told)) {
      return this._request.deadlineAtMs
    }
    if (this._current === 'dispatched') {
      return Math.max(this._beganAtMs + this._request.runForMs, this._request.deadlineAtMs)
    }
    return this._settledAtMs === undefined ? Number.POSITIVE_INFINITY : this._settledAtMs + this._options.recordForMs
  }
}
