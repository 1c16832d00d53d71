import type { Heartbeat, Member } from './Types.js'

/** Position of a heartbeat in the order of one node's heartbeats. */
export interface HeartbeatPosition {
  readonly incarnation: number
  readonly sequence: number
  readonly beat: number
}

/**
 * Compares two announcements by (incarnation, sequence).
 * @param a One announcement.
 * @param b Another one of the same node.
 * @returns Above zero when the first is newer, below zero when it is older.
 */
export function compareAnnouncements (a: Member, b: Member): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence
}

/**
 * Compares two heartbeats by (incarnation, sequence, beat).
 * @param a One heartbeat.
 * @param b Another one of the same node.
 * @returns Above zero when the first is later, below zero when it is earlier.
 */
export function compareHeartbeats (a: HeartbeatPosition, b: HeartbeatPosition): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || a.beat - b.beat
}

/**
 * Returns the position of a heartbeat, or of the last heartbeat that a member carries.
 * @param member Member as it was received, or a heartbeat.
 */
export function getHeartbeatPosition (member: Member | Heartbeat): HeartbeatPosition {
  return { incarnation: member.incarnation, sequence: member.sequence, beat: member.beat ?? 0 }
}

/**
 * Returns the announcement within a member, without `beat` and `silent`.
 * @param member Member as it was received.
 */
export function stripLiveness (member: Member): Member {
  const { beat: _beat, silent: _silent, ...content } = member
  return content
}

/**
 * Returns a text of the fields that callers can see. It is the same for two announcements that differ only in their
 * sequence.
 * @param member Member of any sequence.
 */
export function serializeVisibleFields (member: Member): string {
  const { node, service, incarnation, state, address, place, slots } = member
  return [node, service, incarnation, state, address, place.region, place.zone, slots].join('\n')
}
