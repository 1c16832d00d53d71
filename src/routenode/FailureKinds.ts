import type { FailureReason } from './Types.js'

/** Failures that open the circuit breaker at once, since the instance itself is gone. */
export const BREAKER_OPENING_REASONS: ReadonlySet<FailureReason> = new Set(['instance-unreachable', 'instance-replaced'])

/** Failures that open the circuit breaker after a few in a row. */
export const BREAKER_COUNTED_REASONS: ReadonlySet<FailureReason> = new Set(['timeout', 'instance-lost'])

/** Failures with which the connection of a run was lost; a run that was sent again may find nothing that listens. */
export const LOSS_REASONS: ReadonlySet<FailureReason> = new Set(['instance-lost', 'instance-unreachable'])
