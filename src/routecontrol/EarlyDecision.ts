import type { RoutingStore } from '../parts/routing/RoutingStore.js'
import type { RoutingChange } from '../parts/routing/Types.js'
import type { ChangeOutcome } from './RoutingReplica.js'

/**
 * Returns the outcome of a change that the leader should not propose, or undefined for one that it should.
 * @param store State of the leader.
 */
export function decideEarly (store: RoutingStore, change: RoutingChange): ChangeOutcome | undefined {
  if (!store.canDecide(change)) {
    const invalid = store.checkOnAnyBase(change)
    if (invalid.length > 0) return { type: 'decided', reply: { type: 'invalid', findings: invalid } }
    const reason = `the base is version ${change.base}, which has not come into force after ${store.inForce.version}`
    return { type: 'undecided', state: 'not-run', reason }
  }
  const findings = store.check(change)
  return findings.length === 0 ? undefined : { type: 'decided', reply: { type: 'invalid', findings } }
}
