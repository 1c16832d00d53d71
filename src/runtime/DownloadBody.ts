/** Deterministic bodies of test downloads: both ends can compute them, so that each byte can be checked. */
import { createHash } from 'node:crypto'

/** Bytes of each block of a body, except the last one, which may be shorter. */
export const DOWNLOAD_BLOCK_BYTES = 65_536

/** Bytes at the start of each block that hold the seed, the index of the block and zeros. */
const BLOCK_HEADER_BYTES = 16
const FILLER = createFiller()

/** The body of one download, computed from its length and its seed. */
export class DownloadBody {
  public readonly length: number
  private readonly _seed: number

  /**
   * @param length Length in bytes.
   * @param seed Whole number below 2^32; bodies with different seeds differ in each block.
   */
  public constructor (length: number, seed: number) {
    this.length = length
    this._seed = seed >>> 0
  }

  /**
   * Returns the bytes of one block; the last one may be shorter.
   * @param index Index of the block, from 0.
   */
  public block (index: number): Buffer {
    const start = index * DOWNLOAD_BLOCK_BYTES
    const bytes = Buffer.from(FILLER.subarray(0, Math.min(DOWNLOAD_BLOCK_BYTES, this.length - start)))
    const header = Buffer.alloc(BLOCK_HEADER_BYTES)
    header.writeUInt32BE(this._seed, 0)
    header.writeUInt32BE(index, 4)
    header.copy(bytes)
    return bytes
  }

  /** Number of blocks. */
  public get blockCount (): number {
    return Math.ceil(this.length / DOWNLOAD_BLOCK_BYTES)
  }

  /** SHA-256 of the body, in the format of the `Repr-Digest` header. */
  public digest (): string {
    const hash = createHash('sha256')
    for (let index = 0; index < this.blockCount; index++) hash.update(this.block(index))
    return `sha-256=:${hash.digest('base64')}:`
  }
}

function createFiller (): Buffer {
  const bytes = Buffer.alloc(DOWNLOAD_BLOCK_BYTES)
  let state = 0x9e3779b9
  for (let offset = 0; offset < bytes.length; offset += 4) {
    // xorshift32; any fixed sequence without short cycles would serve.
    state ^= state << 13
    state ^= state >>> 17
    state ^= state << 5
    bytes.writeInt32BE(state | 0, offset)
  }
  return bytes
}
