import { Buffer } from 'node:buffer'

/** Size of the buffers into which small pieces of a body of unknown size are copied, in bytes. */
const BLOCK_BYTES = 64 * 1024

/** Smallest share of the buffer behind a piece from which the piece is kept as it is. */
const MIN_KEPT_SHARE = 0.5

/**
 * Joins received pieces. Small pieces are copied as they arrive, since a view of a piece costs an object and keeps the
 * buffer that it was read into. The operating system provides the memory of a large buffer as it is filled.
 *
 * Memory: the expected bytes; when their number is not known, up to twice the bytes received, plus `BLOCK_BYTES`.
 */
export class ByteCollector {
  /** Full buffers, of which the last may be filled in part. */
  private readonly _blocks: Buffer[] = []
  /** Bytes used of the last block; it takes no more pieces when they are all. */
  private _lastUsed = 0
  private _length = 0

  /**
   * @param expectedBytes Number of bytes to come; undefined when not known.
   */
  public constructor (expectedBytes?: number) {
    if (expectedBytes !== undefined) this._blocks.push(Buffer.allocUnsafeSlow(expectedBytes))
  }

  /** Number of bytes received. */
  public get length (): number {
    return this._length
  }

  /** Adds a piece, which must not change from now on. */
  public add (piece: Uint8Array): void {
    let rest = Buffer.from(piece.buffer, piece.byteOffset, piece.length)
    this._length += piece.length
    const last = this._blocks.at(-1)
    if (last !== undefined) {
      const copied = rest.copy(last, this._lastUsed)
      this._lastUsed += copied
      rest = rest.subarray(copied)
    }
    if (rest.length === 0) return
    const isKept = rest.length >= MIN_KEPT_SHARE * Math.max(BLOCK_BYTES, rest.buffer.byteLength)
    const block = isKept ? rest : Buffer.allocUnsafeSlow(Math.max(BLOCK_BYTES, rest.length))
    if (!isKept) rest.copy(block)
    this._blocks.push(block)
    this._lastUsed = rest.length
  }

  /** Returns all bytes received, in one buffer; pieces that are added later may not show in it. */
  public join (): Buffer {
    const [first] = this._blocks
    if (first === undefined) return Buffer.alloc(0)
    return this._blocks.length === 1 ? first.subarray(0, this._length) : Buffer.concat(this._blocks, this._length)
  }
}
