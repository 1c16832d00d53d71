import { hash } from 'node:crypto'

/** Returns the SHA-1 of some bytes in hexadecimal digits. */
export function computeSha1 (bytes: Uint8Array): string {
  return hash('sha1', bytes, 'hex')
}

/** Characters of a key digest: 132 bits, so that no two keys share one in practice. */
const KEY_DIGEST_LENGTH = 22

/** Returns the digest by which an API key is looked up. */
export function computeKeyDigest (key: string): string {
  return hash('sha256', key, 'base64url').slice(0, KEY_DIGEST_LENGTH)
}

/** Hexadecimal digits of a body digest: 64 bits, to tell the bodies in a log apart. */
const BODY_DIGEST_LENGTH = 16

/** Returns the digest by which logs name the body of a request; the same for bytes and for the text in UTF-8. */
export function computeBodyDigest (body: Uint8Array | string): string {
  return hash('sha256', body, 'hex').slice(0, BODY_DIGEST_LENGTH)
}
