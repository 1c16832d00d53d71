import type { Part } from '../Types.js'
import { HEARTBEAT_SHARE, MESSAGE_BURST, WINDOW_MS, WINDOW_STEPS } from './Constants.js'
import { SlidingWindow } from './SlidingWindow.js'
import type { BudgetAction, BudgetEvent, MeasuringKind } from './Types.js'

type EventOf<T extends BudgetEvent['type']> = Extract<BudgetEvent, { type: T }>
type Handlers = { readonly [T in BudgetEvent['type']]: (event: EventOf<T>, nowMs: number) => BudgetAction[] }

/** Limits of a measuring budget. */
export interface BudgetLimits {
  /** Bytes of all measuring messages in any second. */
  readonly bytesPerSecond: number
  /** Probes, polls and reports as a share of calls, 0 to 1. */
  readonly messagesPerCall: number
}

/** Kinds that calls cause and that are limited to a share of calls; the other kinds are limited only in bytes. */
const LIMITED_BY_CALLS: Readonly<Record<MeasuringKind, boolean>> = {
  probe: true,
  poll: true,
  report: true,
  heartbeat: false,
  membership: false
}

/**
 * Limits the traffic that one VM spends on measuring messages: probes, polls, reports, heartbeats and membership. In
 * every span of one second, wherever it starts, the granted bytes stay within `bytesPerSecond`. Between any two moments
 * the granted probes, polls and reports stay within `messagesPerCall` times the calls served plus `MESSAGE_BURST`. A
 * share of the bytes is reserved for heartbeats. Memory is constant.
 */
export class MeasuringBudget implements Part<BudgetEvent, BudgetAction> {
  private readonly _allBytes = new SlidingWindow(WINDOW_MS, WINDOW_STEPS)
  private readonly _bytesWithoutHeartbeats = new SlidingWindow(WINDOW_MS, WINDOW_STEPS)
  private readonly _handlers: Handlers = {
    request: (event, nowMs) => this._onRequest(event, nowMs),
    served: event => this._onServed(event),
    configure: event => this._onConfigure(event)
  }

  private _limits: BudgetLimits
  private _messageCredit = 0

  /** @param limits Limits until the first `configure`. */
  public constructor (limits: BudgetLimits) {
    this._limits = limits
  }

  /**
   * Handles one event. A `request` gives one action, `granted` or `denied`; the other events give none.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: BudgetEvent, nowMs: number): BudgetAction[] {
    const handler = this._handlers[event.type] as (event: BudgetEvent, nowMs: number) => BudgetAction[]
    return handler(event, nowMs)
  }

  /** Returns the bytes granted within the window up to the last request, for the state dump. */
  public spentBytes (): number {
    return this._allBytes.total()
  }

  /** Returns the current message credit, for the state dump. */
  public messagesLeft (): number {
    return this._messageCredit
  }

  private _onRequest (event: EventOf<'request'>, nowMs: number): BudgetAction[] {
    this._allBytes.advance(nowMs)
    this._bytesWithoutHeartbeats.advance(nowMs)
    const retryAtMs = this._grantableAtMs(event, nowMs)
    if (retryAtMs > nowMs) {
      return [{ type: 'denied', id: event.id, retryAtMs }]
    }
    this._charge(event)
    return [{ type: 'granted', id: event.id }]
  }

  /** Returns the time from which the request may be granted, or `nowMs` when it may be granted now. */
  private _grantableAtMs (event: EventOf<'request'>, nowMs: number): number {
    // Denies NaN too.
    if (!(event.bytes >= 0)) {
      return nowMs + WINDOW_MS
    }
    if (LIMITED_BY_CALLS[event.kind] && this._messageCredit < (event.messages ?? 1)) {
      return nowMs + WINDOW_MS
    }
    const bytesPerWindow = this._limits.bytesPerSecond * WINDOW_MS / 1000
    const allFitAtMs = this._fitsAtMs(this._allBytes, bytesPerWindow, event.bytes, nowMs)
    if (event.kind === 'heartbeat') {
      return allFitAtMs
    }
    const limitWithoutHeartbeats = bytesPerWindow * (1 - HEARTBEAT_SHARE)
    return Math.max(
      allFitAtMs,
      this._fitsAtMs(this._bytesWithoutHeartbeats, limitWithoutHeartbeats, event.bytes, nowMs)
    )
  }

  /** Returns the time from which `bytes` more fit into the window, or `nowMs` when they fit now. */
  private _fitsAtMs (window: SlidingWindow, limit: number, bytes: number, nowMs: number): number {
    const excess = window.total() + bytes - limit
    if (excess <= 0) {
      return nowMs
    }
    return Math.max(nowMs + 1, window.freeAtMs(excess))
  }

  private _charge (event: EventOf<'request'>): void {
    this._allBytes.add(event.bytes)
    if (event.kind !== 'heartbeat') {
      this._bytesWithoutHeartbeats.add(event.bytes)
    }
    if (LIMITED_BY_CALLS[event.kind]) {
      this._messageCredit -= event.messages ?? 1
    }
  }

  private _onServed (event: EventOf<'served'>): BudgetAction[] {
    const earned = Math.max(0, event.calls) * this._limits.messagesPerCall
    this._messageCredit = Math.min(MESSAGE_BURST, this._messageCredit + earned)
    return []
  }

  private _onConfigure (event: EventOf<'configure'>): BudgetAction[] {
    this._limits = { bytesPerSecond: event.bytesPerSecond, messagesPerCall: event.messagesPerCall }
    return []
  }
}
