import { EVACUATION_MS, FAULT_SETTLE_MS, ZONES } from './Constants.js'
import type { SoakLedger } from './SoakLedger.js'
import type { SoakOperator } from './SoakOperator.js'
import type { Fault } from './Types.js'

/** Orders evacuations, one at a time, as the other zone must be able to serve. */
export class SoakEvacuations {
  private _isActive = false

  public constructor (
    private readonly _operator: SoakOperator,
    private readonly _ledger: SoakLedger,
    private readonly _sleep: (ms: number) => Promise<void>
  ) {}

  /** Evacuates one zone for longer than it may take to be empty. */
  public async run ({ pick, forMs }: Fault): Promise<void> {
    if (this._isActive) return
    this._isActive = true
    const zone = ZONES[Math.floor(pick * ZONES.length)] as string
    if (await this._operator.order('Start', zone)) this._ledger.evacuations.recordStart(zone)
    await this._sleep(EVACUATION_MS + forMs)
    this._ledger.evacuations.recordEnd(zone)
    if (!await this._operator.order('End', zone)) {
      this._ledger.recordViolation('accepted-change-kept', `the end of the evacuation of ${zone} was not acknowledged`)
    }
    // A replica that was paused may still handle an attempt that the operator has given up.
    await this._sleep(FAULT_SETTLE_MS)
    this._isActive = false
  }
}
