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
  private readonly request: PermitRequest
  private readonly options: PermitOptions
  private current: PermitState = 'new'
  private command: RecordCommand | undefined
  private sequence = 0
  private firstSequence = 0
  private sendAtMs = Number.POSITIVE_INFINITY
  private waitMs: number
  private beganAtMs = 0
  private settledAtMs: number | undefined
  private told = false

  private readonly handlers: Handlers = {
    start: (_event, nowMs) => this.start(nowMs),
    reply: (event, nowMs) => this.takeReply(event, nowMs),
    unanswered: (event, nowMs) => this.takeUnanswered(event, nowMs),
    answered: (event, nowMs) => this.takeAnswer(event.answer, nowMs),
    upstreamLost: (_event, nowMs) => this.takeLoss('upstream-failed', nowMs),
    notRun: (event, nowMs) => this.takeProof(event, nowMs),
    callerGone: (_event, nowMs) => this.takeCallerGone(nowMs),
    tick: () => []
  }

  private readonly beginReplies: ReplyHandlers = {
    granted: () => this.takeGrant(),
    answered: (reply) => this.end(this.repeatAnswer(reply.answer)),
    inProgress: (reply) => this.end(this.refuse('unknown', 'in-progress', reply.retryAfterMs)),
    unknown: () => this.end(this.refuse('unknown', 'peer-lost', 0)),
    recorded: () => [],
    refused: (reply) => this.end(this.refuse('not-run', reply.reason, reply.retryAfterMs))
  }

  /**
   * @param request Key, fingerprint, holder and times of the call. The holder is never used for another permit.
   * @param options Durations and limits that replace the defaults.
   */
  public constructor (request: PermitRequest, options: Partial<PermitOptions> = {}) {
    this.request = request
    this.options = { ...DEFAULTS, ...options }
    this.waitMs = this.options.retryMs
  }

  /** State for the dump. */
  public get state (): PermitState {
    return this.current
  }

  /**
   * Takes one event and returns the actions for the host, in order.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: PermitEvent, nowMs: number): PermitAction[] {
    const wasDone = this.current === 'done'
    const overdue = this.passTime(nowMs)
    const handler = this.handlers[event.type] as (event: PermitEvent, nowMs: number) => PermitAction[]
    const actions = [...overdue, ...handler(event, nowMs)]
    if (this.current === 'done') {
      return wasDone ? actions : [...actions, { type: 'done' }]
    }
    return [...actions, ...this.wake()]
  }

  private start (nowMs: number): PermitAction[] {
    if (this.current !== 'new') {
      return []
    }
    if (nowMs >= this.request.deadlineAtMs) {
      return this.end(this.refuse('not-run', 'deadline-exceeded', 0))
    }
    const { record, fingerprint, holder, runForMs } = this.request
    this.current = 'asking'
    this.beganAtMs = nowMs
    this.firstSequence = 1
    return this.send({ type: 'begin', record, fingerprint, holder, runForMs }, nowMs)
  }

  private takeReply (event: EventOf<'reply'>, nowMs: number): PermitAction[] {
    // A reply to an earlier copy of the same command is as good as one to the last copy.
    if (event.sequence < this.firstSequence || this.command === undefined) {
      return []
    }
    if (this.current === 'asking') {
      const handler = this.beginReplies[event.reply.type] as (reply: RecordReply, nowMs: number) => PermitAction[]
      return handler(event.reply, nowMs)
    }
    const settled = event.reply.type === 'recorded' || event.reply.type === 'refused'
    return settled && this.current !== 'dispatched' ? this.end([]) : []
  }

  private takeUnanswered (event: EventOf<'unanswered'>, nowMs: number): PermitAction[] {
    if (event.sequence === this.sequence && this.command !== undefined) {
      this.sendAtMs = Math.min(this.sendAtMs, nowMs + this.options.retryMs)
    }
    return []
  }

  private takeGrant (): PermitAction[] {
    // An overdue call has been given up by `passTime` before its reply is looked at.
    this.command = undefined
    this.sendAtMs = Number.POSITIVE_INFINITY
    this.current = 'dispatched'
    return [{ type: 'dispatch' }]
  }

  private takeAnswer (answer: StoredAnswer, nowMs: number): PermitAction[] {
    if (this.current !== 'dispatched') {
      return []
    }
    const actions: PermitAction[] = this.told ? [] : [{ type: 'answer', answer, repeated: false }]
    this.told = true
    this.current = 'answering'
    const kept = fitAnswer(answer, this.options.maxAnswerBytes)
    return [...actions, ...this.settle({ type: 'finish', ...this.ownership(), answer: kept }, nowMs)]
  }

  private takeLoss (reason: Reason, nowMs: number): PermitAction[] {
    if (this.current !== 'dispatched') {
      return []
    }
    this.current = 'losing'
    const told = this.refuse('unknown', reason, 0)
    return [...told, ...this.settle({ type: 'lose', ...this.ownership() }, nowMs)]
  }

  private takeProof (event: EventOf<'notRun'>, nowMs: number): PermitAction[] {
    if (this.current !== 'dispatched') {
      return []
    }
    const told = this.refuse('not-run', event.reason, event.retryAfterMs)
    return [...told, ...this.giveBack(nowMs)]
  }

  /** A call that has started is finished and recorded; one that has not gives its grant back. */
  private takeCallerGone (nowMs: number): PermitAction[] {
    if (this.current === 'new') {
      this.told = true
      return this.end([])
    }
    if (this.current !== 'asking') {
      this.told = true
      return []
    }
    return [...this.refuse('not-run', 'cancelled', 0), ...this.giveBack(nowMs)]
  }

  private passTime (nowMs: number): PermitAction[] {
    if (this.current === 'asking' && nowMs >= this.request.deadlineAtMs) {
      const reason = this.sequence > 1 ? 'control-unavailable' : 'deadline-exceeded'
      return [...this.refuse('not-run', reason, UNAVAILABLE_RETRY_AFTER_MS), ...this.giveBack(nowMs)]
    }
    if (this.current === 'dispatched') {
      return this.passRunTime(nowMs)
    }
    if (this.settledAtMs !== undefined && nowMs - this.settledAtMs >= this.options.recordForMs) {
      return this.end([])
    }
    return nowMs >= this.sendAtMs && this.command !== undefined ? this.sendAgain(this.command, nowMs) : []
  }

  private passRunTime (nowMs: number): PermitAction[] {
    if (nowMs - this.beganAtMs >= this.request.runForMs && nowMs >= this.request.deadlineAtMs) {
      return this.takeLoss('deadline-exceeded', nowMs)
    }
    return nowMs >= this.request.deadlineAtMs ? this.refuse('unknown', 'deadline-exceeded', 0) : []
  }

  private giveBack (nowMs: number): PermitAction[] {
    this.current = 'giving-back'
    return this.settle({ type: 'abandon', ...this.ownership() }, nowMs)
  }

  private settle (command: RecordCommand, nowMs: number): PermitAction[] {
    this.settledAtMs = nowMs
    this.waitMs = this.options.retryMs
    this.firstSequence = this.sequence + 1
    return this.send(command, nowMs)
  }

  private sendAgain (command: RecordCommand, nowMs: number): PermitAction[] {
    this.waitMs = Math.min(this.waitMs * 2, this.options.maxRetryMs)
    return this.send(command, nowMs)
  }

  private send (command: RecordCommand, nowMs: number): PermitAction[] {
    this.command = command
    this.sequence += 1
    this.sendAtMs = nowMs + this.waitMs
    return [{ type: 'send', sequence: this.sequence, command }]
  }

  private ownership () {
    return { record: this.request.record, holder: this.request.holder }
  }

  private repeatAnswer (answer: StoredAnswer): PermitAction[] {
    if (answer.truncated) {
      return this.refuse('unknown', 'too-large', 0, answer.status)
    }
    this.told = true
    return [{ type: 'answer', answer, repeated: true }]
  }

  private refuse (
    disposition: Disposition,
    reason: Reason,
    retryAfterMs: number,
    firstStatus?: number
  ): PermitAction[] {
    if (this.told) {
      return []
    }
    this.told = true
    const status = firstStatus === undefined ? {} : { firstStatus }
    return [{ type: 'refuse', disposition, reason, retryAfterMs, ...status }]
  }

  private end (actions: PermitAction[]): PermitAction[] {
    this.current = 'done'
    this.command = undefined
    this.sendAtMs = Number.POSITIVE_INFINITY
    return actions
  }

  private wake (): PermitAction[] {
    const atMs = Math.min(this.sendAtMs, this.nextLimitMs())
    return Number.isFinite(atMs) ? [{ type: 'wake', atMs }] : []
  }

  private nextLimitMs (): number {
    if (this.current === 'asking' || (this.current === 'dispatched' && !this.told)) {
      return this.request.deadlineAtMs
    }
    if (this.current === 'dispatched') {
      return Math.max(this.beganAtMs + this.request.runForMs, this.request.deadlineAtMs)
    }
    return this.settledAtMs === undefined ? Number.POSITIVE_INFINITY : this.settledAtMs + this.options.recordForMs
  }
}
