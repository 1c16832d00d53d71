import { RepeatBudget, type RepeatLimits } from '../parts/budget/SharedRetryBudget.js'
import type { ServiceName } from '../parts/Types.js'

/** Budgets for sending requests again, one for each service. Memory: one entry for each service ever named. */
export class RepeatBudgets {
  private readonly _budgets = new Map<ServiceName, RepeatBudget>()

  /**
   * @param _limits Bounds over all nodes.
   */
  public constructor (private readonly _limits: RepeatLimits) {}

  /** Returns the budget of a service. */
  public of (service: ServiceName): RepeatBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new RepeatBudget(this._limits)
    this._budgets.set(service, budget)
    return budget
  }
}
