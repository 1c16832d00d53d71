/** Bodies of downloads that both ends can compute, so that each byte can be checked. */
import { createHash } from 'node:crypto'

/** Length of the blocks that a body is made of. */
export const DOWNLOAD_BLOCK_BYTES = 65_536

const BLOCK_HEADER_BYTES = 16
const FILLER = createFiller()

/** The body of one download: its bytes follow from its length and its seed. */
export class DownloadBody {
  public readonly length: number
  private readonly _seed: number

  /**
   * @param length Length in bytes.
   * @param seed Whole number below 2^32; bodies of other seeds differ in each block.
   */
  public constructor (length: number, seed: number) {
    this.length = length
    this._seed = seed >>> 0
  }

  /**
   * Returns the bytes of one block; the last one may be shorter.
   * @param index Number of the block, from 0.
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

  /** SHA-256 of the whole body in the form of the `Repr-Digest` header. */
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
    // xorshift32: any fixed sequence without short repeats will do.
    state ^= state << 13
    state ^= state >>> 17
    state ^= state << 5
    bytes.writeInt32BE(state | 0, offset)
  }
  return bytes
}
