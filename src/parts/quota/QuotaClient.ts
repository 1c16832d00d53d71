import type { Part, Random } from '../Types.js'
import { ClientWorkspace, type WaitingRequest, windowQuota } from './ClientWorkspace.js'
import {
  ADVANCE_VALID_MS, ALLOWANCE_LIFETIME_MS, ANSWER_LIFETIME_MS, ANSWER_RETENTION_MS, ANSWER_TIMEOUT_MS, KEEPALIVE_MS,
  RETRY_SPREAD_MS, SPARE_REQUESTS, SPARE_SHARE
} from './Constants.js'
import { ReportOutbox } from './ReportOutbox.js'
import type {
  Quota, QuotaAnswer, QuotaClientAction, QuotaClientEvent, QuotaGrant, QuotaRefusalReason
} from './Types.js'

/** Position of a node among all nodes. */
export interface NodeRank {
  /** From 0. */
  readonly index: number
  readonly count: number
}

/** What a client needs of its node. */
export interface QuotaClientOptions {
  /** Returns the incarnation of the node, which increases with each start. */
  readonly incarnation: () => number
  readonly startedAtMs: number
  readonly random: Random
  /** Returns the position of this node among the nodes that it knows, in an order that all of them agree on. */
  readonly rank: () => NodeRank
}

/** Largest number of messages that wait for answers; older ones are dropped, and their answers ignored. */
const MAX_OPEN_MESSAGES = 256

type Handlers = {
  readonly [Type in QuotaClientEvent['type']]: (event: Extract<QuotaClientEvent, { type: Type }>, nowMs: number) => void
}

/**
 * Admits the requests of workspaces at one node by the credits that the leader's `QuotaLedger` grants. Without an
 * answer, a node admits in any window at most what it used in the window before contact was lost, which the ledger
 * keeps counting, and a few spare requests.
 *
 * Memory: a `ClientWorkspace` for each workspace that was used within the window or has requests waiting, the reports
 * of a window, and `MAX_OPEN_MESSAGES` messages.
 */
export class QuotaClient implements Part<QuotaClientEvent, QuotaClientAction> {
  private readonly _workspaces = new Map<string, ClientWorkspace>()
  private readonly _outbox = new ReportOutbox()
  /** Send times of the messages that were not answered yet, by sequence number. */
  private readonly _open = new Map<number, number>()
  private _actions: QuotaClientAction[] = []
  private _term = 0
  private _heardMs: number | undefined
  /** When the last answer came that granted or refused. */
  private _contactMs = -Infinity
  /** Send time of the first message without an answer since; undefined while there is contact. */
  private _lostSinceMs: number | undefined
  private _lastSequence = 0
  private _lastAnswered = 0
  private _lastFullSequence = 0
  private _lastSentMs = -Infinity
  private _needsFull = true
  private _needsSend = false

  private readonly _handlers: Handlers = {
    request: (event, nowMs) => this._onRequest(event, nowMs),
    cancel: ({ id, workspace }) => {
      const state = this._workspaces.get(workspace)
      if (state !== undefined) state.waiting = state.waiting.filter(waiting => waiting.id !== id)
    },
    giveBack: ({ workspace, atMs }) => {
      this._workspaces.get(workspace)?.uses.remove(1, atMs, atMs)
      this._outbox.addReturns(workspace, 1, atMs)
    },
    answer: ({ answer }, nowMs) => this._onAnswer(answer, nowMs),
    opened: () => this._askAgain(() => true),
    suspended: (_event, nowMs) => this._onSuspended(nowMs),
    flush: (_event, nowMs) => { if (this._needsSend) this._send(nowMs) },
    tick: (_event, nowMs) => this._onTick(nowMs)
  }

  public constructor (private readonly _options: QuotaClientOptions) {}

  /** True while ticks are needed. */
  public get isActive (): boolean {
    return this._workspaces.size > 0 || this._outbox.isPending || this._needsSend
  }

  /** True when a `flush` would send a message. */
  public get needsFlush (): boolean {
    return this._needsSend
  }

  /** Number of workspaces in memory. */
  public get size (): number {
    return this._workspaces.size
  }

