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
  private limits: LedgerLimits
  private atMs = 0
  private bytes = 0
  /** Records are replaced, never changed, so that a snapshot may share them. */
  private records = new Map<string, StoredRecord>()
  private spent = new Map<string, { readonly holder: Holder, readonly atMs: number }>()

  private readonly handlers: Handlers = {
    begin: (command, atMs) => this.begin(command, atMs),
    finish: (command, atMs) => this.finish(command, atMs),
    lose: (command, atMs) => this.lose(command, atMs),
    abandon: (command, atMs) => this.abandon(command, atMs)
  }

  /**
   * @param limits Limits that replace the defaults; the same on all replicas of a group.
   */
  public constructor (limits: Partial<LedgerLimits> = {}) {
    this.limits = { ...DEFAULTS, ...limits }
  }

  /** Records kept now. */
  public get size (): number {
    return this.records.size
  }

  /** Bytes of the answers kept now. */
  public get answersBytes (): number {
    return this.bytes
  }

  /** Group time of the last applied entry in milliseconds. */
  public get timeMs (): number {
    return this.atMs
  }

  /**
   * Applies one committed command and returns the reply for the node that sent it.
   * @param command Command as it stands in the log entry.
   * @param atMs Group time of the entry in milliseconds; an earlier time than the last one counts as the last one.
   */
  public apply (command: RecordCommand, atMs: number): RecordReply {
    this.atMs = Math.max(this.atMs, atMs)
    this.removeExpired()
    const handler = this.handlers[command.type] as (command: RecordCommand, atMs: number) => RecordReply
    return handler(command, this.atMs)
  }

  /** Returns the replicated state as plain data that later commands do not change; takes no copies. */
  public snapshot (): LedgerSnapshot {
    const records = [...this.records.values()]
    return { format: 1, limits: this.limits, atMs: this.atMs, records, spent: [...this.spent.values()] }
  }

  /**
   * Replaces the whole state, with its limits.
   * @param snapshot State from `snapshot`, of this or another replica.
   */
  public restore (snapshot: LedgerSnapshot): void {
    this.limits = snapshot.limits
    this.atMs = snapshot.atMs
    this.bytes = 0
    this.records = new Map()
    for (const stored of snapshot.records) {
      this.records.set(textOf(stored.record), stored)
      if (stored.answer !== undefined) {
        this.keepAnswer(stored, stored.answer)
      }
    }
    this.spent = new Map(snapshot.spent.map((entry) => [holderText(entry.holder), entry]))
  }

  private begin (command: CommandOf<'begin'>, atMs: number): RecordReply {
    const entry = this.records.get(textOf(command.record))
    const reply = entry === undefined ? this.grant(command, atMs) : this.repeat(entry, command, atMs)
    if (reply.type !== 'granted' && reply.type !== 'answered') {
      this.noteSpent(command.holder, atMs)
    }
    return reply
  }

  private grant (command: CommandOf<'begin'>, atMs: number): RecordReply {
    if (this.spent.has(holderText(command.holder))) {
      return refused('cancelled', MIN_RETRY_AFTER_MS)
    }
    if (command.record.key.length > MAX_KEY_LENGTH) {
      return refused('bad-request', 0)
    }
    if (this.records.size >= this.limits.maxRecords) {
      return refused('records-full', FULL_RETRY_AFTER_MS)
    }
    this.records.set(textOf(command.record), {
      record: command.record,
      fingerprint: command.fingerprint,
      holder: command.holder,
      state: 'running',
      runUntilMs: atMs + Math.min(Math.max(0, command.runForMs), MAX_RUN_FOR_MS)
    })
    return GRANTED
  }

  private repeat (entry: StoredRecord, command: CommandOf<'begin'>, atMs: number): RecordReply {
    if (entry.fingerprint !== command.fingerprint) {
      return refused('key-reused', 0)
    }
    if (entry.answer !== undefined) {
      return { type: 'answered', answer: entry.answer }
    }
    if (holderRestarted(entry.holder, command.holder)) {
      this.markLost(entry)
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

  private finish (command: CommandOf<'finish'>, _atMs: number): RecordReply {
    const entry = this.heldBy(command)
    if (entry === undefined) {
      return refused('conflict', 0)
    }
    if (entry.answer === undefined) {
      this.keepAnswer(entry, command.answer)
    }
    return RECORDED
  }

  private lose (command: CommandOf<'lose'>, _atMs: number): RecordReply {
    const entry = this.heldBy(command)
    if (entry === undefined) {
      return refused('conflict', 0)
    }
    if (entry.state === 'running') {
      this.markLost(entry)
    }
    return RECORDED
  }

  private abandon (command: CommandOf<'abandon'>, atMs: number): RecordReply {
    const entry = this.heldBy(command)
    if (entry !== undefined && entry.state !== 'running') {
      return refused('conflict', 0)
    }
    if (entry !== undefined) {
      this.records.delete(textOf(command.record))
    }
    this.noteSpent(command.holder, atMs)
    return RECORDED
  }

  private heldBy (command: { readonly record: RecordKey, readonly holder: Holder }): StoredRecord | undefined {
    const entry = this.records.get(textOf(command.record))
    return entry !== undefined && sameHolder(entry.holder, command.holder) ? entry : undefined
  }

  private keepAnswer (entry: StoredRecord, answer: StoredAnswer): void {
    const room = this.limits.maxAnswersBytes - this.bytes
    const kept = fitAnswer(answer, Math.min(this.limits.maxAnswerBytes, room))
    this.records.set(textOf(entry.record), { ...entry, state: 'answered', answer: kept })
    this.bytes += answerBytes(kept)
  }

  private markLost (entry: StoredRecord): void {
    this.records.set(textOf(entry.record), { ...entry, state: 'lost' })
  }

  /** A holder that gave up or was refused may have another `begin` under way, which nobody would act on. */
  private noteSpent (holder: Holder, atMs: number): void {
    this.spent.set(holderText(holder), { holder, atMs })
    if (this.spent.size > MAX_SPENT_HOLDERS) {
      this.spent.delete(this.spent.keys().next().value as string)
    }
  }

  /** Records stand in the order of their grants; one with a longer run time keeps later ones a little longer. */
  private removeExpired (): void {
    let removed = 0
    for (const [text, entry] of this.records) {
      if (removed >= MAX_REMOVED_PER_COMMAND || entry.runUntilMs + this.limits.horizonMs > this.atMs) {
        break
      }
      this.records.delete(text)
      this.bytes -= entry.answer === undefined ? 0 : answerBytes(entry.answer)
      removed += 1
    }
    for (const [text, entry] of this.spent) {
      if (entry.atMs + SPENT_HOLDER_MS > this.atMs) {
        break
      }
      this.spent.delete(text)
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
