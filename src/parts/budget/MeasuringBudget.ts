import type { Part } from '../Types.js'
import { HEARTBEAT_SHARE, MESSAGE_BURST, WINDOW_MS } from './Constants.js'
import { SlidingWindow } from './SlidingWindow.js'
import type { BudgetAction, BudgetEvent, MeasuringKind } from './Types.js'

type EventOf<T extends BudgetEvent['type']> = Extract<BudgetEvent, { type: T }>
type Handlers = { readonly [T in BudgetEvent['type']]: (event: EventOf<T>, nowMs: number) => BudgetAction[] }

/** Limits of a measuring budget. */
export interface BudgetLimits {
  readonly bytesPerSecond: number
  /** Extra messages as a share of calls, 0 to 1. */
  readonly messagesPerCall: number
}

/** Kinds that exist because of calls and are limited to a share of them; the others cost bytes only. */
const COUNTED_BY_CALLS: Readonly<Record<MeasuringKind, boolean>> = {
  probe: true,
  poll: true,
  report: true,
  heartbeat: false,
  membership: false
}

/**
 * One ledger of a VM's measuring work. In every span of one second, wherever it starts, the granted bytes stay
 * within `bytesPerSecond`; between any two moments the granted probes, polls and reports stay within
 * `messagesPerCall` times the calls served plus `MESSAGE_BURST`. A share of the bytes is kept for heartbeats.
 * Memory is constant.
 */
export class MeasuringBudget implements Part<BudgetEvent, BudgetAction> {
  private readonly all = new SlidingWindow()
  private readonly unreserved = new SlidingWindow()
  private readonly handlers: Handlers = {
    request: (event, nowMs) => this.request(event, nowMs),
    served: event => this.served(event),
    configure: event => this.configure(event)
  }

  private limits: BudgetLimits
  private messageCredit = 0

  /** @param limits Budget until the first `configure`. */
  public constructor (limits: BudgetLimits) {
    this.limits = limits
  }

  /**
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: BudgetEvent, nowMs: number): BudgetAction[] {
    const handler = this.handlers[event.type] as (event: BudgetEvent, nowMs: number) => BudgetAction[]
    return handler(event, nowMs)
  }

  /** Bytes granted in the window that ends now, for the state dump. */
  public spentBytes (): number {
    return this.all.total()
  }

  /** Messages that calls served so far still allow, for the state dump. */
  public messagesLeft (): number {
    return this.messageCredit
  }

  private request (event: EventOf<'request'>, nowMs: number): BudgetAction[] {
    this.all.advance(nowMs)
    this.unreserved.advance(nowMs)
    const retryAtMs = this.earliestMs(event, nowMs)
    if (retryAtMs > nowMs) {
      return [{ type: 'denied', id: event.id, retryAtMs }]
    }
    this.charge(event)
    return [{ type: 'granted', id: event.id }]
  }

  /** The time from which the request may be granted, or `nowMs` when it may be granted now. */
  private earliestMs (event: EventOf<'request'>, nowMs: number): number {
    if (!(event.bytes >= 0)) {
      return nowMs + WINDOW_MS
    }
    if (COUNTED_BY_CALLS[event.kind] && this.messageCredit < (event.messages ?? 1)) {
      return nowMs + WINDOW_MS
    }
    const bytesPerWindow = this.limits.bytesPerSecond * WINDOW_MS / 1000
    const wholeAtMs = this.fitsAtMs(this.all, bytesPerWindow, event.bytes, nowMs)
    if (event.kind === 'heartbeat') {
      return wholeAtMs
    }
    const sharedBytes = bytesPerWindow * (1 - HEARTBEAT_SHARE)
    return Math.max(wholeAtMs, this.fitsAtMs(this.unreserved, sharedBytes, event.bytes, nowMs))
  }

  private fitsAtMs (window: SlidingWindow, limit: number, bytes: number, nowMs: number): number {
    const excess = window.total() + bytes - limit
    if (excess <= 0) {
      return nowMs
    }
    return Math.max(nowMs + 1, window.freeAtMs(excess))
  }

  private charge (event: EventOf<'request'>): void {
    this.all.spend(event.bytes)
    if (event.kind !== 'heartbeat') {
      this.unreserved.spend(event.bytes)
    }
    if (COUNTED_BY_CALLS[event.kind]) {
      this.messageCredit -= event.messages ?? 1
    }
  }

  private served (event: EventOf<'served'>): BudgetAction[] {
    const earned = Math.max(0, event.calls) * this.limits.messagesPerCall
    this.messageCredit = Math.min(MESSAGE_BURST, this.messageCredit + earned)
    return []
  }

  private configure (event: EventOf<'configure'>): BudgetAction[] {
    this.limits = { bytesPerSecond: event.bytesPerSecond, messagesPerCall: event.messagesPerCall }
    return []
  }
}
