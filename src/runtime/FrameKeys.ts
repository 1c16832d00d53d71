/**
 * Field names that are encoded as numbers to keep frames short, because they occur in almost every frame. The numbers
 * are part of the protocol between processes: names may only be appended, never removed or reordered.
 */
const NUMBERED_KEYS = [
  'type', 'id', 'load', 'running', 'queued', 'limit', 'slowness', 'workMs', 'answer', 'status', 'headers', 'body',
  'call', 'service', 'method', 'target', 'requestId', 'work', 'kind', 'nested', 'priority', 'leftMs',
  'objectiveLeftMs', 'mayDecline', 'reason', 'retryAfterMs', 'proof', 'to', 'message', 'term', 'prevIndex', 'prevTerm',
  'entries', 'commit', 'round', 'sentAtMs', 'success', 'match', 'conflictIndex', 'conflictTerm', 'fit', 'version',
  'moveMs', 'attempt', 'failing', 'closedForMs', 'requestLimit', 'knownLimit', 'instance', 'perS',
  'leaving', 'bornMs', 'isBornAssumed', 'reports', 'fingerprint', 'node', 'incarnation', 'sequence', 'weight', 'ageMs',
  'cleared', 'workspace', 'count', 'asks', 'heardMs', 'grants', 'eighths', 'atMs'
] as const

/** Number of each field name, in the form of the codec's `keyMap` option. */
export const FRAME_KEYS: Readonly<Record<string, number>> =
  Object.fromEntries(NUMBERED_KEYS.map((name, index) => [name, index + 1]))
