import type { AttemptRecord, History, OrderRecord } from './Types.js'

/** Answers of the class 4xx that end no order: it may be sent again. */
const NO_REFUSALS: ReadonlySet<number> = new Set([408, 429])

/** What the operator knows of an order at the end of a history. */
export interface OrderOutcome {
  readonly order: OrderRecord
  readonly attempts: readonly AttemptRecord[]
  /** Missing for an order that was never sent. */
  readonly sentAtMs: number | undefined
  /** When it was first acknowledged or refused. */
  readonly acknowledgedAtMs: number | undefined
  readonly refusedAtMs: number | undefined
}

/** Returns the outcome of each order that was sent, in the order of their ids. */
export function listOutcomes ({ orders, attempts }: History): OrderOutcome[] {
  const byOrder = new Map<number, AttemptRecord[]>(orders.map(({ id }) => [id, []]))
  for (const attempt of attempts) byOrder.get(attempt.order)?.push(attempt)
  return orders.map(order => {
    const own = byOrder.get(order.id) as AttemptRecord[]
    return {
      order,
      attempts: own,
      sentAtMs: earliest(own.map(({ sentAtMs }) => sentAtMs)),
      acknowledgedAtMs: earliestAnswer(own.filter(({ status }) => status === 200)),
      refusedAtMs: earliestAnswer(own.filter(isRefusal))
    }
  }).filter(({ sentAtMs }) => sentAtMs !== undefined)
}

/** Returns whether an answer refuses an order. */
export function isRefusal ({ status }: AttemptRecord): boolean {
  return status !== undefined && status >= 400 && status < 500 && !NO_REFUSALS.has(status)
}

function earliestAnswer (attempts: readonly AttemptRecord[]): number | undefined {
  return earliest(attempts.map(({ answeredAtMs }) => answeredAtMs as number))
}

function earliest (times: readonly number[]): number | undefined {
  return times.length === 0 ? undefined : Math.min(...times)
}
