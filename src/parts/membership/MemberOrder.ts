import type { Heartbeat, Member } from './Types.js'

/** Position of a sign of life; a later one tells more. */
export interface HeartbeatPosition {
  readonly incarnation: number
  readonly sequence: number
  readonly beat: number
}

/**
 * Returns above zero when the first content is newer, below zero when it is older.
 * @param a One announcement.
 * @param b Another one of the same node.
 */
export function compareAnnouncements (a: Member, b: Member): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence
}

/**
 * Returns above zero when the first sign of life is later, below zero when it is earlier.
 * @param a One sign.
 * @param b Another one of the same node.
 */
export function compareHeartbeats (a: HeartbeatPosition, b: HeartbeatPosition): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || a.beat - b.beat
}

/**
 * Returns the sign of life that a member carries.
 * @param member Member as it was received.
 */
export function getHeartbeatPosition (member: Member | Heartbeat): HeartbeatPosition {
  return { incarnation: member.incarnation, sequence: member.sequence, beat: member.beat ?? 0 }
}

/**
 * Returns the member without what only orders messages.
 * @param member Member as it was received.
 */
export function stripLiveness (member: Member): Member {
  const { beat: _beat, silent: _silent, ...content } = member
  return content
}

/**
 * Returns a text that is the same for two announcements between which a caller can't tell.
 * @param member Member of any sequence.
 */
export function serializeVisibleFields (member: Member): string {
  const { node, service, incarnation, state, address, place, slots } = member
  return [node, service, incarnation, state, address, place.region, place.zone, slots].join('\n')
}
