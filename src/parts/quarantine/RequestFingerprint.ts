import xxhash from 'xxhash-wasm'
import type { XXHashAPI } from 'xxhash-wasm'
import { FINGERPRINT_BODY_BYTES } from './Constants.js'
import type { Fingerprint } from './Types.js'

/**
 * Hashes what makes a request the same request: service, method, target, body length and the first 4 KiB of the body,
 * by 64-bit xxHash. Among 4,096 quarantined fingerprints a given innocent request collides with odds of
 * 4,096 / 2^64, about 2e-16. The hash isn't cryptographic: a caller can make collisions among its own requests.
 */
export class RequestFingerprint {
  private readonly _hash: XXHashAPI

  private constructor (hash: XXHashAPI) {
    this._hash = hash
  }

  /** Makes the hash ready; done once, when the process starts. */
  public static async load (): Promise<RequestFingerprint> {
    return new RequestFingerprint(await xxhash())
  }

  /**
   * Returns the fingerprint of a request.
   * @param service Name of the service.
   * @param method HTTP method.
   * @param target Path and query.
   * @param body The body or its beginning; only the first 4 KiB count.
   * @param bodyBytes Length of the whole body.
   */
  public of (service: string, method: string, target: string, body: Uint8Array, bodyBytes: number): Fingerprint {
    const head = `${service}\0${method}\0${target}\0${bodyBytes}\0`
    const digest = this._hash.create64()
      .update(head)
      .update(body.subarray(0, FINGERPRINT_BODY_BYTES))
      .digest()
    return digest.toString(16).padStart(16, '0')
  }
}
