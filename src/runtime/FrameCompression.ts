import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { MAX_FRAME_BYTES } from './Constants.js'
import { decodeBody, encodeBody, encodeMessage, type EncodedMessage } from './FrameChannel.js'

/** A message of another type, compressed. */
export interface CompressedFrame {
  readonly type: 'compressed'
  readonly data: Uint8Array
}

/** Smallest encoded message that is compressed, in bytes; below, a slow link saves less time than compression takes. */
const MIN_COMPRESSED_BYTES = 4096

/** Encodes a message for `FrameChannel.sendEncoded`, in a `CompressedFrame` when it is large. */
export function encodeCompressed (message: object): EncodedMessage {
  const body = encodeBody(message)
  if (body.length < MIN_COMPRESSED_BYTES) return encodeMessage(message)
  return encodeMessage({ type: 'compressed', data: deflateRawSync(body) } satisfies CompressedFrame)
}

/**
 * Returns the message in a compressed frame.
 * @throws Error when the data is invalid, or larger than any message may be.
 */
export function decodeCompressed ({ data }: CompressedFrame): unknown {
  return decodeBody(inflateRawSync(data, { maxOutputLength: MAX_FRAME_BYTES }))
}
