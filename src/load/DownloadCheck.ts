import { DOWNLOAD_BLOCK_BYTES } from '../platform/DownloadBody.js'
import type { DownloadBody } from '../platform/DownloadBody.js'

/** Checks a body against what it must be while it arrives. Keeps one block. */
export class DownloadCheck {
  private readonly body: DownloadBody
  private received = 0
  private sound = true
  private expected: Buffer = Buffer.alloc(0)
  private expectedIndex = -1

  /**
   * @param body What must arrive.
   */
  public constructor (body: DownloadBody) {
    this.body = body
  }

  /**
   * Takes the next bytes.
   * @param chunk Bytes in the order of the body.
   */
  public update (chunk: Uint8Array): void {
    let offset = 0
    while (offset < chunk.length && this.sound) {
      const inBlock = this.received % DOWNLOAD_BLOCK_BYTES
      const expected = this.blockAt(Math.floor(this.received / DOWNLOAD_BLOCK_BYTES))
      const length = Math.min(chunk.length - offset, expected.length - inBlock)
      const wanted = expected.subarray(inBlock, inBlock + length)
      this.sound = length > 0 && wanted.equals(chunk.subarray(offset, offset + length))
      this.received += length
      offset += length
    }
  }

  /** Whether exactly the whole body has arrived. */
  public get whole (): boolean {
    return this.sound && this.received === this.body.length
  }

  private blockAt (index: number): Buffer {
    if (index !== this.expectedIndex) {
      this.expectedIndex = index
      this.expected = index < this.body.blocks ? this.body.block(index) : Buffer.alloc(0)
    }
    return this.expected
  }
}