  /** Latest term that the node knows of; 0 for none. */
  public get term (): number {
    return this._term
  }

  /** Returns the used share of a quota, from 0 to 1 in eighths; undefined when it is not known. */
  public shareUsed (workspace: string, nowMs: number): number | undefined {
    const state = this._workspaces.get(workspace)
    return state === undefined || nowMs >= state.answeredUntilMs ? undefined : state.eighths / 8
  }

  /** @inheritdoc */
  public step (event: QuotaClientEvent, nowMs: number): QuotaClientAction[] {
    const handler = this._handlers[event.type] as (event: QuotaClientEvent, nowMs: number) => void
    handler(event, nowMs)
    const actions = this._actions
    this._actions = []
    return actions
  }

  private _onRequest (event: Extract<QuotaClientEvent, { type: 'request' }>, nowMs: number): void {
    const { id, workspace, quota, waitMs } = event
    const state = this._workspaces.get(workspace) ?? new ClientWorkspace(workspace, quota)
    this._workspaces.set(workspace, state)
    this._updateQuota(state, quota, nowMs)
    this._returnExpired(state, nowMs)
    if (nowMs < state.refusedUntilMs) return this._refuse(id, 'quota', state.refusedUntilMs - nowMs)
    if (state.takeCredit(nowMs)) return this._admit(state, id, nowMs, false)
    if (this._lostSinceMs !== undefined && this._takeAllowance(state, nowMs)) return this._admit(state, id, nowMs, true)
    state.waiting.push({ id, giveUpMs: nowMs + Math.min(waitMs, ANSWER_LIFETIME_MS), sequence: undefined })
    this._needsSend = true
  }

  /** What was granted or refused by another quota no longer holds. */
  private _updateQuota (state: ClientWorkspace, quota: Quota, nowMs: number): void {
    if (quota.ratePerS === state.quota.ratePerS && quota.burst === state.quota.burst) return
    state.quota = quota
    state.refusedUntilMs = -Infinity
    const count = state.dropCredits()
    if (count > 0) this._outbox.addReturns(state.name, count, nowMs)
  }

  private _onAnswer (answer: QuotaAnswer, nowMs: number): void {
    if (answer.term < this._term) return
    if (answer.term > this._term) this._onNewTerm(answer.term)
    const { sequence } = answer
    if (sequence === undefined) return this._onCollect()
    const sentAtMs = this._open.get(sequence)
    this._open.delete(sequence)
    if (sentAtMs === undefined || nowMs - sentAtMs > ANSWER_LIFETIME_MS) return
    this._outbox.acknowledge(answer.id)
    if (answer.needsReport === true) return this._onReportNeeded(sequence)
    if (answer.atMs === undefined) return
    // A ledger that grants has a full report of this node.
    this._needsFull = false
    this._heardMs = Math.max(this._heardMs ?? answer.atMs, answer.atMs)
    this._lastAnswered = Math.max(this._lastAnswered, sequence)
    this._endFallback(nowMs)
    for (const grant of answer.grants) this._onGrant(grant, sequence, sentAtMs, nowMs)
    this._askAgain(waiting => waiting.sequence! < sequence && this._isOverdue(waiting.sequence!, nowMs))
  }

  /** Credits of an earlier term must not be used, since the new leader does not count them. */
  private _onNewTerm (term: number): void {
    this._term = term
    this._heardMs = undefined
    this._needsFull = true
    for (const state of this._workspaces.values()) {
      state.dropCredits()
      state.refusedUntilMs = -Infinity
    }
  }

  /** The ledger has dropped what it received before it answers, except reports. */
  private _onCollect (): void {
    this._askAgain(() => true)
    if (this._needsFull || this._outbox.isPending) this._needsSend = true
  }

  /** A report that was sent after the message may have arrived meanwhile. */
  private _onReportNeeded (sequence: number): void {
    if (sequence >= this._lastFullSequence) this._needsFull = true
    this._askAgain(waiting => waiting.sequence === sequence)
    this._needsSend = true
  }

