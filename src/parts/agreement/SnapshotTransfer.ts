import type { ReplicaId } from '../Types.js'
import type { FollowerProgress, OutgoingSnapshot } from './FollowerProgress.js'
import type { ReplicaState } from './ReplicaState.js'
import type { Snapshot, SnapshotChunk } from './Types.js'

/** A snapshot that is being received. */
interface IncomingSnapshot {
  readonly from: ReplicaId
  readonly term: number
  readonly index: number
  readonly chunks: Uint8Array[]
  bytes: number
}

/** Heartbeat intervals without a reply after which a chunk is sent again. */
const RESEND_AFTER_HEARTBEATS = 4

/**
 * Sends the newest snapshot in chunks to followers that lack entries which the log no longer holds, and receives
 * snapshots from a leader.
 *
 * Memory: at a leader at most one older snapshot for each follower that it sends to; at a follower one incomplete
 * snapshot.
 */
export class SnapshotTransfer {
  private _incoming: IncomingSnapshot | undefined

  /**
   * @param _state State shared by the modules of the replica.
   */
  public constructor (private readonly _state: ReplicaState) {}

  /**
   * Sends the chunk that a follower needs next, or asks for its offset while a chunk is in flight.
   * @param to The follower.
   * @param progress Replication state of the follower.
   * @param round The leader's read round.
   */
  public send (to: ReplicaId, progress: FollowerProgress, round: number): void {
    const { log, nowMs, timing } = this._state
    progress.outgoingSnapshot ??= { snapshot: log.snapshot, offset: 0, sentAtMs: undefined }
    const { outgoingSnapshot: outgoing } = progress
    const isDue = outgoing.sentAtMs === undefined ||
      nowMs - outgoing.sentAtMs >= RESEND_AFTER_HEARTBEATS * timing.heartbeatMs
    if (isDue) outgoing.sentAtMs = nowMs
    this._sendChunk(to, outgoing, round, isDue ? this._state.limits.snapshotChunkBytes : 0)
  }

  /**
   * Handles a follower's reply to a chunk and sends the next one if the offset has moved.
   * @param to The follower.
   * @param progress Replication state of the follower.
   * @param index Index of the snapshot that it receives.
   * @param offset Byte offset that it needs next.
   * @param round The leader's read round.
   */
  public onReply (to: ReplicaId, progress: FollowerProgress, index: number, offset: number, round: number): void {
    const { outgoingSnapshot: outgoing } = progress
    if (outgoing === undefined || outgoing.snapshot.index !== index || outgoing.offset === offset) return
    outgoing.offset = offset
    outgoing.sentAtMs = this._state.nowMs
    this._sendChunk(to, outgoing, round, this._state.limits.snapshotChunkBytes)
  }

  /**
   * Handles a chunk of a leader's snapshot. The last chunk installs the snapshot; the reply to it is sent once the
   * snapshot is synced.
   * @param from The leader.
   * @param chunk A chunk of the current term.
   */
  public onChunk (from: ReplicaId, chunk: SnapshotChunk): void {
    const { commitIndex } = this._state
    if (chunk.index <= commitIndex) return this._replyMatch(from, chunk, commitIndex)
    if (chunk.totalBytes > this._state.limits.maxSnapshotBytes) return
    const incoming = this._incomingFor(from, chunk)
    if (chunk.offset === incoming.bytes && chunk.data.length > 0) {
      incoming.chunks.push(chunk.data)
      incoming.bytes += chunk.data.length
    }
    if (incoming.bytes < chunk.totalBytes) return this._replyOffset(from, chunk, incoming.bytes)
    this._finish(from, chunk, incoming)
  }

  private _incomingFor (from: ReplicaId, chunk: SnapshotChunk): IncomingSnapshot {
    const current = this._incoming
    const isCurrent = current !== undefined &&
      current.from === from && current.term === chunk.term && current.index === chunk.index
    if (isCurrent) return current
    this._incoming = { from, term: chunk.term, index: chunk.index, chunks: [], bytes: 0 }
    return this._incoming
  }

  private _finish (from: ReplicaId, chunk: SnapshotChunk, incoming: IncomingSnapshot): void {
    this._incoming = undefined
    const data = joinChunks(incoming.chunks, incoming.bytes)
    const snapshot: Snapshot = { index: chunk.index, term: chunk.snapshotTerm, members: chunk.members, data }
    this._state.restore(snapshot)
    this._state.setRole(this._state.isMember ? 'follower' : 'recovering', from)
    this._replyMatch(from, chunk, chunk.index)
  }

  private _replyMatch (to: ReplicaId, { round, sentAtMs }: SnapshotChunk, match: number): void {
    const { term } = this._state
    this._state.send(to, {
      type: 'appendReply', term, success: true, match, conflictIndex: 0, conflictTerm: -1, round, sentAtMs
    })
  }

  private _replyOffset (to: ReplicaId, { index, round, sentAtMs }: SnapshotChunk, offset: number): void {
    const { term } = this._state
    this._state.send(to, { type: 'snapshotReply', term, index, offset, round, sentAtMs })
  }

  private _sendChunk (to: ReplicaId, outgoing: OutgoingSnapshot, round: number, maxBytes: number): void {
    const { term, nowMs } = this._state
    const { snapshot, offset } = outgoing
    this._state.sendNow(to, {
      type: 'snapshot',
      term,
      index: snapshot.index,
      snapshotTerm: snapshot.term,
      members: snapshot.members,
      offset,
      totalBytes: snapshot.data.length,
      data: snapshot.data.subarray(offset, offset + maxBytes),
      round,
      sentAtMs: nowMs
    })
  }
}

function joinChunks (chunks: readonly Uint8Array[], bytes: number): Uint8Array {
  const joined = new Uint8Array(bytes)
  let offset = 0
  for (const chunk of chunks) {
    joined.set(chunk, offset)
    offset += chunk.length
  }
  return joined
}
