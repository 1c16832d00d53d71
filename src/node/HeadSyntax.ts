import type { RawHeaders } from './Types.js'

/*
 * Node.js accepts more in a head that it reads than in one that it writes, where it throws. What is forwarded is
 * checked with these functions where it is received.
 */

/** A token (RFC 9110, section 5.6.2). */
const NAME_PATTERN = /^[\w^`\-!#$%&'*+.|~]+$/

const VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/

const TARGET_PATTERN = /^[\x21-\xff]+$/

/** Returns whether a text can be written as the target of a request. */
export function isWritableTarget (text: unknown): text is string {
  return typeof text === 'string' && TARGET_PATTERN.test(text)
}

/** Returns whether headers can be written: names and values, alternating. */
export function areWritableHeaders (raw: unknown): raw is RawHeaders {
  return Array.isArray(raw) && raw.length % 2 === 0 && raw.every((text: unknown, index) => {
    return typeof text === 'string' && (index % 2 === 0 ? NAME_PATTERN : VALUE_PATTERN).test(text)
  })
}

/** Returns whether a number is the status of a final answer; from 600 on it is none (RFC 9110, section 15). */
export function isWritableStatus (status: unknown): status is number {
  return Number.isInteger(status) && (status as number) >= 200 && (status as number) <= 599
}

/** Returns whether the head of a request can be written. */
export function isWritableRequest (request: { method: string, target: string, headers: RawHeaders }): boolean {
  return NAME_PATTERN.test(request.method) && isWritableTarget(request.target) && areWritableHeaders(request.headers)
}
