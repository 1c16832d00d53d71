import { Buffer } from 'node:buffer'
import { ByteCollector } from './ByteCollector.js'
import { FRAME_HEADER_BYTES } from './Constants.js'

/** Largest frame whose memory is taken when its length is known, in bytes; that of others as they arrive. */
const MAX_PREPARED_BYTES = 64 * 1024

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
  /** Received part of the length field, or of the frame once its length is known. */
  private _part: ByteCollector | undefined
  /** Length of the frame being received; -1 until its length field is complete. */
  private _frameLength = -1

  /**
   * @param _maxFrameBytes Bytes of the longest frame that is accepted, without its length field.
   */
  public constructor (private readonly _maxFrameBytes: number) {}

  /** Bytes of the frame being received that have not arrived yet; 0 between frames and before its length is known. */
  public get missingBytes (): number {
    return this._frameLength < 0 ? 0 : this._frameLength - this.incompleteBytes
  }

  /** Bytes held of a frame that is not complete. */
  public get incompleteBytes (): number {
    return this._part?.length ?? 0
  }

  /**
   * Adds received bytes and calls `onFrame` with each frame that is complete.
   * @throws FrameTooLong when a length field exceeds the limit.
   */
  public push (chunk: Buffer, onFrame: (frame: Buffer) => void): void {
    let rest = chunk
    for (;;) {
      const wanted = this._frameLength < 0 ? FRAME_HEADER_BYTES : this._frameLength
      const missing = wanted - this.incompleteBytes
      const piece = rest.subarray(0, missing)
      rest = rest.subarray(piece.length)
      if (piece.length < missing) {
        if (piece.length > 0) this._keep(piece, wanted)
        return
      }
      this._complete(this._join(piece, wanted), onFrame)
    }
  }

  private _keep (piece: Buffer, wanted: number): void {
    this._part ??= new ByteCollector(wanted <= MAX_PREPARED_BYTES ? wanted : undefined)
    this._part.add(piece)
  }

  /** Most frames arrive within one chunk; a view of it avoids a copy. */
  private _join (piece: Buffer, wanted: number): Buffer {
    if (this._part === undefined) return piece
    this._keep(piece, wanted)
    const whole = this._part.join()
    this._part = undefined
    return whole
  }

  private _complete (bytes: Buffer, onFrame: (frame: Buffer) => void): void {
    if (this._frameLength >= 0) {
      this._frameLength = -1
      return onFrame(bytes)
    }
    const length = bytes.readUInt32BE(0)
    if (length > this._maxFrameBytes) throw new FrameTooLong(length, this._maxFrameBytes)
    this._frameLength = length
  }
}
