/**
 * Field names that travel as numbers, since they stand in almost every frame. The numbers are part of the protocol
 * between processes: names are only ever added, at the end.
 */
const NUMBERED_KEYS = [
  'type', 'id', 'load', 'running', 'queued', 'limit', 'slowness', 'workMs', 'answer', 'status', 'headers', 'body',
  'call', 'service', 'method', 'target', 'requestId', 'work', 'kind', 'nested', 'priority', 'leftMs',
  'objectiveLeftMs', 'mayDecline', 'reason', 'retryAfterMs', 'proof', 'to', 'message', 'term', 'prevIndex', 'prevTerm',
  'entries', 'commit', 'round', 'sentAtMs', 'success', 'match', 'conflictIndex', 'conflictTerm', 'fit', 'version',
  'moveMs', 'attempt'
] as const

/** Numbers by field name, as the codec takes them. */
export const FRAME_KEYS: Readonly<Record<string, number>> =
  Object.fromEntries(NUMBERED_KEYS.map((name, index) => [name, index + 1]))
