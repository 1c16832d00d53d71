/** Polynomial of IEEE 802.3, bits reversed. */
const POLYNOMIAL = 0xedb88320

/** CRC of each value of one byte. */
const TABLE = makeTable()

/**
 * Returns the CRC-32 (IEEE 802.3) of some bytes.
 * @param bytes The bytes.
 * @param start Checksum of the bytes before them, to continue from; 0 when there are none.
 */
export function crc32 (bytes: Uint8Array, start = 0): number {
  let crc = ~start
  for (let index = 0; index < bytes.length; index++) {
    crc = TABLE[(crc ^ bytes[index]!) & 0xff]! ^ (crc >>> 8)
  }
  return ~crc >>> 0
}

function makeTable (): Uint32Array {
  const table = new Uint32Array(256)
  for (let value = 0; value < 256; value++) {
    let crc = value
    for (let bit = 0; bit < 8; bit++) crc = (crc & 1) === 1 ? (crc >>> 1) ^ POLYNOMIAL : crc >>> 1
    table[value] = crc
  }
  return table
}
