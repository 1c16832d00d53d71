import type { CallId, Part } from '../Types.js'
import { CHUNK_BYTES, MAX_WINDOW_CHUNKS, WINDOW_GROWTH_BELOW_MS, WINDOW_SHRINK_ABOVE_MS } from './Constants.js'
import type { ChunkAction, ChunkEvent } from './Types.js'

/** Progress of one body. */
interface OpenBody {
  readonly bytes: number
  sentBytes: number
}

/** A chunk that is under way. */
interface SentChunk {
  readonly sentAtMs: number
  readonly bytes: number
}

/**
 * Flow control window of one direction of a link: decides when the next chunk of which body is sent. The bodies on the
 * link share the window and take turns. A receiver acknowledges every chunk in the order of arrival, also those of
 * bodies that it does not need any more.
 *
 * Frames that are sent between chunks wait for the chunks before them, so no more chunks are under way than the link
 * carries in a short time: the window begins with one chunk, grows while acknowledgements return quickly, and shrinks
 * when they don't.
 *
 * Memory: two numbers for each open body and for each chunk in the window.
 */
export class ChunkWindow implements Part<ChunkEvent, ChunkAction> {
  /** In the order of their turns. */
  private readonly _bodies = new Map<CallId, OpenBody>()
  /** Unacknowledged chunks, oldest first. */
  private readonly _chunks: SentChunk[] = []
  private _limit = 1

  /** Number of bodies that are not sent completely. */
  public get openCount (): number {
    return this._bodies.size
  }

  /** @inheritdoc */
  public step (event: ChunkEvent, nowMs: number): ChunkAction[] {
    if (event.type === 'opened') this._bodies.set(event.id, { bytes: event.bytes, sentBytes: 0 })
    if (event.type === 'closed') this._bodies.delete(event.id)
    if (event.type === 'acknowledged') this._acknowledge(nowMs)
    const actions: ChunkAction[] = []
    while (this._chunks.length < this._limit && this._bodies.size > 0) actions.push(this._sendNext(nowMs))
    return actions
  }

  private _acknowledge (nowMs: number): void {
    const chunk = this._chunks.shift()
    if (chunk === undefined) return
    const tookMs = nowMs - chunk.sentAtMs
    // A short chunk takes little time on any link.
    const isQuick = chunk.bytes === CHUNK_BYTES && tookMs < WINDOW_GROWTH_BELOW_MS
    if (isQuick) this._limit = Math.min(MAX_WINDOW_CHUNKS, this._limit + 1)
    if (tookMs > WINDOW_SHRINK_ABOVE_MS) this._limit = Math.max(1, this._limit - 1)
  }

  private _sendNext (nowMs: number): ChunkAction {
    const [id, body] = this._bodies.entries().next().value as [CallId, OpenBody]
    const start = body.sentBytes
    const end = Math.min(body.bytes, start + CHUNK_BYTES)
    body.sentBytes = end
    this._bodies.delete(id)
    if (end < body.bytes) this._bodies.set(id, body)
    this._chunks.push({ sentAtMs: nowMs, bytes: end - start })
    return { type: 'send', id, start, end, isLast: end === body.bytes }
  }
}
