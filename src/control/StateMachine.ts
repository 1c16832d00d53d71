import type { LogEntry } from '../parts/agreement/Types.js'

/**
 * State that the replicas of a group agree on. Every replica applies the same entries in the same order
 * and must come to the same state, whatever its clock.
 */
export interface StateMachine<Reply> {
  /**
   * Applies one committed command.
   * @param entry The log entry; its data is what was proposed.
   * @returns What the proposer is told.
   */
  apply (entry: LogEntry): Reply

  /**
   * Encodes the whole state, as it is at the call, in parts that are taken one by one while further
   * entries are applied.
   */
  snapshot (): Iterator<Uint8Array>

  /**
   * Replaces the whole state.
   * @param data The parts of `snapshot` in one, of this or another replica; empty for the state before any entry.
   */
  restore (data: Uint8Array): void
}
