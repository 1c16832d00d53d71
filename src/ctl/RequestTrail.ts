/** One log line about a request. */
export interface RequestLogLine {
  /** Wall-clock time of the process that wrote the line; clocks of different VMs may differ. */
  readonly time: string
  readonly process: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields common to all lines, which are left out of `fields`. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'process', 'id', 'msg', 'pid'])

/**
 * Collects the log lines about a request and its nested calls, whose ids begin with the id of the request and a dot,
 * ordered by time.
 * @param requestId Id of the request.
 * @param texts Logs of several processes: JSON lines, each with an optional prefix before the object.
 */
export function findTrail (requestId: string, texts: readonly string[]): RequestLogLine[] {
  const lines = texts.flatMap(text => text.split('\n').flatMap(line => matchLine(requestId, line)))
  return lines.sort((a, b) => a.time.localeCompare(b.time))
}

function matchLine (requestId: string, line: string): RequestLogLine[] {
  if (!line.includes(requestId)) return []
  const entry = parseEntry(line.slice(Math.max(0, line.indexOf('{'))))
  if (entry === undefined || !listRequestIds(entry).some(id => id === requestId || id.startsWith(`${requestId}.`))) return []
  const fields = Object.fromEntries(Object.entries(entry).filter(([name]) => !COMMON_FIELDS.has(name)))
  return [{ time: String(entry['time']), process: String(entry['id']), message: String(entry['msg']), fields }]
}

/** A line is about one request, or about several that ran together. */
function listRequestIds ({ requestId, requests }: Record<string, unknown>): string[] {
  return [requestId, ...Array.isArray(requests) ? requests : []].filter(id => typeof id === 'string')
}

/** Returns undefined for a line that is not a JSON object, which logs may contain. */
function parseEntry (text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}
