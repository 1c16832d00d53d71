import { SharedRetryBudget, type RetryLimits } from '../parts/budget/SharedRetryBudget.js'
import type { ServiceName } from '../parts/Types.js'

/**
 * Budgets for retries and hedges, one for each service.
 *
 * Memory: one entry for each service that was ever called.
 */
export class SharedRetryBudgets {
  private readonly _budgets = new Map<ServiceName, SharedRetryBudget>()

  /**
   * @param _limits Limits of each service's budget, which hold for all nodes together.
   */
  public constructor (private readonly _limits: RetryLimits) {}

  /** Returns the budget of a service, which is created when it is first used. */
  public budgetFor (service: ServiceName): SharedRetryBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new SharedRetryBudget(this._limits)
    this._budgets.set(service, budget)
    return budget
  }
}
