import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import { DOWNLOAD_BLOCK_BYTES, DownloadBody } from '../runtime/DownloadBody.js'
import type { RequestRun } from './RequestRun.js'

const MAX_DOWNLOAD_BYTES = 4 * 1024 ** 3
/** Longer bodies carry no digest, because it takes a pass over all bytes before the first is sent. */
const MAX_DIGESTED_BYTES = 64 * 1024 ** 2
const POLL_MS = 20

/** Answers `GET /downloads/SIZE?rate=BYTES_PER_S&seed=N` at a limited rate with a reproducible body. */
export class DownloadEndpoint {
  private readonly _isSilent: (run: RequestRun) => boolean

  /**
   * @param isSilent Whether the connection of a run was made silent and must send nothing more.
   */
  public constructor (isSilent: (run: RequestRun) => boolean) {
    this._isSilent = isSilent
  }

  /**
   * Sends the body, until its end or a disconnect of the client.
   * @param run The request.
   * @returns The status that was sent.
   */
  public async send (run: RequestRun): Promise<number> {
    const size = Number(run.segments[1])
    const rate = Number(run.url.searchParams.get('rate') ?? 0)
    const seed = Number(run.url.searchParams.get('seed') ?? 0)
    const valid = Number.isSafeInteger(size) && size >= 0 && size <= MAX_DOWNLOAD_BYTES && rate >= 0 && seed >= 0
    if (!valid) {
      run.answer(400, { problem: 'expected /downloads/SIZE?rate=BYTES_PER_S&seed=N with whole numbers' })
      return 400
    }
    const body = new DownloadBody(size, seed)
    run.response.writeHead(200, buildHeaders(body, seed))
    await this._sendBlocks(run, body, rate)
    return 200
  }

  private async _sendBlocks (run: RequestRun, body: DownloadBody, rate: number): Promise<void> {
    const startedAt = performance.now()
    for (let index = 0; index < body.blockCount && !run.cancelled.aborted; index++) {
      const dueMs = rate === 0 ? 0 : startedAt + index * DOWNLOAD_BLOCK_BYTES / rate * 1000
      await this._waitUntil(dueMs, run)
      if (!run.response.write(body.block(index))) await waitForDrain(run)
    }
    if (!run.cancelled.aborted) run.response.end()
  }

  private async _waitUntil (dueMs: number, run: RequestRun): Promise<void> {
    while (!run.cancelled.aborted && (performance.now() < dueMs || this._isSilent(run))) await delay(POLL_MS)
  }
}

function buildHeaders (body: DownloadBody, seed: number): Record<string, string | number> {
  const headers = {
    'content-type': 'application/octet-stream',
    'content-length': body.length,
    'x-body-seed': seed
  }
  return body.length <= MAX_DIGESTED_BYTES ? { ...headers, 'repr-digest': body.digest() } : headers
}

async function waitForDrain (run: RequestRun): Promise<void> {
  try {
    await once(run.response, 'drain', { signal: run.cancelled })
  } catch {
    // The client disconnected; the loop in _sendBlocks checks for that.
  }
}
