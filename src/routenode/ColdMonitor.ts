import type { ColdTicket } from '../parts/gate/ColdLimit.js'
import type { GateEvent } from '../parts/gate/Types.js'
import { ColdState } from '../parts/instances/ColdState.js'
import type { InstanceReport } from '../parts/instances/Types.js'
import { PartTimer } from '../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { type ColdNotice, parseColdMs } from './ColdHeader.js'
import { COLD_STATE_CHECK_INTERVAL_MS } from './Constants.js'

/** Limit that the configuration sets for the cold instances of a service. */
export interface ColdSetting {
  /** Requests a second that an instance tolerates while it is cold; undefined or 0 for no limit. */
  readonly perS: number | undefined
  /** How long it is cold after a start, in milliseconds; undefined where the operator does not say. */
  readonly startMs: number | undefined
}

/** What the monitor needs of the proxy. */
export interface ColdMonitorOptions {
  readonly clock: Clock
  readonly log: Log
  /** Returns the setting for the service of the instance; undefined while no configuration names the service. */
  readonly findSetting: () => ColdSetting | undefined
  /** See `InstanceGate.takeProbe`. */
  readonly takeProbe: () => ColdTicket | undefined
  /** Checks the health of the instance; `onResult` is called once, with undefined when no answer comes in time. */
  readonly checkHealth: (onResult: (notice: ColdNotice | undefined) => void) => void
  readonly step: (event: GateEvent) => void
}

/** A health check or load query that is under way. */
export interface ColdProbe {
  readonly ticket: ColdTicket
  readonly askedAtMs: number
}

/** Figures for the metrics. */
export interface ColdFigures {
  /** How long the instance stays cold as known, in milliseconds; 0 when it is warm or its service has no limit. */
  readonly coldForMs: number
  /** Checks sent to learn the cold state. */
  readonly checks: number
  /** Calls declined because of a limit on requests. */
  readonly declined: number
}

/**
 * Learns whether the instance beside this node is cold, from its reports and its answers to health checks, and sets the
 * limit of the gate. It checks the instance's health as often as the gate requests it, and while it is taken as cold
 * because of an assumption or a report. It does nothing for a service without a limit for cold instances.
 *
 * Memory: see `ColdState`.
 */
export class ColdMonitor implements Disposable {
  private readonly _state = new ColdState()
  private readonly _timer: PartTimer
  private _instance: string | undefined
  /** Limit that a caller's node has told, which counts until there is a configuration. */
  private _toldPerS: number | undefined
  private _appliedPerS: number | undefined
  private _appliedUntilMs = -Infinity
  private _wasCold = false
  private _isChecking = false
  private _nextCheckAtMs = -Infinity
  private _checks = 0
  private _declined = 0
  private _isDisposed = false

  public constructor (private readonly _options: ColdMonitorOptions) {
    this._timer = new PartTimer(_options.clock, () => this.apply())
  }

  /** True while the instance is taken as cold and its service has a limit. */
  public get isCold (): boolean {
    return this._appliedPerS !== undefined && this._appliedUntilMs > this._options.clock.nowMs()
  }

  /** Figures for the metrics. */
  public get figures (): ColdFigures {
    const coldForMs = this.isCold ? this._appliedUntilMs - this._options.clock.nowMs() : 0
    return { coldForMs, checks: this._checks, declined: this._declined }
  }

  /** Counts a call that was declined because of a limit on requests. */
  public countDecline (): void {
    this._declined++
  }

  /**
   * Records a description of the instance, also one that the node has made up itself: those have a negative sequence
   * and say nothing of the cold state.
   */
  public recordReport (report: InstanceReport): void {
    const nowMs = this._options.clock.nowMs()
    this._instance = report.id
    this._state.setInstance(report, nowMs)
    if (report.sequence >= 0) this._state.recordReport(report.coldMs, nowMs)
    this.apply()
  }

  /** Records the limit that a caller's node has told; a restarted node gets calls before its configuration. */
  public recordToldLimit (perS: number): void {
    if (perS === this._toldPerS) return
    this._toldPerS = perS
    this.apply()
  }

