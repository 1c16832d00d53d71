import type { MeasuringBudget } from '../parts/budget/MeasuringBudget.js'
import type { MeasuringKind } from '../parts/budget/Types.js'
import type { MeasuringRule } from '../parts/configuration/Types.js'
import type { Clock } from '../runtime/Types.js'

interface MessageCost {
  readonly bytes: number
  readonly messages: number
}

/** Cost of one message of each kind together with its reply; bytes include the frame headers. */
const MESSAGE_COSTS: Readonly<Record<MeasuringKind, MessageCost>> = {
  probe: { bytes: 160, messages: 2 },
  poll: { bytes: 400, messages: 2 },
  heartbeat: { bytes: 80, messages: 2 },
  report: { bytes: 160, messages: 1 },
  membership: { bytes: 300, messages: 1 }
}

/**
 * Rate-limits this node's control traffic (probes, heartbeats, load reports, membership messages) by a shared budget of
 * bytes and messages.
 */
export class MeasuringHost {
  private _lastId = 0

  public constructor (private readonly _budget: MeasuringBudget, private readonly _clock: Clock) {}

  /** Returns whether the budget allows one message now, and charges it; if false, the message must not be sent. */
  public maySend (kind: MeasuringKind): boolean {
    const id = ++this._lastId
    const { bytes, messages } = MESSAGE_COSTS[kind]
    const actions = this._budget.step({ type: 'request', id, kind, bytes, messages }, this._clock.nowMs())
    return actions.some(action => action.type === 'granted')
  }

  /** Counts a served call, which adds a share of a message to the budget. */
  public countCall (): void {
    this._budget.step({ type: 'served', calls: 1 }, this._clock.nowMs())
  }

  /** Applies the limits of a configuration. */
  public configure (rule: MeasuringRule): void {
    this._budget.step({ type: 'configure', ...rule }, this._clock.nowMs())
  }

  /** Bytes granted within the last second. */
  public get spentBytes (): number {
    return this._budget.spentBytes()
  }
}
