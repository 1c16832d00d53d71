/** One line of a log that names a request. */
export interface TrailLine {
  /** Time of day at its process, as it wrote it; clocks may be apart. */
  readonly time: string
  readonly process: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields that every line has. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'process', 'id', 'msg', 'pid'])

/**
 * Collects the lines of logs that name a request, in order of time. The calls that an instance made for it, whose ids
 * begin with its own and a dot, belong to it.
 * @param requestId Id of the request.
 * @param texts Logs of several processes: JSON lines, with or without something before the object.
 */
export function findTrail (requestId: string, texts: readonly string[]): TrailLine[] {
  const lines = texts.flatMap(text => text.split('\n').flatMap(line => matchLine(requestId, line)))
  return lines.sort((a, b) => a.time.localeCompare(b.time))
}

function matchLine (requestId: string, line: string): TrailLine[] {
  if (!line.includes(requestId)) return []
  const entry = parseEntry(line.slice(Math.max(0, line.indexOf('{'))))
  const loggedRequestId = entry?.['requestId']
  if (entry === undefined || typeof loggedRequestId !== 'string') return []
  if (loggedRequestId !== requestId && !loggedRequestId.startsWith(`${requestId}.`)) return []
  const fields = Object.fromEntries(Object.entries(entry).filter(([name]) => !COMMON_FIELDS.has(name)))
  return [{ time: String(entry['time']), process: String(entry['id']), message: String(entry['msg']), fields }]
}

/** Returns undefined for a line that is no JSON object: logs may hold others. */
function parseEntry (text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}
