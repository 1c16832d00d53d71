import { DOWNLOAD_BLOCK_BYTES } from '../runtime/DownloadBody.js'
import type { DownloadBody } from '../runtime/DownloadBody.js'

/** Checks a body against what it must be while it arrives. Keeps one block. */
export class DownloadCheck {
  private readonly _body: DownloadBody
  private _received = 0
  private _sound = true
  private _expected: Buffer = Buffer.alloc(0)
  private _expectedIndex = -1

  /**
   * @param body What must arrive.
   */
  public constructor (body: DownloadBody) {
    this._body = body
  }

  /**
   * Takes the next bytes.
   * @param chunk Bytes in the order of the body.
   */
  public update (chunk: Uint8Array): void {
    let offset = 0
    while (offset < chunk.length && this._sound) {
      const inBlock = this._received % DOWNLOAD_BLOCK_BYTES
      const expected = this._blockAt(Math.floor(this._received / DOWNLOAD_BLOCK_BYTES))
      const length = Math.min(chunk.length - offset, expected.length - inBlock)
      const wanted = expected.subarray(inBlock, inBlock + length)
      this._sound = length > 0 && wanted.equals(chunk.subarray(offset, offset + length))
      this._received += length
      offset += length
    }
  }

  /** Whether exactly the whole body has arrived. */
  public get whole (): boolean {
    return this._sound && this._received === this._body.length
  }

  private _blockAt (index: number): Buffer {
    if (index !== this._expectedIndex) {
      this._expectedIndex = index
      this._expected = index < this._body.blockCount ? this._body.block(index) : Buffer.alloc(0)
    }
    return this._expected
  }
}
