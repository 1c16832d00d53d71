import type { LogEntry } from '../parts/agreement/Types.js'

/**
 * Replicated state of a group. Every replica applies the same entries in the same order and must reach the same state,
 * so applying an entry must not depend on the local clock.
 */
export interface StateMachine<Reply> {
  /**
   * Applies one committed command.
   * @param entry Log entry; its data is the proposed command.
   * @returns Reply to the proposer.
   */
  apply (entry: LogEntry): Reply

  /**
   * Encodes the whole state as of this call. The chunks are read one at a time while further entries are applied.
   */
  snapshot (): Iterator<Uint8Array>

  /**
   * Replaces the whole state.
   * @param data Concatenated chunks of a snapshot of this or another replica; empty for the state before any entry.
   */
  restore (data: Uint8Array): void
}
