import type { Reason } from '../Types.js'
import { answerBytes, fitAnswer } from './AnswerStore.js'
import {
  SPENT_HOLDER_MS,
  FULL_RETRY_AFTER_MS,
  HORIZON_MS,
  MAX_SPENT_HOLDERS,
  MAX_ANSWERS_BYTES,
  MAX_ANSWER_BYTES,
  MAX_KEY_LENGTH,
  MAX_RECORDS,
  MAX_REMOVED_PER_COMMAND,
  MAX_RETRY_AFTER_MS,
  MAX_RUN_FOR_MS,
  MIN_RETRY_AFTER_MS
} from './Constants.js'
import type {
  Holder,
  LedgerLimits,
  LedgerSnapshot,
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

const DEFAULTS: LedgerLimits = {
  maxRecords: MAX_RECORDS,
  maxAnswerBytes: MAX_ANSWER_BYTES,
  maxAnswersBytes: MAX_ANSWERS_BYTES,
  horizonMs: HORIZON_MS
}

const RECORDED: RecordReply = { type: 'recorded' }
const UNKNOWN: RecordReply = { type: 'unknown' }
const GRANTED: RecordReply = { type: 'granted' }

/**
 * Permissions to run guarded requests and their outcomes, as a deterministic state machine that every replica of a
 * group applies in log order.
 *
 * A key is granted to one holder. Only that holder may write its outcome, and only its proof that the upstream
 * never saw the request (`abandon`) lets another holder run the key. A grant whose run time passes without an
 * outcome is answered `unknown` from then on. Keys are kept for `horizonMs` after their run time; a full ledger
 * refuses new keys and forgets none inside the horizon.
 *
 * Memory: at most `maxRecords` records, `maxAnswersBytes` of answers and `MAX_SPENT_HOLDERS` holders. Time is group
 * time, see `GroupClock`.
 */
export class IdempotencyLedger {
  private _limits: LedgerLimits
  private _atMs = 0
  private _bytes = 0
  /** Records are replaced, never changed, so that a snapshot may share them. */
  private _records = new Map<string, StoredRecord>()
  private _spent = new Map<string, { readonly holder: Holder, readonly atMs: number }>()

  private readonly _handlers: Handlers = {
    begin: (command, atMs) => this._begin(command, atMs),
    finish: (command, atMs) => this._finish(command, atMs),
    lose: (command, atMs) => this._lose(command, atMs),
    abandon: (command, atMs) => this._abandon(command, atMs)
  }

  /**
   * @param limits Limits that replace the defaults; the same on all replicas of a group.
   */
  public constructor (limits: Partial<LedgerLimits> = {}) {
    this._limits = { ...DEFAULTS, ...limits }
  }

  /** Records kept now. */
  public get size (): number {
    return this._records.size
  }

  /** Bytes of the answers kept now. */
  public get answersBytes (): number {
    return this._bytes
  }

  /** Group time of the last applied entry in milliseconds. */
  public get timeMs (): number {
    return this._atMs
  }

  /**
   * Applies one committed command and returns the reply for the node that sent it.
   * @param command Command as it stands in the log entry.
   * @param atMs Group time of the entry in milliseconds; an earlier time than the last one counts as the last one.
   */
  public apply (command: RecordCommand, atMs: number): RecordReply {
    this._atMs = Math.max(this._atMs, atMs)
    this._removeExpired()
    const handler = this._handlers[command.type] as (command: RecordCommand, atMs: number) => RecordReply
    return handler(command, this._atMs)
  }

  /** Returns the replicated state as plain data that later commands do not change; takes no copies. */
  public snapshot (): LedgerSnapshot {
    const records = [...this._records.values()]
    return { format: 1, limits: this._limits, atMs: this._atMs, records, spent: [...this._spent.values()] }
  }

  /**
   * Replaces the whole state, with its limits.
   * @param snapshot State from `snapshot`, of this or another replica.
   */
  public restore (snapshot: LedgerSnapshot): void {
    this._limits = snapshot.limits
    this._atMs = snapshot.atMs
    this._bytes = 0
    this._records = new Map()
    for (const stored of snapshot.records) {
      this._records.set(textOf(stored.record), stored)
      if (stored.answer !== undefined) {
        this._keepAnswer(stored, stored.answer)
      }
    }
    this._spent = new Map(snapshot.spent.map((entry) => [holderText(entry.holder), entry]))
  }

  private _begin (command: CommandOf<'begin'>, atMs: number): RecordReply {
    const entry = this._records.get(textOf(command.record))
    const reply = entry === undefined ? this._grant(command, atMs) : this._repeat(entry, command, atMs)
    if (reply.type !== 'granted' && reply.type !== 'answered') {
      this._noteSpent(command.holder, atMs)
    }
    return reply
  }

  private _grant (command: CommandOf<'begin'>, atMs: number): RecordReply {
    if (this._spent.has(holderText(command.holder))) {
      return refused('cancelled', MIN_RETRY_AFTER_MS)
    }
    if (command.record.key.length > MAX_KEY_LENGTH) {
      return refused('bad-request', 0)
    }
    if (this._records.size >= this._limits.maxRecords) {
      return refused('records-full', FULL_RETRY_AFTER_MS)
    }
    this._records.set(textOf(command.record), {
      record: command.record,
      fingerprint: command.fingerprint,
      holder: command.holder,
      state: 'running',
      runUntilMs: atMs + Math.min(Math.max(0, command.runForMs), MAX_RUN_FOR_MS)
    })
    return GRANTED
  }

  private _repeat (entry: StoredRecord, command: CommandOf<'begin'>, atMs: number): RecordReply {
    if (entry.fingerprint !== command.fingerprint) {
      return refused('key-reused', 0)
    }
    if (entry.answer !== undefined) {
      return { type: 'answered', answer: entry.answer }
    }
    if (holderRestarted(entry.holder, command.holder)) {
      this._markLost(entry)
      return UNKNOWN
    }
    if (entry.state === 'lost' || atMs >= entry.runUntilMs) {
      return UNKNOWN
    }
    if (sameHolder(entry.holder, command.holder)) {
      return GRANTED
    }
    const leftMs = entry.runUntilMs - atMs
    const retryAfterMs = Math.min(Math.max(leftMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return { type: 'inProgress', retryAfterMs }
  }

  private _finish (command: CommandOf<'finish'>, _atMs: number): RecordReply {
    const entry = this._heldBy(command)
    if (entry === undefined) {
      return refused('conflict', 0)
    }
    if (entry.answer === undefined) {
      this._keepAnswer(entry, command.answer)
    }
    return RECORDED
  }

  private _lose (command: CommandOf<'lose'>, _atMs: number): RecordReply {
    const entry = this._heldBy(command)
    if (entry === undefined) {
      return refused('conflict', 0)
    }
    if (entry.state === 'running') {
      this._markLost(entry)
    }
    return RECORDED
  }

  private _abandon (command: CommandOf<'abandon'>, atMs: number): RecordReply {
    const entry = this._heldBy(command)
    if (entry !== undefined && entry.state !== 'running') {
      return refused('conflict', 0)
    }
    if (entry !== undefined) {
      this._records.delete(textOf(command.record))
    }
    this._noteSpent(command.holder, atMs)
    return RECORDED
  }

  private _heldBy (command: { readonly record: RecordKey, readonly holder: Holder }): StoredRecord | undefined {
    const entry = this._records.get(textOf(command.record))
    return entry !== undefined && sameHolder(entry.holder, command.holder) ? entry : undefined
  }

  private _keepAnswer (entry: StoredRecord, answer: StoredAnswer): void {
    const room = this._limits.maxAnswersBytes - this._bytes
    const kept = fitAnswer(answer, Math.min(this._limits.maxAnswerBytes, room))
    this._records.set(textOf(entry.record), { ...entry, state: 'answered', answer: kept })
    this._bytes += answerBytes(kept)
  }

  private _markLost (entry: StoredRecord): void {
    this._records.set(textOf(entry.record), { ...entry, state: 'lost' })
  }

  /** A holder that gave up or was refused may have another `begin` under way, which nobody would act on. */
  private _noteSpent (holder: Holder, atMs: number): void {
    this._spent.set(holderText(holder), { holder, atMs })
    if (this._spent.size > MAX_SPENT_HOLDERS) {
      this._spent.delete(this._spent.keys().next().value as string)
    }
  }

  /** Records stand in the order of their grants; one with a longer run time keeps later ones a little longer. */
  private _removeExpired (): void {
    let removed = 0
    for (const [text, entry] of this._records) {
      if (removed >= MAX_REMOVED_PER_COMMAND || entry.runUntilMs + this._limits.horizonMs > this._atMs) {
        break
      }
      this._records.delete(text)
      this._bytes -= entry.answer === undefined ? 0 : answerBytes(entry.answer)
      removed += 1
    }
    for (const [text, entry] of this._spent) {
      if (entry.atMs + SPENT_HOLDER_MS > this._atMs) {
        break
      }
      this._spent.delete(text)
    }
  }
}

function textOf (record: RecordKey): string {
  return `${record.service}\n${record.key}`
}

function holderText (holder: Holder): string {
  return `${holder.node}\n${holder.incarnation}\n${holder.call}`
}

function sameHolder (a: Holder, b: Holder): boolean {
  return a.node === b.node && a.incarnation === b.incarnation && a.call === b.call
}

/** A later incarnation of the holder's node proves that the run can't report its outcome any more. */
function holderRestarted (holder: Holder, other: Holder): boolean {
  return holder.node === other.node && holder.incarnation < other.incarnation
}

function refused (reason: Reason, retryAfterMs: number): RecordReply {
  return { type: 'refused', reason, retryAfterMs }
}
