import { Buffer } from 'node:buffer'
import { FRAME_HEADER_BYTES } from './Constants.js'

/** Thrown when the length field of a frame exceeds the limit. */
export class FrameTooLong extends Error {
  public constructor (public readonly bytes: number, public readonly limit: number) {
    super(`frame of ${bytes} bytes is longer than the limit of ${limit} bytes`)
  }
}

/**
 * Splits a byte stream into frames: a 4-byte big-endian length, then that many bytes.
 *
 * Memory: at most one incomplete frame between calls.
 */
export class FrameDecoder {
  private _chunks: Buffer[] = []
  private _bufferedBytes = 0
  /** Length of the frame being received; -1 until its length field is complete. */
  private _frameLength = -1

  /**
   * @param _maxFrameBytes Bytes of the longest frame that is accepted, without its length field.
   */
  public constructor (private readonly _maxFrameBytes: number) {}

  /** Bytes of the frame being received that have not arrived yet; 0 between frames and before its length is known. */
  public get missingBytes (): number {
    return Math.max(0, this._frameLength - this._bufferedBytes)
  }

  /**
   * Adds received bytes and calls `onFrame` with each frame that is complete.
   * @throws FrameTooLong when a length field exceeds the limit.
   */
  public push (chunk: Buffer, onFrame: (frame: Buffer) => void): void {
    this._chunks.push(chunk)
    this._bufferedBytes += chunk.length
    while (this._readLength() && this._bufferedBytes >= this._frameLength) {
      const frame = this._take(this._frameLength)
      this._frameLength = -1
      onFrame(frame)
    }
  }

  private _readLength (): boolean {
    if (this._frameLength >= 0) return true
    if (this._bufferedBytes < FRAME_HEADER_BYTES) return false
    this._frameLength = this._take(FRAME_HEADER_BYTES).readUInt32BE(0)
    if (this._frameLength > this._maxFrameBytes) throw new FrameTooLong(this._frameLength, this._maxFrameBytes)
    return true
  }

  private _take (length: number): Buffer {
    const first = this._chunks[0]
    // Most frames arrive within one chunk; a view of it avoids a copy.
    if (first !== undefined && first.length >= length) {
      this._bufferedBytes -= length
      if (first.length === length) this._chunks.shift()
      else this._chunks[0] = first.subarray(length)
      return first.subarray(0, length)
    }
    const joined = Buffer.concat(this._chunks, this._bufferedBytes)
    this._bufferedBytes -= length
    this._chunks = this._bufferedBytes > 0 ? [joined.subarray(length)] : []
    return joined.subarray(0, length)
  }
}
