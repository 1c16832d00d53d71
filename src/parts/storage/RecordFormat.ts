import { Encoder } from 'cbor-x'
import { crc32 } from './Checksum.js'
import { FILE_HEADER_BYTES, FORMAT_VERSION, MAX_RECORD_BODY_BYTES, RECORD_HEADER_BYTES } from './Constants.js'

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true })

const TEXT_ENCODER = new TextEncoder()
const TEXT_DECODER = new TextDecoder()

/** One record as it was decoded from a file. */
export interface DecodedRecord<Body> {
  readonly body: Body
  /** Number of the batch that was synced together. */
  readonly batch: number
  /** Offset of the first byte after the record. */
  readonly end: number
}

/**
 * Encodes a file's header: magic, format version, checksum of both.
 * @param magic Eight letters that identify the kind of file.
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
 * @param bytes Content of the file.
 * @param magic Letters that the file must start with.
 * @returns The problem, or undefined for a valid header.
 */
export function checkHeader (bytes: Uint8Array, magic: string): string | undefined {
  if (bytes.length < FILE_HEADER_BYTES) return 'truncated header'
  const view = createDataView(bytes)
  if (view.getUint32(12) !== crc32(bytes.subarray(0, 12))) return 'wrong checksum of the header'
  if (TEXT_DECODER.decode(bytes.subarray(0, 8)) !== magic) return 'header of another kind of file'
  const version = view.getUint32(8)
  return version === FORMAT_VERSION ? undefined : `unknown format version ${version}`
}

/**
 * Encodes one record: length of the body, checksum of batch and body, batch, body.
 * @param body Content of the record; encoded as CBOR.
 * @param batch Number of the batch that the record is synced with.
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
 * @param bytes Content of the file.
 * @param offset Offset at which the record starts.
 * @returns The record, or undefined when it is incomplete or does not match its checksum.
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
 * Returns whether a valid record of a later batch follows an invalid one. A batch is written only after the one before
 * it is synced, so the invalid record was synced and is corrupt rather than torn. Record boundaries are lost after an
 * invalid record, so every offset is tried.
 * @param bytes Content of the file.
 * @param from Offset of the invalid record.
 * @param batch Batch of the last valid record before it.
 */
export function hasLaterBatch (bytes: Uint8Array, from: number, batch: number): boolean {
  const view = createDataView(bytes)
  for (let offset = from + 1; offset + RECORD_HEADER_BYTES <= bytes.length; offset++) {
    const foundBatch = view.getUint32(offset + 8)
    // The invalid record may itself belong to `batch + 1`, so only a later batch proves that it was synced. Each batch
    // has at least one byte, which bounds the possible numbers and avoids the checksum at most offsets.
    if (foundBatch <= batch + 1 || foundBatch > batch + bytes.length) continue
    if (decodeRecord(bytes, offset) !== undefined) return true
  }
  return false
}

function createDataView (bytes: Uint8Array): DataView {
  return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
