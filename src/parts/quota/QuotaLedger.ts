import type { Part } from '../Types.js'
import { grantLimit, windowQuota } from './ClientWorkspace.js'
import {
  ADVANCE_MAX_USED, ADVANCE_SHARE, ADVANCE_VALID_MS, ALLOWANCE_GAP_MS, ANSWER_TIMEOUT_MS, COLLECT_INTERVAL_MS,
  COLLECT_MS, HOLD_AFTER_MS, HOLD_LIFETIME_MS, LEDGER_TICK_MS, LIMITED_REQUESTS, LIMITED_SHARE, MAX_REFUSAL_MS,
  QUOTA_WINDOW_MS
} from './Constants.js'
import { LedgerRow, WorkspaceTotal } from './LedgerRow.js'
import type {
  Quota, QuotaAnswer, QuotaAsk, QuotaGrant, QuotaLedgerAction, QuotaLedgerEvent, QuotaMessage, QuotaReport, QuotaUse
} from './Types.js'

/** What a ledger needs of its replica. */
export interface QuotaLedgerOptions {
  readonly term: number
  /** When this replica became the leader. */
  readonly startedAtMs: number
  /** Returns the quota in force; undefined for a workspace without one. */
  readonly findQuota: (workspace: string) => Quota | undefined
  /** Returns the nodes that are up. */
  readonly listNodes: () => readonly string[]
  /** Returns whether a node is known not to have run before its process started; absent where that is never known. */
  readonly isNewNode?: (node: string, upMs: number) => boolean
}

/** Time after a grant at which a credit in advance counts as used: its validity and a slow answer. */
const ADVANCE_STAMP_MS = ADVANCE_VALID_MS + ANSWER_TIMEOUT_MS

/** Times around the use of a returned credit between which the ledger has counted it. */
const RETURN_BEFORE_MS = 250
const RETURN_AFTER_MS = ADVANCE_STAMP_MS + 250

/** Interval at which counters of unused workspaces are removed, in milliseconds; they are too many for each tick. */
const SWEEP_INTERVAL_MS = 1000

/** Time before a message within which credits of a node show its rate, in milliseconds. */
const RATE_WINDOW_MS = 1000

/**
 * Grants credits for the requests of workspaces over all nodes, at the leader of the control group. In any sliding
 * window, the credits that may be used are at most `grantLimit` of the quota. A credit counts from its grant until the
 * window has passed since its last possible use. What nodes without contact may admit on their own is counted too. A
 * new leader has no state: until all nodes that are up have reported, it grants only what the reporting nodes used.
 *
 * Memory: a total for each workspace that was used within the window, and a row for each node that used any. A total
 * and a row's counter have at most one bucket for each step of the window with requests. The use of nodes without
 * contact is kept for `HOLD_LIFETIME_MS`.
 */
export class QuotaLedger implements Part<QuotaLedgerEvent, QuotaLedgerAction> {
  private readonly _rows = new Map<string, LedgerRow>()
  private readonly _totals = new Map<string, WorkspaceTotal>()
  /** Requests that the reporting nodes may admit by their earlier use, by workspace, until all have reported. */
  private readonly _pool = new Map<string, number>()
  /** Nodes whose use is unknown, with the time until which it matters if they are not up any more. */
  private readonly _missing = new Map<string, number>()
  private _isOpen = false
  private _isComplete = false
  /** True when the reports that have arrived since must be compared with the nodes that are up. */
  private _hasNews = true
  private _lastCheckMs: number
  private _lastSweepMs: number
  private _lastCollectMs = -Infinity
  private _actions: QuotaLedgerAction[] = []

  public constructor (private readonly _options: QuotaLedgerOptions) {
    this._lastCheckMs = _options.startedAtMs
    this._lastSweepMs = _options.startedAtMs
  }

  /** Number of workspaces and buckets in memory. */
  public get size (): { readonly workspaces: number, readonly nodes: number, readonly buckets: number } {
    const buckets = [...this._rows.values()].reduce((sum, { size }) => sum + size, 0)
    return { workspaces: this._totals.size, nodes: this._rows.size, buckets }
  }

  /** False while the use of some nodes is unknown. */
  public get isComplete (): boolean {
    return this._isComplete
  }

  /** @inheritdoc */
  public step (event: QuotaLedgerEvent, nowMs: number): QuotaLedgerAction[] {
    if (nowMs - this._lastCheckMs >= LEDGER_TICK_MS) this._check(nowMs)
    if (event.type === 'message') this._onMessage(event.node, event.message, nowMs)
    this._progress(nowMs)
    const actions = this._actions
    this._actions = []
    return actions
  }

