import type { Reason } from '../Types.js'
import { countAnswerBytes, limitAnswerSize } from './AnswerSize.js'
import {
  HOLDER_TOMBSTONE_MS,
  KEY_RETENTION_MS,
  LEDGER_FULL_RETRY_AFTER_MS,
  MAX_ANSWER_BYTES,
  MAX_HOLDER_TOMBSTONES,
  MAX_KEY_LENGTH,
  MAX_RECORDS,
  MAX_REMOVED_PER_COMMAND,
  MAX_RETRY_AFTER_MS,
  MAX_RUN_FOR_MS,
  MAX_TOTAL_ANSWER_BYTES,
  MIN_RETRY_AFTER_MS
} from './Constants.js'
import type {
  LedgerLimits,
  LedgerSnapshot,
  PermitHolder,
  RecordCommand,
  RecordKey,
  RecordReply,
  StoredAnswer,
  StoredRecord
} from './Types.js'

type CommandOf<Type extends RecordCommand['type']> = Extract<RecordCommand, { type: Type }>

type Handlers = {
  readonly [Type in RecordCommand['type']]: (command: CommandOf<Type>, atMs: number) => RecordReply
}

const DEFAULT_LIMITS: LedgerLimits = {
  maxRecords: MAX_RECORDS,
  maxAnswerBytes: MAX_ANSWER_BYTES,
  maxAnswersBytes: MAX_TOTAL_ANSWER_BYTES,
  horizonMs: KEY_RETENTION_MS
}

const RECORDED: RecordReply = { type: 'recorded' }
const UNKNOWN: RecordReply = { type: 'unknown' }
const GRANTED: RecordReply = { type: 'granted' }

/**
 * Grants the permission to run at-most-once requests and stores their outcomes. It is a deterministic state machine
 * that every replica of a group applies in log order.
 *
 * A key is granted to one holder. Only that holder may write the outcome, and only its proof that the upstream did not
 * run the request (`abandon`) lets another holder run the key. Once the run time of a grant has passed without an
 * outcome, the reply for the key is `unknown`. Keys are kept for the retention time (`horizonMs`) after their run time;
 * a full ledger refuses new keys and drops none within the retention time.
 *
 * Memory: at most `maxRecords` records, `maxAnswersBytes` of answers and `MAX_HOLDER_TOMBSTONES` tombstones. All times
 * are group time, see `GroupClock`.
 */
export class IdempotencyLedger {
  private _limits: LedgerLimits
  private _groupTimeMs = 0
  private _answersBytes = 0
  /** In order of their grants. Records are replaced and never changed, so that snapshots may share them. */
  private _records = new Map<string, StoredRecord>()
  /** Holders that may not be granted any more, in the order of their refusal; stored as `spent` in snapshots. */
  private _tombstones = new Map<string, { readonly holder: PermitHolder, readonly atMs: number }>()

  private readonly _handlers: Handlers = {
    begin: (command, atMs) => this._begin(command, atMs),
    finish: (command, atMs) => this._finish(command, atMs),
    lose: (command, atMs) => this._lose(command, atMs),
    abandon: (command, atMs) => this._abandon(command, atMs)
  }

  /**
   * @param limits Limits that replace the defaults; they must be the same on all replicas of a group.
   */
  public constructor (limits: Partial<LedgerLimits> = {}) {
    this._limits = { ...DEFAULT_LIMITS, ...limits }
  }

  /** Number of records. */
  public get size (): number {
    return this._records.size
  }

  /** Size of all stored answers in bytes. */
  public get answersBytes (): number {
    return this._answersBytes
  }

  /** Group time of the last applied entry in milliseconds. */
  public get timeMs (): number {
    return this._groupTimeMs
  }

  /**
   * Applies one committed command and returns the reply for the node that sent it.
   * @param command Command of the log entry.
   * @param atMs Group time of the entry in milliseconds; a time before that of the last entry counts as the latter.
   */
  public apply (command: RecordCommand, atMs: number): RecordReply {
    this._groupTimeMs = Math.max(this._groupTimeMs, atMs)
    this._removeExpired()
    const handler = this._handlers[command.type] as (command: RecordCommand, atMs: number) => RecordReply
    return handler(command, this._groupTimeMs)
  }

  /** Returns the replicated state as plain data that later commands do not change. Records are shared, not copied. */
  public snapshot (): LedgerSnapshot {
    const records = [...this._records.values()]
    return { format: 1, limits: this._limits, atMs: this._groupTimeMs, records, spent: [...this._tombstones.values()] }
  }

  /**
   * Replaces the whole state, including the limits.
   * @param snapshot Result of `snapshot` from this or another replica.
   */
  public restore (snapshot: LedgerSnapshot): void {
    this._limits = snapshot.limits
    this._groupTimeMs = snapshot.atMs
    this._answersBytes = 0
    this._records = new Map()
    for (const stored of snapshot.records) {
      this._records.set(formatRecordKey(stored.record), stored)
      if (stored.answer !== undefined) {
        this._storeAnswer(stored, stored.answer)
      }
    }
    this._tombstones = new Map(snapshot.spent.map((tombstone) => [formatHolder(tombstone.holder), tombstone]))
  }

  private _begin (command: CommandOf<'begin'>, atMs: number): RecordReply {
    const stored = this._records.get(formatRecordKey(command.record))
    const reply = stored === undefined ? this._grant(command, atMs) : this._replyFromRecord(stored, command, atMs)
    if (reply.type !== 'granted' && reply.type !== 'answered') {
      this._addTombstone(command.holder, atMs)
    }
    return reply
  }

