import { InstanceGate } from '../../src/parts/gate/InstanceGate.js'
import { COLD_BOUND, COLD_WINDOW_MS } from '../../src/parts/gate/Constants.js'
import type { GateEvent } from '../../src/parts/gate/Types.js'
import { ColdMonitor, type ColdSetting } from '../../src/routenode/ColdMonitor.js'
import type { ColdNotice } from '../../src/routenode/ColdHeader.js'
import type { Log } from '../../src/runtime/Types.js'

const SILENT_LOG: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const ADDRESS = '127.0.0.1:1'

/** How the instance of a `ColdVm` behaves. */
export interface ColdVmOptions {
  readonly setting: ColdSetting
  readonly slots: number
  /** Duration of a run, in milliseconds. */
  readonly runMs: number
  /** Returns after how many milliseconds a health check is answered; undefined for no answer within its timeout. */
  readonly checkDelayMs: () => number | undefined
}

/**
 * An instance that may be cold and the gate and the monitor of its node, under the fake timers of vitest. It records
 * what reaches the instance, health checks included.
 */
export class ColdVm {
  /** When requests reached the instance. */
  public readonly arrivalsMs: number[] = []
  /** Health checks among them. */
  public checks = 0
  public started = 0
  public declined = 0
  /** Arrivals in each of the periods in which the instance was cold. */
  private readonly _coldArrivalsMs: number[][] = []
  private _coldUntilMs = -Infinity
  private _id = 1
  private _sequence = 0
  private _bornMs = Date.now()
  private _lastCallId = 0
  /** Calls of the node that runs now. */
  private _running = 0
  private _isConfigured = true
  private _gate = new InstanceGate()
  private _monitor = this._makeMonitor()
  private _tickTimer: NodeJS.Timeout | undefined

  public constructor (private readonly _options: ColdVmOptions) {}

  /** True while the instance is cold. */
  public get isCold (): boolean {
    return this._coldMs() > 0
  }

  /** Makes the instance cold for some time, or for longer. */
  public becomeCold (ms: number): void {
    if (!this.isCold) this._coldArrivalsMs.push([])
    this._coldUntilMs = Math.max(this._coldUntilMs, Date.now() + ms)
  }

  /** Starts the instance anew; its node learns of that by a report. */
  public restartInstance (): void {
    this._id++
    this._sequence = 0
    this._bornMs = Date.now()
    this.becomeCold(this._options.setting.startMs ?? 0)
  }

  /** Starts the node anew, which then knows nothing and has no configuration for a while. */
  public restartNode (unconfiguredMs = 0): void {
    this._monitor.dispose()
    clearTimeout(this._tickTimer)
    this._gate = new InstanceGate()
    const monitor = this._makeMonitor()
    this._monitor = monitor
    this._running = 0
    this._isConfigured = false
    setTimeout(() => {
      if (this._monitor === monitor) this._isConfigured = true
      monitor.apply()
    }, unconfiguredMs)
  }

  /** Sends a report, which arrives after `delayMs`. */
  public report (delayMs: number): void {
    const sequence = ++this._sequence
    const { slots } = this._options
    const report = {
      id: `i-${this._id}`, bornMs: this._bornMs, sequence, service: 's', address: ADDRESS, slots, state: 'ready', coldMs: this._coldMs()
    } as const
    setTimeout(() => {
      // The registry drops the reports of an earlier incarnation.
      if (report.id !== `i-${this._id}`) return
      this._monitor.recordReport(report)
      this._step(this._gate, { type: 'slots', slots })
    }, delayMs)
  }

  /** Takes the instance as cold, as after an evacuation. */
  public assumeCold (): void {
    this._monitor.assumeCold()
  }

  /** Offers a call to the gate. */
  public offer (): void {
    const nowMs = Date.now()
    const call = {
      id: ++this._lastCallId,
      work: 'w',
      nested: false,
      requestRank: 0,
      priority: 1,
      objectiveAtMs: nowMs + 300,
      deadlineAtMs: nowMs + 2000,
      moveMs: undefined,
      isHedge: false
    }
    const { perS = 0 } = this._options.setting
    if (perS > 0) this._monitor.recordToldLimit(perS)
    this._step(this._gate, { type: 'offer', call })
  }

  /** Sends a running call once more, if the gate allows it. */
  public resend (): void {
    if (this._running === 0 || !this._gate.mayResend(Date.now())) return
    this._arrive()
    this._step(this._gate, { type: 'resent' })
  }

  /** Returns by how many requests the bound was exceeded in the worst second in which the instance was cold. */
  public worstExcess (): number {
    const { perS = 0 } = this._options.setting
    return Math.max(-Infinity, ...this._coldArrivalsMs.flatMap(times => times.map((ms, index) => {
      const first = times.findIndex(other => other > ms - COLD_WINDOW_MS)
      return index - first + 1 - COLD_BOUND.ratio * perS - COLD_BOUND.slack
    })))
  }

  private _arrive (): void {
    const nowMs = Date.now()
    this.arrivalsMs.push(nowMs)
    if (this.isCold) this._coldArrivalsMs.at(-1)?.push(nowMs)
  }

  private _coldMs (): number {
    return Math.max(0, this._coldUntilMs - Date.now())
  }

  private _makeMonitor (): ColdMonitor {
    const gate = this._gate
    return new ColdMonitor({
      clock: { nowMs: () => Date.now(), wallMs: () => Date.now() },
      log: SILENT_LOG,
      findSetting: () => this._isConfigured ? this._options.setting : undefined,
      takeProbe: () => gate.takeProbe(Date.now()),
      checkHealth: onResult => this._checkHealth(onResult),
      step: event => this._step(gate, event)
    })
  }

  private _checkHealth (onResult: (notice: ColdNotice | undefined) => void): void {
    this._arrive()
    this.checks++
    const notice = { instance: `i-${this._id}`, header: String(this._coldMs()) }
    const delayMs = this._options.checkDelayMs()
    setTimeout(() => onResult(delayMs === undefined ? undefined : notice), delayMs ?? 100)
  }

  private _step (gate: InstanceGate, event: GateEvent): void {
    // The process of the node that had this gate has ended.
    if (gate !== this._gate) return
    for (const action of gate.step(event, Date.now())) {
      if (action.type === 'start') this._run(gate, action.call.id)
      if (action.type === 'decline') this.declined++
      if (action.type === 'checkCold') this._monitor.check(action.ticket)
      if (action.type === 'wake') this._tickTimer = setTimeout(() => this._step(gate, { type: 'tick' }), Math.max(0, action.atMs - Date.now()))
    }
  }

  private _run (gate: InstanceGate, id: number): void {
    this.started++
    this._running++
    this._arrive()
    setTimeout(() => {
      if (gate === this._gate) this._running--
      this._step(gate, { type: 'finished', id, workMs: this._options.runMs })
    }, this._options.runMs)
  }
}
