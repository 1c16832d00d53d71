const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Returns a 32-bit hash of a text (FNV-1a with a final avalanche). It distributes texts evenly but does not withstand
 * an attacker who chooses them.
 * @param salt Number that gives users of the same texts different hashes.
 * @param text Any text.
 */
export function hashText (salt: number, text: string): number {
  let hash = FNV_OFFSET ^ salt
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
