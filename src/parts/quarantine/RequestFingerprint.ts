import { FINGERPRINT_BODY_BYTES, FINGERPRINT_HEAD_BYTES } from './Constants.js'
import type { Fingerprint } from './Types.js'

/** Hexadecimal digits of a fingerprint: 64 bits. */
const FINGERPRINT_DIGITS = 16

/**
 * Computes the fingerprint of a request: 64 bits of a hash of service, method, target, body length and the first
 * 4 KiB of the body. With 4,096 quarantined fingerprints, another request collides with one of them with a probability
 * of 4,096 / 2^64, about 2e-16. A caller can produce collisions among its own requests.
 */
export class RequestFingerprint {
  private readonly _encoder = new TextEncoder()
  /** Reused for all requests; a longer head gets its own buffer. */
  private readonly _buffer = new Uint8Array(FINGERPRINT_HEAD_BYTES + FINGERPRINT_BODY_BYTES)

  /**
   * @param _hash Returns the hash of some bytes in at least 16 hexadecimal digits.
   */
  public constructor (private readonly _hash: (bytes: Uint8Array) => string) {}

  /**
   * Returns the fingerprint of a request.
   * @param service Name of the service.
   * @param method HTTP method.
   * @param target Path and query.
   * @param body The body or its beginning; only the first 4 KiB are hashed.
   * @param bodyBytes Length of the whole body in bytes.
   */
  public of (service: string, method: string, target: string, body: Uint8Array, bodyBytes: number): Fingerprint {
    const head = `${service}\0${method}\0${target}\0${bodyBytes}\0`
    const prefix = body.subarray(0, FINGERPRINT_BODY_BYTES)
    return this._hash(this._join(head, prefix)).slice(0, FINGERPRINT_DIGITS)
  }

  private _join (head: string, prefix: Uint8Array): Uint8Array {
    // A UTF-16 code unit takes at most 3 bytes in UTF-8.
    const fits = head.length * 3 <= FINGERPRINT_HEAD_BYTES
    const buffer = fits ? this._buffer : new Uint8Array(head.length * 3 + FINGERPRINT_BODY_BYTES)
    const { written } = this._encoder.encodeInto(head, buffer)
    buffer.set(prefix, written)
    return buffer.subarray(0, written + prefix.length)
  }
}