  private _onGrant (grant: QuotaGrant, sequence: number, sentAtMs: number, nowMs: number): void {
    const { workspace, count, advance = 0, retryAfterMs, eighths } = grant
    const state = this._workspaces.get(workspace)
    if (state === undefined) return this._outbox.addReturns(workspace, count + advance, sentAtMs)
    state.eighths = eighths
    state.answeredUntilMs = nowMs + ANSWER_RETENTION_MS
    const isLate = nowMs - sentAtMs > ANSWER_TIMEOUT_MS
    const admitted = state.waiting.splice(0, count)
    admitted.forEach(({ id }) => {
      // The ledger counts a credit as used at the timeout at the latest.
      if (isLate) {
        this._outbox.addReturns(workspace, 1, sentAtMs)
        this._outbox.addUse(workspace, nowMs)
      }
      this._admit(state, id, nowMs, false)
    })
    const surplus = count - admitted.length
    if (isLate) this._outbox.addReturns(workspace, surplus + advance, sentAtMs)
    else {
      state.hold(surplus, sentAtMs + ANSWER_TIMEOUT_MS)
      state.hold(advance, nowMs + ADVANCE_VALID_MS)
    }
    if (retryAfterMs !== undefined) this._refuseAsked(state, sequence, retryAfterMs, nowMs)
  }

  private _refuseAsked (state: ClientWorkspace, sequence: number, retryAfterMs: number, nowMs: number): void {
    const jitterFactor = 0.75 + this._options.random.next() / 2
    state.refusedUntilMs = nowMs + retryAfterMs * jitterFactor
    const refused = state.waiting.filter(waiting => waiting.sequence === sequence)
    state.waiting = state.waiting.filter(waiting => waiting.sequence !== sequence)
    refused.forEach(({ id }) => this._refuse(id, 'quota', retryAfterMs))
  }

  private _onSuspended (nowMs: number): void {
    for (const state of this._workspaces.values()) {
      state.dropCredits()
      state.endAllowance()
    }
    this._open.clear()
    this._contactMs = -Infinity
    this._lostSinceMs ??= nowMs
    this._askAgain(() => true)
  }

  private _onTick (nowMs: number): void {
    const firstMs = this._firstUnansweredMs()
    if (this._lostSinceMs === undefined && firstMs !== undefined && nowMs - firstMs > ANSWER_TIMEOUT_MS) {
      this._startFallback(firstMs)
    }
    for (const state of this._workspaces.values()) {
      this._returnExpired(state, nowMs)
      if (state.waiting.length > 0) this._checkWaiting(state, nowMs)
      if (!state.isActive(nowMs) && !this._mayUseAllowance(state, nowMs)) this._workspaces.delete(state.name)
    }
    for (const [sequence, sentAtMs] of this._open) {
      if (nowMs - sentAtMs > ANSWER_LIFETIME_MS) this._open.delete(sequence)
    }
    const isUsed = this._workspaces.size > 0 || this._outbox.isPending
    if (this._needsSend || (isUsed && nowMs - this._lastSentMs >= KEEPALIVE_MS)) this._send(nowMs)
  }

  /** Requests that wait take the allowance, or are refused when their time is over. */
  private _checkWaiting (state: ClientWorkspace, nowMs: number): void {
    const left: WaitingRequest[] = []
    for (const waiting of state.waiting) {
      const isAllowed = this._lostSinceMs !== undefined && this._takeAllowance(state, nowMs)
      if (isAllowed) this._admit(state, waiting.id, nowMs, true)
      else if (nowMs >= waiting.giveUpMs) this._refuse(waiting.id, 'quota-unknown', 0)
      else left.push(waiting)
    }
    state.waiting = left
  }

  private _returnExpired (state: ClientWorkspace, nowMs: number): void {
    const count = state.removeExpired(nowMs)
    // The ledger counts credits in advance as used when they expire.
    if (count > 0) this._outbox.addReturns(state.name, count, nowMs)
  }

  private _firstUnansweredMs (): number | undefined {
    for (const [sequence, sentAtMs] of this._open) {
      if (sequence > this._lastAnswered) return sentAtMs
    }
    return undefined
  }

  private _isOverdue (sequence: number, nowMs: number): boolean {
    const sentAtMs = this._open.get(sequence)
    return sentAtMs === undefined || nowMs - sentAtMs > ANSWER_TIMEOUT_MS
  }