  private _onMessage (node: string, message: QuotaMessage, nowMs: number): void {
    const { term } = this._options
    const { sequence, incarnation, report, asks } = message
    if (message.term > term) return
    let row = this._rows.get(node)
    if (row === undefined) this._rows.set(node, row = new LedgerRow(workspace => this._total(workspace), nowMs))
    if (incarnation < row.incarnation) return
    if (incarnation > row.incarnation) row.restart(incarnation, nowMs)
    if (report !== undefined && report.id > row.lastReport) this._takeReport(node, row, report, nowMs)
    this._takeAcknowledgement(row, message, nowMs)
    if (!this._isOpen && !this._tryOpen(nowMs)) return
    if (!row.isReported) return this._answer(node, { term, sequence, needsReport: true, grants: [] })
    const grants = asks.map(ask => this._grant(row, ask, nowMs))
    // An integer takes half the bytes of a fraction; an earlier time only makes the ledger count for longer.
    this._answer(node, { term, sequence, atMs: Math.floor(nowMs), id: row.lastReport, grants })
  }

  private _takeReport (node: string, row: LedgerRow, report: QuotaReport, nowMs: number): void {
    const { id, uses, returns, allowances, upMs = 0 } = report
    row.lastReport = id
    this._hasNews = true
    for (const use of uses) this._addUse(row, use, nowMs)
    for (const { workspace, count, ageMs } of returns) {
      row.remove(workspace, count, nowMs - ageMs - RETURN_BEFORE_MS, nowMs - ageMs + RETURN_AFTER_MS)
    }
    if (allowances === undefined || row.isReported) return
    row.completeAtMs = this._completeAtMs(node, upMs, nowMs)
    for (const { workspace, count } of allowances) {
      row.holdAtLeast(workspace, count)
      this._pool.set(workspace, (this._pool.get(workspace) ?? 0) + count)
    }
  }

  /**
   * An earlier run of the node may have used the workspaces within the window before the report. What it was granted
   * since this leader started is known, and what it was granted before has left the window some time after that start.
   */
  private _completeAtMs (node: string, upMs: number, nowMs: number): number {
    if (this._options.isNewNode?.(node, upMs) === true) return nowMs
    const untilMs = nowMs + Math.max(0, QUOTA_WINDOW_MS - upMs)
    return Math.min(untilMs, Math.max(nowMs, this._options.startedAtMs + QUOTA_WINDOW_MS + ALLOWANCE_GAP_MS))
  }

  private _addUse (row: LedgerRow, { workspace, count, ageMs }: QuotaUse, nowMs: number): void {
    if (ageMs <= QUOTA_WINDOW_MS) row.add(workspace, count, nowMs - ageMs)
  }

  private _takeAcknowledgement (row: LedgerRow, { term, heardMs }: QuotaMessage, nowMs: number): void {
    if (term !== this._options.term || heardMs === undefined) return
    const isNews = heardMs > row.heardMs
    row.heardMs = Math.max(row.heardMs, heardMs)
    const isSilent = nowMs - row.heardMs > HOLD_AFTER_MS
    if (!row.isHeld || (isSilent && !isNews)) return
    // With slow answers, each acknowledgement is late already; the uses before it must leave the window nevertheless.
    const asOfMs = Math.min(nowMs, row.heardMs + ALLOWANCE_GAP_MS)
    row.release(asOfMs)
    if (isSilent) row.hold(asOfMs)
  }

  private _grant (row: LedgerRow, { workspace, count }: QuotaAsk, nowMs: number): QuotaGrant {
    const quota = this._options.findQuota(workspace)
    if (quota === undefined) return { workspace, count, eighths: 0 }
    const total = this._total(workspace)
    const used = total.count(nowMs)
    const limit = this._limit(workspace, quota)
    const granted = Math.min(count, Math.max(0, Math.floor(limit - used)))
    // A node that has used nothing within the window has no allowance, so it needs no earlier contact.
    if (!row.isUsed) row.heardMs = nowMs
    if (granted > 0) row.add(workspace, granted, nowMs + ANSWER_TIMEOUT_MS)
    const share = (used + granted) / windowQuota(quota)
    const eighths = Math.min(8, Math.round(8 * share))
    if (granted < count) {
      const retryAfterMs = this._retryAfterMs(total, quota, used + granted - limit, nowMs)
      return { workspace, count: granted, retryAfterMs, eighths }
    }
    const mayAdvance = share < ADVANCE_MAX_USED && this._isComplete && !row.isHeld
    const advance = mayAdvance ? this._advance(row, workspace, quota, nowMs) : 0
    return advance === 0 ? { workspace, count, eighths } : { workspace, count, advance, eighths }
  }

  private _limit (workspace: string, quota: Quota): number {
    const limit = grantLimit(quota)
    if (this._isComplete) return limit
    const pool = this._pool.get(workspace) ?? 0
    return Math.min(limit, pool + Math.floor(windowQuota(quota) * LIMITED_SHARE + LIMITED_REQUESTS))
  }

