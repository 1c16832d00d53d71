import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../node/ingress/BodyReader.js'
import type { Route } from '../parts/routing/Types.js'
import type { BodyLease } from '../parts/transfer/BodyMemory.js'
import { computeTransferMs } from '../parts/transfer/TransferTime.js'
import type { Random } from '../parts/Types.js'
import { readHeader } from '../runtime/RequestHeader.js'
import type { Clock, Log } from '../runtime/Types.js'
import type { BodyResources } from './BodyTransfer.js'
import type { CallerResponder } from './CallerResponder.js'
import { BODY_RETRY_AFTER_MS, RETRY_AFTER_JITTER, RETRY_AFTER_MAX_SHARE } from './Constants.js'
import { DEFAULT_DEADLINE_MS, readDeadlineMs } from './DeadlineHeader.js'
import type { HeaderNames } from './Types.js'

/** What the intake needs of its node. */
export interface BodyIntakeOptions {
  readonly names: HeaderNames
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly bodies: BodyResources
}

/** A request whose body is read. */
export interface BodyRequest {
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly route: Route
  /** Largest body in bytes. */
  readonly maxBytes: number
}

/**
 * Reads the bodies of callers' requests. A body that finds no room in `BodyMemory`, or has to give it up, or takes
 * longer to arrive than its caller and its route wait, is refused, and what follows of it is discarded.
 *
 * Memory: that of the bodies, for which `BodyMemory` accounts.
 */
export class BodyIntake {
  public constructor (
    private readonly _options: BodyIntakeOptions,
    private readonly _responder: CallerResponder
  ) {}

  /**
   * Reads the body of a request.
   * @param onWhole Called with the body and its lease, which the receiver has to release; not called when the request
   *   was refused or its caller has left.
   * @param onTooLarge Called when the body exceeds `maxBytes`.
   */
  public read (
    request: BodyRequest, onWhole: (bytes: Buffer, lease: BodyLease) => void, onTooLarge: () => void
  ): void {
    const { message, response, maxBytes } = request
    const { clock, bodies: { memory } } = this._options
    if (!hasBody(message)) {
      readBody(message, maxBytes, () => onWhole(NO_BYTES, memory.lease()))
      return
    }
    const announcedBytes = Number(message.headers['content-length'] ?? 0)
    const end = (): void => {
      clearTimeout(timer)
      lease.release()
      reading.drop()
    }
    const lease = memory.openArriving(clock.nowMs(), () => {
      end()
      this._refuseForMemory(request)
    })
    const timer = this._limitReading(request, end)
    let reading = { drop: () => {} }
    if (announcedBytes <= maxBytes && !memory.tryMakeRoom(announcedBytes, clock.nowMs())) {
      end()
      this._refuseForMemory(request)
      return
    }
    reading = readBody(message, maxBytes, result => {
      clearTimeout(timer)
      lease.endArrival()
      if (result.type === 'whole' && !response.headersSent) return onWhole(result.bytes, lease)
      lease.release()
      if (result.type === 'tooLarge') onTooLarge()
      if (result.type === 'noRoom') this._refuseForMemory(request)
    }, { tryGrow: bytes => lease.tryGrow(bytes, clock.nowMs()) })
  }

  /** Refuses a request whose body has not arrived at its timeout, and frees the memory of the body. */
  private _limitReading ({ message, response, route }: BodyRequest, end: () => void): NodeJS.Timeout {
    const { names, log } = this._options
    const limitMs = Math.min(readDeadlineMs(message, names.deadlineMs) ?? DEFAULT_DEADLINE_MS, route.timeoutMs)
    return setTimeout(() => {
      if (message.complete || response.headersSent || response.destroyed) return
      log.info({ requestId: readHeader(message, names.requestId), route: route.name, limitMs }, 'upload did not arrive in time')
      end()
      this._responder.refuse(message, response, 503, 'body-late', 0)
    }, limitMs)
  }

  /** Room for a body is expected when as many bytes have been moved over the link. */
  private _refuseForMemory ({ message, response, route }: BodyRequest): void {
    const { names, log, random, bodies } = this._options
    const { memory: { heldBytes, limitBytes }, linkMbps, metrics } = bodies
    const bodyBytes = Number(message.headers['content-length'] ?? 0)
    const transferMs = computeTransferMs(bodyBytes, linkMbps)
    const deadlineMs = readDeadlineMs(message, names.deadlineMs) ?? DEFAULT_DEADLINE_MS
    const jitterFactor = 1 + RETRY_AFTER_JITTER * random.next()
    const retryAfterMs = Math.min(
      jitterFactor * (transferMs > 0 ? transferMs : BODY_RETRY_AFTER_MS), deadlineMs * RETRY_AFTER_MAX_SHARE
    )
    const requestId = readHeader(message, names.requestId)
    metrics.countBodyRefused('caller')
    log.info({ requestId, route: route.name, bodyBytes, heldBytes, limitBytes, retryAfterMs }, 'upload refused for memory')
    this._responder.refuse(message, response, 503, 'body-memory', retryAfterMs)
  }
}

const NO_BYTES = Buffer.alloc(0)

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
