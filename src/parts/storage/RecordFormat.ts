import { Encoder } from 'cbor-x'
import { crc32 } from './Checksum.js'
import { FILE_HEADER_BYTES, FORMAT_VERSION, MAX_RECORD_BODY_BYTES, RECORD_HEADER_BYTES } from './Constants.js'

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true })

const TEXT_ENCODER = new TextEncoder()
const TEXT_DECODER = new TextDecoder()

/** One record as found in a file. */
export interface DecodedRecord<Body> {
  readonly body: Body
  readonly batch: number
  /** Offset of the byte after it. */
  readonly end: number
}

/**
 * Encodes a file's header.
 * @param magic Eight letters that tell the kind of file.
 */
export function encodeHeader (magic: string): Uint8Array {
  const bytes = new Uint8Array(FILE_HEADER_BYTES)
  const view = new DataView(bytes.buffer)
  bytes.set(TEXT_ENCODER.encode(magic))
  view.setUint32(8, FORMAT_VERSION)
  view.setUint32(12, crc32(bytes.subarray(0, 12)))
  return bytes
}

/**
 * Checks a file's header.
 * @param bytes The file.
 * @param magic Letters that it must start with.
 * @returns What is wrong with it, or undefined.
 */
export function checkHeader (bytes: Uint8Array, magic: string): string | undefined {
  if (bytes.length < FILE_HEADER_BYTES) return 'the header is cut short'
  const view = createDataView(bytes)
  if (view.getUint32(12) !== crc32(bytes.subarray(0, 12))) return 'the header does not match its checksum'
  if (TEXT_DECODER.decode(bytes.subarray(0, 8)) !== magic) return 'the file is of another kind'
  const version = view.getUint32(8)
  return version === FORMAT_VERSION ? undefined : `format version ${version} is not known`
}

/**
 * Encodes one record: length of the body, checksum of batch and body, batch, body.
 * @param body What it holds.
 * @param batch Number of the batch that is synced together.
 */
export function encodeRecord (body: unknown, batch: number): Uint8Array {
  const encoded = CODEC.encode(body)
  const bytes = new Uint8Array(RECORD_HEADER_BYTES + encoded.length)
  const view = new DataView(bytes.buffer)
  bytes.set(encoded, RECORD_HEADER_BYTES)
  view.setUint32(0, encoded.length)
  view.setUint32(8, batch)
  view.setUint32(4, crc32(bytes.subarray(8)))
  return bytes
}

/**
 * Decodes the record at an offset.
 * @param bytes The file.
 * @param offset Where the record starts.
 * @returns The record, or undefined when there is no whole and sound one.
 */
export function decodeRecord<Body> (bytes: Uint8Array, offset: number): DecodedRecord<Body> | undefined {
  const view = createDataView(bytes)
  if (offset + RECORD_HEADER_BYTES > bytes.length) return undefined
  const length = view.getUint32(offset)
  const end = offset + RECORD_HEADER_BYTES + length
  if (length === 0 || length > MAX_RECORD_BODY_BYTES || end > bytes.length) return undefined
  if (view.getUint32(offset + 4) !== crc32(bytes.subarray(offset + 8, end))) return undefined
  const body = CODEC.decode(bytes.subarray(offset + RECORD_HEADER_BYTES, end)) as Body
  return { body, batch: view.getUint32(offset + 8), end }
}

/**
 * Tells whether a sound record of a later batch follows a place that is not sound. A batch is written
 * only after the one before it is synced, so that the place was synced and has been damaged since.
 * @param bytes The file.
 * @param from Where the search starts.
 * @param batch Last batch found sound.
 */
export function hasLaterBatch (bytes: Uint8Array, from: number, batch: number): boolean {
  const view = createDataView(bytes)
  for (let offset = from + 1; offset + RECORD_HEADER_BYTES <= bytes.length; offset++) {
    const foundBatch = view.getUint32(offset + 8)
    if (foundBatch <= batch + 1 || foundBatch > batch + bytes.length) continue
    if (decodeRecord(bytes, offset) !== undefined) return true
  }
  return false
}

function createDataView (bytes: Uint8Array): DataView {
  return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