  /** Grants credits in advance for half of the requests that the node sent within the last second. */
  private _advance (row: LedgerRow, workspace: string, quota: Quota, nowMs: number): number {
    const { advances } = this._total(workspace)
    const left = Math.floor(windowQuota(quota) * ADVANCE_SHARE) - advances.sum(nowMs)
    const recent = row.usesFrom(workspace, nowMs - RATE_WINDOW_MS)
    const count = Math.max(0, Math.min(left, Math.floor(recent / 2)))
    if (count === 0) return 0
    advances.add(count, nowMs)
    row.add(workspace, count, nowMs + ADVANCE_STAMP_MS)
    return count
  }

  /**
   * Returns when there is room for a request, or later where all nodes together would otherwise ask several times for
   * each request that the quota allows.
   */
  private _retryAfterMs (total: WorkspaceTotal, { ratePerS }: Quota, excess: number, nowMs: number): number {
    const freeAtMs = total.uses.freeAtMs(Math.max(1, Math.ceil(excess + 1)))
    const untilFreeMs = (freeAtMs ?? nowMs + MAX_REFUSAL_MS) - nowMs
    const pacedMs = Math.min(MAX_REFUSAL_MS, 1000 * this._rows.size / (2 * ratePerS))
    return Math.ceil(Math.max(untilFreeMs, pacedMs))
  }

  private _answer (node: string, answer: QuotaAnswer): void {
    this._actions.push({ type: 'answer', node, answer })
  }

  /** A new leader answers once all nodes have reported, or after a while. */
  private _tryOpen (nowMs: number): boolean {
    if (this._hasNews) this._updateComplete(nowMs)
    this._isOpen = nowMs - this._options.startedAtMs >= COLLECT_MS || this._isComplete
    if (this._isOpen) this._collect(nowMs)
    return this._isOpen
  }

  private _progress (nowMs: number): void {
    if (!this._isOpen) this._tryOpen(nowMs)
    else if (!this._isComplete && this._hasNews) this._updateComplete(nowMs)
    if (!this._isComplete && nowMs - this._lastCollectMs >= COLLECT_INTERVAL_MS) this._collect(nowMs)
  }

  private _updateComplete (nowMs: number): void {
    const { startedAtMs, listNodes } = this._options
    this._hasNews = false
    if (nowMs - startedAtMs >= HOLD_LIFETIME_MS) this._isComplete = true
    else {
      const nodes = listNodes()
      // A replica that has just started may not have learned of any node yet.
      const isDirectoryKnown = nodes.length > 0 || nowMs - startedAtMs >= COLLECT_MS
      this._updateMissing(nodes, nowMs)
      this._isComplete = isDirectoryKnown && this._missing.size === 0
    }
    if (!this._isComplete) return
    this._pool.clear()
    this._missing.clear()
  }

  /** What a node used shortly before it was given up is still within the window. */
  private _updateMissing (nodes: readonly string[], nowMs: number): void {
    for (const node of nodes) this._missing.set(node, nowMs + QUOTA_WINDOW_MS)
    for (const [node, untilMs] of this._missing) {
      const isKnown = (this._rows.get(node)?.completeAtMs ?? Infinity) <= nowMs
      if (isKnown || untilMs <= nowMs) this._missing.delete(node)
    }
  }

  private _collect (nowMs: number): void {
    this._lastCollectMs = nowMs
    this._actions.push({ type: 'collect', answer: { term: this._options.term, grants: [] } })
  }

  private _check (nowMs: number): void {
    this._lastCheckMs = nowMs
    this._hasNews = true
    const isSweep = nowMs - this._lastSweepMs >= SWEEP_INTERVAL_MS
    for (const row of this._rows.values()) {
      const silentMs = nowMs - row.heardMs
      const isSilent = silentMs > HOLD_AFTER_MS && row.isUsed
      if (!row.isHeld && isSilent) row.hold(Math.min(nowMs, row.heardMs + ALLOWANCE_GAP_MS))
      if (row.isHeld && silentMs > HOLD_LIFETIME_MS) row.release(nowMs)
      if (isSweep && !row.isHeld) row.removeExpired(nowMs)
    }
    if (isSweep) this._sweep(nowMs)
  }

  /** Removes what is not counted any more. */
  private _sweep (nowMs: number): void {
    this._lastSweepMs = nowMs
    for (const [workspace, total] of this._totals) {
      if (total.count(nowMs) === 0 && total.advances.sum(nowMs) === 0) this._totals.delete(workspace)
    }
    const nodes = new Set(this._options.listNodes())
    for (const [node, row] of this._rows) {
      if (!row.isUsed && !nodes.has(node)) this._rows.delete(node)
    }
  }

  private _total (workspace: string): WorkspaceTotal {
    let total = this._totals.get(workspace)
    if (total === undefined) this._totals.set(workspace, total = new WorkspaceTotal(ADVANCE_STAMP_MS))
    return total
  }
}
