import type { ServerResponse } from 'node:http'
import type { Disposition, Reason } from '../../parts/Types.js'
import type { Refusal } from '../Types.js'

/** HTTP status for each reason of an answer made by the system. */
const STATUS_BY_REASON: Record<Reason, number> = {
  'bad-request': 400,
  cancelled: 499,
  conflict: 409,
  'control-unavailable': 503,
  'deadline-exceeded': 504,
  draining: 503,
  'in-progress': 409,
  'key-missing': 400,
  'key-reused': 422,
  'no-upstream': 503,
  overloaded: 503,
  'peer-lost': 502,
  quarantined: 503,
  'records-full': 503,
  'retry-budget': 503,
  'service-unknown': 404,
  shedding: 503,
  'stale-configuration': 503,
  'too-large': 413,
  'upstream-failed': 502
}

const MS_PER_SECOND = 1000

/** Body of an answer made by the system. */
export interface RefusalBody {
  readonly disposition: Disposition
  readonly reason: Reason
  readonly retryAfterMs?: number
  readonly call: string
}

/**
 * Answers a caller for the system. Does nothing when the answer has already begun.
 * @param call Id of the call, for the log and the operators.
 */
export function sendRefusal (response: ServerResponse, refusal: Refusal, call: string): void {
  if (response.headersSent || response.destroyed) return
  const { disposition, reason } = refusal
  const retryAfterMs = Math.ceil(refusal.retryAfterMs)
  const body: RefusalBody = { disposition, reason, call, ...(retryAfterMs > 0 ? { retryAfterMs } : {}) }
  const text = JSON.stringify(body)
  response.writeHead(STATUS_BY_REASON[reason], {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'sassafras-disposition': disposition,
    'sassafras-reason': reason,
    ...(retryAfterMs > 0 ? buildRetryHeaders(retryAfterMs) : {}),
    ...(refusal.firstStatus === undefined ? {} : { 'sassafras-first-status': String(refusal.firstStatus) })
  })
  response.end(text)
}

/** Raw 4xx answer for a connection whose request can't be parsed. */
export function buildRawRefusal (status: string): string {
  const body: RefusalBody = { disposition: 'not-run', reason: 'bad-request', call: '' }
  const text = JSON.stringify(body)
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\n` +
    `content-length: ${Buffer.byteLength(text)}\r\nsassafras-disposition: not-run\r\n` +
    `sassafras-reason: bad-request\r\n\r\n${text}`
}

function buildRetryHeaders (retryAfterMs: number): Record<string, string> {
  return {
    'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
    'sassafras-retry-after-ms': String(retryAfterMs)
  }
}
