import { DOWNLOAD_BLOCK_BYTES } from '../runtime/DownloadBody.js'
import type { DownloadBody } from '../runtime/DownloadBody.js'

/** Compares a download with its expected body while it arrives. Holds one block in memory. */
export class DownloadCheck {
  private readonly _body: DownloadBody
  private _received = 0
  private _matches = true
  private _block: Buffer = Buffer.alloc(0)
  private _blockIndex = -1

  /**
   * @param body The expected body.
   */
  public constructor (body: DownloadBody) {
    this._body = body
  }

  /**
   * Compares the next bytes of the body.
   * @param chunk The bytes; chunks are passed in order.
   */
  public update (chunk: Uint8Array): void {
    let offset = 0
    while (offset < chunk.length && this._matches) {
      const blockOffset = this._received % DOWNLOAD_BLOCK_BYTES
      const block = this._blockAt(Math.floor(this._received / DOWNLOAD_BLOCK_BYTES))
      const length = Math.min(chunk.length - offset, block.length - blockOffset)
      const expected = block.subarray(blockOffset, blockOffset + length)
      this._matches = length > 0 && expected.equals(chunk.subarray(offset, offset + length))
      this._received += length
      offset += length
    }
  }

  /** Whether the complete body has arrived, unaltered and without any byte after its end. */
  public get isComplete (): boolean {
    return this._matches && this._received === this._body.length
  }

  private _blockAt (index: number): Buffer {
    if (index !== this._blockIndex) {
      this._blockIndex = index
      this._block = index < this._body.blockCount ? this._body.block(index) : Buffer.alloc(0)
    }
    return this._block
  }
}