  private _startFallback (sinceMs: number): void {
    this._lostSinceMs = sinceMs
    for (const state of this._workspaces.values()) state.fixAllowance(state.computeAllowance(this._contactMs))
  }

  private _endFallback (nowMs: number): void {
    this._contactMs = nowMs
    if (this._lostSinceMs === undefined) return
    this._lostSinceMs = undefined
    for (const state of this._workspaces.values()) state.endAllowance()
  }

  private _mayUseAllowance ({ allowance }: ClientWorkspace, nowMs: number): boolean {
    return allowance !== undefined && nowMs - (this._lostSinceMs ?? nowMs) <= ALLOWANCE_LIFETIME_MS
  }

  private _takeAllowance (state: ClientWorkspace, nowMs: number): boolean {
    if (nowMs - this._lostSinceMs! > ALLOWANCE_LIFETIME_MS || this._contactMs === -Infinity) return false
    return state.takeAllowance(this._spareCount(state), nowMs)
  }

  /** All nodes together have a few spare requests, so with many nodes only some have one, others for each workspace. */
  private _spareCount ({ name, quota }: ClientWorkspace): number {
    const { index, count } = this._options.rank()
    const total = Math.floor(windowQuota(quota) * SPARE_SHARE + SPARE_REQUESTS)
    const offset = [...name].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) % 1_000_003, 7)
    const position = (index + offset) % count
    return Math.floor(total / count) + Number(position < total % count)
  }

  private _admit (state: ClientWorkspace, id: number, nowMs: number, isFallback: boolean): void {
    state.uses.add(1, nowMs)
    if (isFallback) this._outbox.addUse(state.name, nowMs)
    this._actions.push({ type: 'admit', id, isFallback })
  }

  private _refuse (id: number, reason: QuotaRefusalReason, retryAfterMs: number): void {
    const spreadMs = this._options.random.next() * RETRY_SPREAD_MS
    this._actions.push({ type: 'refuse', id, reason, retryAfterMs: retryAfterMs + spreadMs })
  }

  /** Lets the next message ask again for requests whose earlier message is lost. */
  private _askAgain (isLost: (waiting: WaitingRequest) => boolean): void {
    for (const { waiting } of this._workspaces.values()) {
      for (const request of waiting) {
        if (request.sequence === undefined || !isLost(request)) continue
        request.sequence = undefined
        this._needsSend = true
      }
    }
  }

  private _send (nowMs: number): void {
    const sequence = ++this._lastSequence
    const asks = []
    for (const { name, waiting } of this._workspaces.values()) {
      const unasked = waiting.filter(request => request.sequence === undefined)
      unasked.forEach(request => { request.sequence = sequence })
      if (unasked.length > 0) asks.push({ workspace: name, count: unasked.length })
    }
    if (this._needsFull) this._startFullReport(sequence, nowMs)
    const { incarnation, startedAtMs } = this._options
    const report = this._outbox.next(nowMs, nowMs - startedAtMs)
    this._open.set(sequence, nowMs)
    if (this._open.size > MAX_OPEN_MESSAGES) this._open.delete(this._open.keys().next().value as number)
    this._needsSend = false
    this._lastSentMs = nowMs
    this._actions.push({
      type: 'send',
      message: {
        sequence,
        incarnation: incarnation(),
        term: this._term,
        ...(this._heardMs === undefined ? {} : { heardMs: this._heardMs }),
        asks,
        ...(report === undefined ? {} : { report })
      }
    })
  }

  private _startFullReport (sequence: number, nowMs: number): void {
    this._needsFull = false
    this._lastFullSequence = sequence
    const uses = []
    const allowances = []
    for (const state of this._workspaces.values()) {
      state.uses.sum(nowMs)
      uses.push(...state.uses.entries().map(entry => ({ workspace: state.name, ...entry })))
      const isLost = this._lostSinceMs !== undefined
      const count = isLost ? state.allowance ?? 0 : state.computeAllowance(this._contactMs)
      if (count > 0) allowances.push({ workspace: state.name, count })
    }
    this._outbox.startFull(uses, allowances)
  }
}