  /** Takes the instance as cold until it says otherwise. */
  public assumeCold (): void {
    this._state.assumeCold(this._options.clock.nowMs())
    this.apply()
  }

  /** Starts a health check or load query; undefined when the limit does not allow one now. */
  public startProbe (): ColdProbe | undefined {
    const ticket = this._options.takeProbe()
    return ticket === undefined ? undefined : { ticket, askedAtMs: this._options.clock.nowMs() }
  }

  /**
   * Records the end of a health check or load query.
   * @param notice What its answer says; undefined without an answer.
   */
  public endProbe ({ ticket, askedAtMs }: ColdProbe, notice: ColdNotice | undefined): void {
    const isWarm = notice !== undefined && this._read(notice, askedAtMs)
    this.apply()
    if (this._appliedPerS !== undefined && !this._isDisposed) this._options.step({ type: 'probed', ticket, isWarm })
  }

  /** Checks the health of the instance by a probe that the gate has taken. */
  public check (ticket: ColdTicket): void {
    this._checks++
    const probe = { ticket, askedAtMs: this._options.clock.nowMs() }
    this._options.checkHealth(notice => this.endProbe(probe, notice))
  }

  /** Applies what is known to the gate; to be called also when the configuration has changed. */
  public apply (): void {
    if (this._isDisposed) return
    const { perS, startMs } = this._findSetting()
    const coldUntilMs = perS === undefined ? -Infinity : this._state.coldUntilMs(startMs)
    if (perS !== this._appliedPerS || coldUntilMs !== this._appliedUntilMs) {
      this._appliedPerS = perS
      this._appliedUntilMs = coldUntilMs
      this._options.step({ type: 'coldLimit', perS, coldUntilMs })
    }
    this._logChange()
    if (this.isCold) this._watch()
  }

  /** @inheritdoc */
  public dispose (): void {
    this._isDisposed = true
    this._timer.dispose()
  }

  private _findSetting (): { perS: number | undefined, startMs: number } {
    const setting = this._options.findSetting()
    const perS = setting === undefined ? this._toldPerS : setting.perS
    // Without a configuration it is not known how long a start takes.
    const startMs = setting === undefined ? Infinity : setting.startMs ?? 0
    return { perS: perS === 0 ? undefined : perS, startMs }
  }

  private _logChange (): void {
    const { isCold } = this
    if (isCold === this._wasCold) return
    this._wasCold = isCold
    const forMs = Math.round(Math.max(0, this._appliedUntilMs - this._options.clock.nowMs()))
    const fields = { instance: this._instance, isCold, perS: this._appliedPerS, source: this._state.source }
    this._options.log.info(isCold && Number.isFinite(forMs) ? { ...fields, forMs } : fields, 'cold state changed')
  }

  /** Wakes when the cold time ends, and checks the health until the instance itself has told how long that is. */
  private _watch (): void {
    const nowMs = this._options.clock.nowMs()
    if (Number.isFinite(this._appliedUntilMs)) this._timer.wakeAt(this._appliedUntilMs)
    if (this._state.source === 'health' || this._isChecking || this._instance === undefined) return
    if (nowMs < this._nextCheckAtMs) return this._timer.wakeAt(this._nextCheckAtMs)
    this._nextCheckAtMs = nowMs + COLD_STATE_CHECK_INTERVAL_MS
    const probe = this.startProbe()
    if (probe === undefined) return this._timer.wakeAt(this._nextCheckAtMs)
    this._checks++
    this._isChecking = true
    this._options.checkHealth(notice => {
      this._isChecking = false
      this.endProbe(probe, notice)
    })
  }

  /** Returns whether the answer proves that the instance was warm after the question. */
  private _read ({ instance, header }: ColdNotice, askedAtMs: number): boolean {
    if (instance === undefined) return false
    // Without the header, only what the instance has said before counts.
    const coldMs = header === undefined ? (this.isCold ? undefined : 0) : parseColdMs(header)
    if (coldMs !== undefined) return this._state.recordHealth(instance, coldMs, askedAtMs, this._options.clock.nowMs())
    if (header !== undefined) this._options.log.warn({ instance, header }, 'cold time is malformed, what is known stays')
    return false
  }
}
