import type { EvacuationState, ZoneExclusion } from '../parts/evacuation/Types.js'
import { ZoneTraffic } from '../parts/evacuation/ZoneTraffic.js'
import type { Random } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { PartTimer } from '../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { EvacuationUpdate } from './ControlFeed.js'

/** What a `ZoneEvacuation` needs of its node. */
export interface ZoneEvacuationOptions {
  /** Availability zone of this node. */
  readonly zone: string
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

/**
 * Evacuated availability zones as this node applies them: to its choices, and to the gate of the instance on this VM.
 *
 * Memory: that of `ZoneTraffic`.
 */
export class ZoneEvacuation implements Disposable {
  private readonly _traffic = new ZoneTraffic()
  private readonly _gateTimer: PartTimer
  private readonly _gateChangeEmitter = new Emitter<void>()
  private readonly _endEmitter = new Emitter<void>()

  public constructor (private readonly _options: ZoneEvacuationOptions) {
    this._gateTimer = new PartTimer(_options.clock, () => this._onGateTimer())
  }

  /** Fires when the gate of the instance on this VM must close or may open. */
  public readonly onGateChange = this._gateChangeEmitter.event

  /** Fires when the evacuation of this node's zone has ended. */
  public readonly onEnd = this._endEmitter.event

  /** Evacuated zones that this node knows. */
  public get state (): EvacuationState {
    return this._traffic.state
  }

  /** True while the gate of the instance on this VM must admit nothing. */
  public get isGateClosed (): boolean {
    const { zone, clock } = this._options
    return this._traffic.isClosed(zone, clock.nowMs())
  }

  /** Applies what a control replica has sent. */
  public apply ({ evacuation, ageMs }: EvacuationUpdate): void {
    const { zone, clock, log } = this._options
    const wasClosed = this.isGateClosed
    const changes = this._traffic.apply(evacuation, clock.nowMs(), ageMs)
    // Infinity has no form in JSON.
    const loggedAgeMs = Number.isFinite(ageMs) ? ageMs : null
    if (changes !== undefined) log.info({ ...evacuation, ...changes, zone, ageMs: loggedAgeMs }, 'evacuated zones in force')
    this._scheduleGate()
    if (this.isGateClosed !== wasClosed) this._gateChangeEmitter.fire()
    if (changes?.ended.includes(zone) === true) this._endEmitter.fire()
  }

  /** Draws the zones that one choice leaves out; undefined when it may select all of them. */
  public drawExclusion (): ZoneExclusion | undefined {
    return this._traffic.drawExclusion(this._options.random, this._options.clock.nowMs())
  }

  public dispose (): void {
    this._gateTimer.dispose()
  }

  private _onGateTimer (): void {
    // The evacuation may have ended since the timer was set, and a timer may fire slightly early.
    this._scheduleGate()
    if (this.isGateClosed) this._gateChangeEmitter.fire()
  }

  private _scheduleGate (): void {
    const closesAtMs = this._traffic.closesAtMs(this._options.zone)
    if (Number.isFinite(closesAtMs) && !this.isGateClosed) this._gateTimer.wakeAt(closesAtMs)
  }
}
