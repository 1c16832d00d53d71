import { isSameIncarnation } from './InstanceRegistry.js'
import type { InstanceIncarnation } from './Types.js'

/** Who said last whether an instance is cold; `assumed` before anyone did. */
export type ColdSource = 'assumed' | 'report' | 'health'

/**
 * Time by which a report may exceed the cold time of a health check without being newer, in milliseconds: a report that
 * was under way for that long names a cold time that counts from when it was sent.
 */
const REPORT_DELAY_MS = 250

/** Time within which an instance is found by the answer that it has given, in milliseconds. */
const EARLY_ANSWER_VALID_MS = 50

/** What was said last. */
interface Statement {
  readonly source: 'report' | 'health'
  /** When the instance is warm again, in monotonic milliseconds; in the past for a warm instance. */
  readonly coldUntilMs: number
}

/** An answer to a health check of an instance that is not known here yet. */
interface EarlyAnswer {
  readonly instance: string
  readonly coldMs: number
  readonly answeredAtMs: number
}

/**
 * What is known of the cold state of the instance beside a node. Nothing is known of an instance that has just been
 * found, nor of any after a restart of the node: it is assumed cold for the time that its service takes from a start.
 *
 * Reports are under way for an unknown time, so a report that tells of no cold time proves nothing about now: it ends
 * an assumption, but not the cold time that a health check has told. An answer to a health check was given after the
 * check was sent, so it proves the instance warm if nothing has told since then that it is cold.
 *
 * Memory: a few numbers.
 */
export class ColdState {
  private _instance: InstanceIncarnation | undefined
  private _statement: Statement | undefined
  /** Since when the state is assumed unless there is a statement. */
  private _assumedAtMs = 0
  /** When the instance was found or last told or assumed to be cold. Earlier checks do not prove it warm. */
  private _coldEvidenceAtMs = -Infinity
  private _earlyAnswer: EarlyAnswer | undefined

  /** Where the current knowledge comes from. */
  public get source (): ColdSource {
    return this._statement?.source ?? 'assumed'
  }

  /**
   * Sets the instance beside the node.
   * @param instance Undefined while it is unknown.
   * @param nowMs Monotonic time in milliseconds.
   */
  public setInstance (instance: InstanceIncarnation | undefined, nowMs: number): void {
    if (instance === undefined || isSameIncarnation(this._instance, instance)) return
    this._instance = instance
    this.assumeCold(nowMs)
    const early = this._earlyAnswer
    this._earlyAnswer = undefined
    if (early?.instance !== instance.id || nowMs - early.answeredAtMs > EARLY_ANSWER_VALID_MS) return
    this._statement = { source: 'health', coldUntilMs: early.answeredAtMs + early.coldMs }
  }

  /** Discards what is known: the instance may have become cold. */
  public assumeCold (nowMs: number): void {
    this._statement = undefined
    this._assumedAtMs = nowMs
    this._coldEvidenceAtMs = nowMs
  }

  /**
   * Records a report of the instance.
   * @param coldMs How long it stays cold, in milliseconds; 0 when it is warm.
   * @param nowMs When the report was received.
   */
  public recordReport (coldMs: number, nowMs: number): void {
    const known = this._statement
    const coldUntilMs = nowMs + coldMs
    const isKnownCold = known?.source === 'health' && known.coldUntilMs > nowMs
    if (isKnownCold && coldUntilMs <= known.coldUntilMs + REPORT_DELAY_MS) return
    this._statement = { source: 'report', coldUntilMs }
    if (coldMs > 0) this._coldEvidenceAtMs = nowMs
  }

  /**
   * Records an answer to a health check.
   * @param instance Id of the instance that has answered.
   * @param coldMs How long it stays cold, in milliseconds; 0 when it is warm.
   * @param askedAtMs When the check was sent.
   * @param nowMs When it was answered.
   * @returns True when this proves that the instance was warm after `askedAtMs`.
   */
  public recordHealth (instance: string, coldMs: number, askedAtMs: number, nowMs: number): boolean {
    if (instance !== this._instance?.id) {
      this._earlyAnswer = { instance, coldMs, answeredAtMs: nowMs }
      return false
    }
    if (coldMs === 0 && askedAtMs <= this._coldEvidenceAtMs) return false
    const known = this._statement?.coldUntilMs ?? -Infinity
    // An answer to an earlier check may be older than what is known, so the later end of the cold time counts.
    const isOlder = askedAtMs <= this._coldEvidenceAtMs && this._statement !== undefined
    const coldUntilMs = isOlder ? Math.max(known, nowMs + coldMs) : nowMs + coldMs
    this._statement = { source: 'health', coldUntilMs }
    if (coldMs > 0) this._coldEvidenceAtMs = nowMs
    return coldMs === 0
  }

  /**
   * Returns until when the instance is taken as cold, in monotonic milliseconds; in the past when it is warm.
   * @param startMs How long an instance of its service is cold after a start, in milliseconds.
   */
  public coldUntilMs (startMs: number): number {
    return this._statement?.coldUntilMs ?? this._assumedAtMs + startMs
  }
}
