import { DepartureTable } from '../parts/instances/DepartureTable.js'
import type { Departure, InstanceIncarnation } from '../parts/instances/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { DEPARTURE_RESEND_INTERVAL_MS } from './Constants.js'

/** What the outbox needs of its node. */
export interface DepartureOutboxOptions {
  readonly clock: Clock
  readonly log: Log
  /** Sends departures to a control replica; they are lost without a connection to one. */
  readonly send: (departures: readonly Departure[]) => void
}

/** Someone who waits until an incarnation's departure is stored. */
interface Waiter {
  readonly instance: InstanceIncarnation
  readonly onEnd: (isStored: boolean) => void
}

/**
 * Departures of instances on this VM on their way to the control group. This process has no disk, so a departure that
 * it acknowledges must be stored there first: otherwise a restart of all processes would bring the instance back.
 * Departures are sent again until a replica says that they are stored.
 *
 * Memory: two `DepartureTable`s, and one waiter for each open call.
 */
export class DepartureOutbox implements Disposable {
  private readonly _stored = new DepartureTable()
  private _pendingSinceMs: number | undefined
  private _pending: Departure[] = []
  private _waiters: Waiter[] = []
  private _timer: NodeJS.Timeout | undefined
  private _isStoring = true

  public constructor (private readonly _options: DepartureOutboxOptions) {}

  /** Number of departures that are not stored yet. */
  public get pendingCount (): number {
    return this._pending.length
  }

  /**
   * Takes over all departures that this node remembers, and sends those that are not stored. A list that grew with what
   * the node has forgotten would become longer than a replica takes.
   */
  public update (departures: readonly Departure[]): void {
    const pending = departures.filter(departure => !this._stored.covers(departure))
    const isChanged = pending.some(departure => !this._isPending(departure))
    this._pending = pending
    if (!isChanged) return
    this._pendingSinceMs ??= this._options.clock.nowMs()
    this._send()
  }

  /** Handles the departures that the control group has stored for this node. */
  public receiveStored (departures: readonly Departure[]): void {
    departures.forEach(departure => this._stored.record(departure))
    const count = this._pending.length
    this._pending = this._pending.filter(departure => !this._stored.covers(departure))
    this._settle(({ instance }) => this._stored.covers(instance))
    if (this._pending.length > 0 || count === 0) return
    const tookMs = Math.round(this._options.clock.nowMs() - (this._pendingSinceMs ?? 0))
    this._pendingSinceMs = undefined
    this._options.log.info({ stored: departures.map(({ id }) => id), tookMs }, 'departure stored')
  }

  /**
   * Sends again what is not stored, on a new connection.
   * @param isStoring False when the replica is of a version that stores no departures.
   */
  public handleConnected (isStoring: boolean): void {
    this._isStoring = isStoring
    if (!isStoring) this._settle(() => true)
    this._send()
  }

  /** Resolves to true once the departure of an incarnation is stored, and to false when it is not in time. */
  public async whenStored (instance: InstanceIncarnation, timeoutMs: number): Promise<boolean> {
    if (this._stored.covers(instance) || !this._isStoring) return true
    return await new Promise(resolve => {
      const waiter: Waiter = {
        instance,
        onEnd: isStored => {
          clearTimeout(timer)
          resolve(isStored)
        }
      }
      const timer = setTimeout(() => this._settle(other => other === waiter, false), timeoutMs)
      this._waiters.push(waiter)
    })
  }

  /** Stops sending; what is not stored is not acknowledged. */
  public dispose (): void {
    clearTimeout(this._timer)
    this._settle(() => true, false)
  }

  private _isPending (departure: Departure): boolean {
    return this._pending.some(({ id, bornMs }) => id === departure.id && bornMs >= departure.bornMs)
  }

  private _settle (isMet: (waiter: Waiter) => boolean, isStored = true): void {
    const met = this._waiters.filter(isMet)
    this._waiters = this._waiters.filter(waiter => !met.includes(waiter))
    met.forEach(({ onEnd }) => onEnd(isStored))
  }

  private _send (): void {
    clearTimeout(this._timer)
    if (this._pending.length === 0 || !this._isStoring) return
    this._options.send(this._pending)
    this._timer = setTimeout(() => this._send(), DEPARTURE_RESEND_INTERVAL_MS)
  }
}
