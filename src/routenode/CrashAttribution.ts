import { CrashDetector } from '../parts/quarantine/CrashDetector.js'
import type { InstanceEvidence } from '../parts/quarantine/Types.js'
import { LOSS_VERDICT_MS } from '../parts/quarantine/Constants.js'
import type { CallId } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { LISTENER_CHECK_DELAY_MS } from './Constants.js'
import type { Quarantine } from './Quarantine.js'
import type { RoutedCall } from './Types.js'

/** What the attribution needs of its node. */
export interface CrashAttributionOptions {
  readonly quarantine: Quarantine
  readonly clock: Clock
  readonly log: Log
  /** Checks whether anything listens at the address of the instance. */
  readonly checkListener: (onResult: (isRefused: boolean) => void) => void
}

/** A call that was sent to the instance. */
interface SentCall {
  readonly requestId: string
  readonly sentAtMs: number
}

/** Most requests that are named in the log line of a crash. */
const MAX_LOGGED_REQUESTS = 16

/**
 * Attributes crashes of the instance on this VM to the calls that it ran. A call whose connection was lost stays in
 * question until it is known whether the instance has crashed.
 *
 * Memory: one entry for each call that runs or is in question.
 */
export class CrashAttribution implements Disposable {
  private readonly _detector = new CrashDetector()
  private readonly _sentCalls = new Map<CallId, SentCall>()
  private readonly _lostCalls = new Set<CallId>()
  /** Instance that the calls were sent to. */
  private _instance = ''
  /** When the first connection was lost that is in question, in monotonic milliseconds. */
  private _lostAtMs = Infinity
  private _checkTimer: NodeJS.Timeout | undefined
  private _expiryTimer: NodeJS.Timeout | undefined

  public constructor (private readonly _options: CrashAttributionOptions) {}

  /** Records that a call was sent to the instance. */
  public recordStart (id: CallId, instance: string, call: RoutedCall): void {
    this._instance = instance
    this._sentCalls.set(id, { requestId: call.requestId, sentAtMs: this._options.clock.nowMs() })
    this._options.quarantine.recordStart(id, instance, call)
  }

  /** Records an answer of the instance. */
  public recordAnswer (id: CallId): void {
    const { sentAtMs } = this._sentCalls.get(id) ?? {}
    this._end(id, true)
    if (sentAtMs !== undefined) this._judge({ type: 'answered', sentAtMs })
  }

  /** Records that a call ended without an answer, for a reason other than the loss of its connection. */
  public recordFailure (id: CallId): void {
    this._end(id, false)
  }

  /** Records that the connection of a call was lost. */
  public recordLoss (id: CallId): void {
    if (!this._sentCalls.has(id)) return
    this._lostCalls.add(id)
    this._lostAtMs = Math.min(this._lostAtMs, this._options.clock.nowMs())
    this._judge({ type: 'lost' })
    this._expiryTimer ??= setTimeout(() => this._onExpiry(), LOSS_VERDICT_MS)
    if (this._checkTimer !== undefined) return
    // The listener may close a moment after the connections.
    this._checkTimer = setTimeout(() => this._checkListener(), LISTENER_CHECK_DELAY_MS)
    this._checkListener()
  }

  /**
   * Records that another incarnation of the instance has started.
   * @param wasReady False when the one before was leaving.
   */
  public recordRestart (wasReady: boolean): void {
    this._judge({ type: 'restarted', wasReady: wasReady && this._sentCalls.size > 0 })
  }

  /** @inheritdoc */
  public dispose (): void {
    clearTimeout(this._checkTimer)
    clearTimeout(this._expiryTimer)
  }

  private _checkListener (): void {
    if (this._detector.isOpen) {
      this._options.checkListener(isRefused => { if (isRefused) this._judge({ type: 'refused' }) })
    }
  }

  private _onExpiry (): void {
    this._judge({ type: 'tick' })
    this._expiryTimer = this._detector.isOpen ? setTimeout(() => this._onExpiry(), LISTENER_CHECK_DELAY_MS) : undefined
  }

  private _judge (evidence: InstanceEvidence): void {
    for (const verdict of this._detector.step(evidence, this._options.clock.nowMs())) {
      const { size: running } = this._sentCalls
      const requests = [...this._sentCalls.values()].slice(0, MAX_LOGGED_REQUESTS).map(({ requestId }) => requestId)
      const fields = { instance: this._instance, evidence: evidence.type, verdict, running, requests }
      this._options.log.info(fields, 'lost connection judged')
      if (verdict === 'crashed') this._blame()
      this._closeQuestion()
    }
  }

  /** Calls that were sent after the loss have not reached the instance that crashed. */
  private _blame (): void {
    for (const [id, { sentAtMs }] of this._sentCalls) {
      if (sentAtMs > this._lostAtMs) this._end(id, false)
    }
    this._options.quarantine.recordCrash(this._instance)
    this._sentCalls.clear()
  }

  private _closeQuestion (): void {
    for (const id of this._lostCalls) this._end(id, false)
    this._lostCalls.clear()
    this._lostAtMs = Infinity
    this.dispose()
    this._checkTimer = undefined
    this._expiryTimer = undefined
  }

  private _end (id: CallId, ran: boolean): void {
    if (this._sentCalls.delete(id)) this._options.quarantine.recordEnd(id, ran)
  }
}
