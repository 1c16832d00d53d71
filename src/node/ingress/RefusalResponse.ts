import type { ServerResponse } from 'node:http'
import type { Disposition, Reason } from '../../parts/Types.js'
import type { Refusal } from '../Types.js'

/** HTTP status of a refusal for each reason. */
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

/** JSON body of a refusal. */
export interface RefusalBody {
  readonly disposition: Disposition
  readonly reason: Reason
  readonly retryAfterMs?: number
  readonly call: string
}

/**
 * Sends a refusal to a caller. Does nothing when an answer has already been started or the connection is closed.
 * @param call Identifier of the call, with which operators can find it in the log.
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

/**
 * Builds the raw HTTP response to a request that can't be parsed.
 * @param status Code and reason phrase of a 4xx status.
 */
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