  private _grant (command: CommandOf<'begin'>, atMs: number): RecordReply {
    if (this._tombstones.has(formatHolder(command.holder))) {
      return buildRefusal('cancelled', MIN_RETRY_AFTER_MS)
    }
    if (command.record.key.length > MAX_KEY_LENGTH) {
      return buildRefusal('bad-request', 0)
    }
    if (this._records.size >= this._limits.maxRecords) {
      return buildRefusal('records-full', LEDGER_FULL_RETRY_AFTER_MS)
    }
    this._records.set(formatRecordKey(command.record), {
      record: command.record,
      fingerprint: command.fingerprint,
      holder: command.holder,
      state: 'running',
      runUntilMs: atMs + Math.min(Math.max(0, command.runForMs), MAX_RUN_FOR_MS)
    })
    return GRANTED
  }

  private _replyFromRecord (stored: StoredRecord, command: CommandOf<'begin'>, atMs: number): RecordReply {
    if (stored.fingerprint !== command.fingerprint) {
      return buildRefusal('key-reused', 0)
    }
    if (stored.answer !== undefined) {
      return { type: 'answered', answer: stored.answer }
    }
    if (hasHolderRestarted(stored.holder, command.holder)) {
      this._markLost(stored)
      return UNKNOWN
    }
    if (stored.state === 'lost' || atMs >= stored.runUntilMs) {
      return UNKNOWN
    }
    if (isSameHolder(stored.holder, command.holder)) {
      return GRANTED
    }
    const leftMs = stored.runUntilMs - atMs
    const retryAfterMs = Math.min(Math.max(leftMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return { type: 'inProgress', retryAfterMs }
  }

  private _finish (command: CommandOf<'finish'>, _atMs: number): RecordReply {
    const stored = this._findHeldRecord(command)
    if (stored === undefined) {
      return buildRefusal('conflict', 0)
    }
    if (stored.answer === undefined) {
      this._storeAnswer(stored, command.answer)
    }
    return RECORDED
  }

  private _lose (command: CommandOf<'lose'>, _atMs: number): RecordReply {
    const stored = this._findHeldRecord(command)
    if (stored === undefined) {
      return buildRefusal('conflict', 0)
    }
    if (stored.state === 'running') {
      this._markLost(stored)
    }
    return RECORDED
  }

  private _abandon (command: CommandOf<'abandon'>, atMs: number): RecordReply {
    const stored = this._findHeldRecord(command)
    if (stored !== undefined && stored.state !== 'running') {
      return buildRefusal('conflict', 0)
    }
    if (stored !== undefined) {
      this._records.delete(formatRecordKey(command.record))
    }
    this._addTombstone(command.holder, atMs)
    return RECORDED
  }

  private _findHeldRecord (
    command: { readonly record: RecordKey, readonly holder: PermitHolder }
  ): StoredRecord | undefined {
    const stored = this._records.get(formatRecordKey(command.record))
    return stored !== undefined && isSameHolder(stored.holder, command.holder) ? stored : undefined
  }

  private _storeAnswer (stored: StoredRecord, answer: StoredAnswer): void {
    const freeBytes = this._limits.maxAnswersBytes - this._answersBytes
    const kept = limitAnswerSize(answer, Math.min(this._limits.maxAnswerBytes, freeBytes))
    this._records.set(formatRecordKey(stored.record), { ...stored, state: 'answered', answer: kept })
    this._answersBytes += countAnswerBytes(kept)
  }

  private _markLost (stored: StoredRecord): void {
    this._records.set(formatRecordKey(stored.record), { ...stored, state: 'lost' })
  }

  /**
   * A holder that gave up or was refused may have another copy of its `begin` in the network. A late grant of it would
   * block the key, because the holder no longer runs the request.
   */
  private _addTombstone (holder: PermitHolder, atMs: number): void {
    this._tombstones.set(formatHolder(holder), { holder, atMs })
    if (this._tombstones.size > MAX_HOLDER_TOMBSTONES) {
      this._tombstones.delete(this._tombstones.keys().next().value as string)
    }
  }

  /** Records are in the order of their grants, so one with a long run time delays the removal of those after it. */
  private _removeExpired (): void {
    let removed = 0
    for (const [text, stored] of this._records) {
      if (removed >= MAX_REMOVED_PER_COMMAND || stored.runUntilMs + this._limits.horizonMs > this._groupTimeMs) {
        break
      }
      this._records.delete(text)
      this._answersBytes -= stored.answer === undefined ? 0 : countAnswerBytes(stored.answer)
      removed += 1
    }
    for (const [text, tombstone] of this._tombstones) {
      if (tombstone.atMs + HOLDER_TOMBSTONE_MS > this._groupTimeMs) {
        break
      }
      this._tombstones.delete(text)
    }
  }
}

function formatRecordKey (record: RecordKey): string {
  return `${record.service}\n${record.key}`
}

function formatHolder (holder: PermitHolder): string {
  return `${holder.node}\n${holder.incarnation}\n${holder.call}`
}

function isSameHolder (a: PermitHolder, b: PermitHolder): boolean {
  return a.node === b.node && a.incarnation === b.incarnation && a.call === b.call
}

/** True when a later incarnation of the holder's node exists, so the run can't report its outcome any more. */
function hasHolderRestarted (holder: PermitHolder, other: PermitHolder): boolean {
  return holder.node === other.node && holder.incarnation < other.incarnation
}

function buildRefusal (reason: Reason, retryAfterMs: number): RecordReply {
  return { type: 'refused', reason, retryAfterMs }
}
