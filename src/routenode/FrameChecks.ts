import { areWritableHeaders, isWritableStatus } from '../node/HeadSyntax.js'
import { isInstanceId, isIntegerWithin, MAX_UNIX_MS } from '../parts/instances/EntryChecks.js'
import type { RouteKind } from '../parts/routing/Types.js'
import { MAX_ANSWER_BYTES } from './Constants.js'
import type { AttemptKind, CallServerFrame, InstanceStatus, RoutedAnswer, RoutedCall } from './Types.js'

/** Longest delay of a timer of Node.js, in milliseconds; a longer one fires at once. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Largest body of a request in one call, in bytes; allocations above the limit of Node.js throw. */
const MAX_CALL_BODY_BYTES = 2 ** 30

const ROUTE_KINDS: ReadonlySet<unknown> = new Set<RouteKind>(['idempotent', 'once', 'download', 'upload'])

const ATTEMPT_KINDS: ReadonlySet<unknown> = new Set<AttemptKind>(['first', 'repeat', 'hedge'])

const PROOFS: ReadonlySet<unknown> = new Set(['unsent', 'rejected', 'unknown'])

type Fields = Readonly<Record<string, unknown>>

/** Returns whether a decoded value is a call; the proxy of the instance checks whether it can be written as HTTP. */
export function isRoutedCall (value: unknown): value is RoutedCall {
  if (!isRecord(value)) return false
  const texts = [value.service, value.requestId, value.work]
  const numbers = [value.priority, value.objectiveLeftMs]
  const optionalNumbers = [value.moveMs, value.workspacePriority, value.shareUsed, value.coldPerS]
  return texts.every(isText) && numbers.every(isNumber) && optionalNumbers.every(isOptional(isNumber)) &&
    isOptional(isText)(value.workspace) && typeof value.nested === 'boolean' &&
    Number.isInteger(value.id) && isIntegerWithin(value.leftMs, 1, MAX_TIMER_MS) &&
    ROUTE_KINDS.has(value.kind) && ATTEMPT_KINDS.has(value.attempt) &&
    isText(value.method) && isText(value.target) && isHeaderList(value.headers) && value.body instanceof Uint8Array &&
    isOptional(bytes => isIntegerWithin(bytes, 1, MAX_CALL_BODY_BYTES))(value.bodyBytes) &&
    isOptional(isLimit)(value.knownLimit)
}

/** Returns whether a decoded frame is a usable outcome of a call. */
export function isOutcomeFrame (frame: CallServerFrame): boolean {
  const fields = frame as unknown as Fields
  if (frame.type === 'failed') return isOptional(isInstanceStatus)(frame.load) && PROOFS.has(frame.proof)
  if (!isInstanceStatus(fields.load)) return false
  if (frame.type === 'turnedAway') return isText(frame.reason) && isNumber(frame.retryAfterMs)
  if (frame.type !== 'answer') return false
  return isRoutedAnswer(frame.answer) && isOptional(isAnswerSize)(frame.bodyBytes)
}

/** Returns whether an answer can be written to a caller. */
function isRoutedAnswer (value: unknown): value is RoutedAnswer {
  return isRecord(value) && isWritableStatus(value.status) && areWritableHeaders(value.headers) &&
    value.body instanceof Uint8Array
}

function isInstanceStatus (value: unknown): value is InstanceStatus {
  if (!isRecord(value)) return false
  const numbers = [value.running, value.queued, value.limit, value.slowness, value.workMs, value.failing]
  return numbers.every(isNumber) && isOptional(isNumber)(value.closedForMs) &&
    isOptional(isLimit)(value.requestLimit) && isOptional(isIncarnation)(value.leaving)
}

function isIncarnation (value: unknown): boolean {
  return isRecord(value) && isInstanceId(value.id) && isIntegerWithin(value.bornMs, 0, MAX_UNIX_MS)
}

function isLimit (value: unknown): boolean {
  return isRecord(value) && isInstanceId(value.instance) && isNumber(value.perS) && value.perS >= 0
}

function isHeaderList (value: unknown): boolean {
  return Array.isArray(value) && value.length % 2 === 0 && value.every(isText)
}

function isAnswerSize (value: unknown): boolean {
  return isIntegerWithin(value, 1, MAX_ANSWER_BYTES)
}

function isOptional (check: (value: unknown) => boolean): (value: unknown) => boolean {
  return value => value === undefined || check(value)
}

function isNumber (value: unknown): value is number {
  return typeof value === 'number' && !Number.isNaN(value)
}

function isText (value: unknown): value is string {
  return typeof value === 'string'
}

function isRecord (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null
}
