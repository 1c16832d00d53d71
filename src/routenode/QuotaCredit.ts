import type { QuotaHost, QuotaRefusal } from './QuotaHost.js'
import type { GatewayRequest } from './Types.js'

/** The credit of one request: it is asked for before the first attempt, and given back at most once. */
export class QuotaCredit {
  /** Id of the request while it waits. */
  private _waitingId: number | undefined
  /** When the request was admitted; undefined before, and without a quota. */
  private _admittedAtMs: number | undefined
  private _isEnded = false

  public constructor (private readonly _host: QuotaHost, private readonly _request: GatewayRequest) {}

  /**
   * Takes the credit; a request whose workspace has no quota needs none.
   * @param onAdmitted Called when the request may be sent.
   * @param onRefused Called when it must not be sent.
   */
  public request (onAdmitted: () => void, onRefused: (refusal: QuotaRefusal) => void): void {
    if (this._request.workspace?.quota === undefined) return onAdmitted()
    const id = this._host.ask(this._request, {
      onAdmitted: atMs => {
        this._waitingId = undefined
        this._admittedAtMs = atMs
        onAdmitted()
      },
      onRefused: refusal => {
        this._isEnded = true
        onRefused(refusal)
      }
    })
    if (this._admittedAtMs === undefined && !this._isEnded) this._waitingId = id
  }

  /**
   * The request has ended.
   * @param hasNotRun True when it is proved not to have run.
   */
  public end (hasNotRun: boolean): void {
    if (this._isEnded) return
    this._isEnded = true
    const { workspace } = this._request
    if (this._waitingId !== undefined) this._host.cancel(this._waitingId)
    else if (hasNotRun && this._admittedAtMs !== undefined) this._host.giveBack(workspace!.name, this._admittedAtMs)
  }
}
