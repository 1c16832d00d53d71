import { Buffer } from 'node:buffer'
import { FRAME_HEADER_BYTES } from './Constants.js'

/** Thrown when a peer announces a frame longer than the limit. */
export class FrameTooLong extends Error {
  public constructor (public readonly bytes: number, public readonly limit: number) {
    super(`frame of ${bytes} bytes is longer than the limit of ${limit} bytes`)
  }
}

/**
 * Cuts a byte stream into frames: a 4-byte big-endian length, then that many bytes.
 * Holds at most one incomplete frame.
 */
export class FrameDecoder {
  private chunks: Buffer[] = []
  private buffered = 0
  private wanted = -1

  /**
   * @param maxFrameBytes Longest frame that is accepted.
   */
  public constructor (private readonly maxFrameBytes: number) {}

  /**
   * Takes bytes as they come and calls `onFrame` with each whole frame.
   * @throws FrameTooLong when the announced length passes the limit.
   */
  public push (chunk: Buffer, onFrame: (frame: Buffer) => void): void {
    this.chunks.push(chunk)
    this.buffered += chunk.length
    while (this.readLength() && this.buffered >= this.wanted) {
      const frame = this.take(this.wanted)
      this.wanted = -1
      onFrame(frame)
    }
  }

  private readLength (): boolean {
    if (this.wanted >= 0) return true
    if (this.buffered < FRAME_HEADER_BYTES) return false
    this.wanted = this.take(FRAME_HEADER_BYTES).readUInt32BE(0)
    if (this.wanted > this.maxFrameBytes) throw new FrameTooLong(this.wanted, this.maxFrameBytes)
    return true
  }

  private take (length: number): Buffer {
    const first = this.chunks[0]
    // Most frames arrive whole in one chunk: a view of it saves the copy.
    if (first !== undefined && first.length >= length) {
      this.buffered -= length
      if (first.length === length) this.chunks.shift()
      else this.chunks[0] = first.subarray(length)
      return first.subarray(0, length)
    }
    const all = Buffer.concat(this.chunks, this.buffered)
    this.buffered -= length
    this.chunks = this.buffered > 0 ? [all.subarray(length)] : []
    return all.subarray(0, length)
  }
}
