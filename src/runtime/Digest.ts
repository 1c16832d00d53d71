import { hash } from 'node:crypto'

/** Returns the SHA-1 of some bytes in hexadecimal digits. */
export function computeSha1 (bytes: Uint8Array): string {
  return hash('sha1', bytes, 'hex')
}
