import type { ReplicaId } from '../Types.js'
import type { Progress, Transfer } from './Progress.js'
import type { ReplicaState } from './ReplicaState.js'
import type { Snapshot, SnapshotPart } from './Types.js'

/** A snapshot that is being received. */
interface Assembly {
  readonly from: ReplicaId
  readonly term: number
  readonly index: number
  readonly parts: Uint8Array[]
  bytes: number
}

/** Heartbeats without an answer after which a part is sent again. */
const RESEND_HEARTBEATS = 4

/**
 * Sends the newest snapshot in parts to followers that lack entries which the log no longer holds, and
 * receives one. A leader holds at most one older snapshot for each follower that it sends to; a
 * follower holds one unfinished snapshot.
 */
export class SnapshotTransfer {
  private _assembly: Assembly | undefined

  /**
   * @param _state Shared state.
   */
  public constructor (private readonly _state: ReplicaState) {}

  /**
   * Sends the part that a follower wants, or asks how far it has come while a part is on its way.
   * @param to The follower.
   * @param progress What is known of it.
   * @param round The leader's read round.
   */
  public send (to: ReplicaId, progress: Progress, round: number): void {
    const { log, nowMs, timing } = this._state
    progress.transfer ??= { snapshot: log.snapshot, offset: 0, sentMs: undefined }
    const { transfer } = progress
    const due = transfer.sentMs === undefined || nowMs - transfer.sentMs >= RESEND_HEARTBEATS * timing.heartbeatMs
    if (due) transfer.sentMs = nowMs
    this._sendPart(to, transfer, round, due ? this._state.limits.snapshotChunkBytes : 0)
  }

  /**
   * Takes a follower's wish for the next part.
   * @param to The follower.
   * @param progress What is known of it.
   * @param index Index of the snapshot that it receives.
   * @param offset Byte that it wants next.
   * @param round The leader's read round.
   */
  public advance (to: ReplicaId, progress: Progress, index: number, offset: number, round: number): void {
    const { transfer } = progress
    if (transfer === undefined || transfer.snapshot.index !== index || transfer.offset === offset) return
    transfer.offset = offset
    transfer.sentMs = this._state.nowMs
    this._sendPart(to, transfer, round, this._state.limits.snapshotChunkBytes)
  }

  /**
   * Takes a part of a leader's snapshot. The last one puts it in force; the answer to that goes out
   * once it is synced.
   * @param from The leader.
   * @param part The part, of the current term.
   */
  public onPart (from: ReplicaId, part: SnapshotPart): void {
    const { commitIndex } = this._state
    if (part.index <= commitIndex) return this._answerMatch(from, part, commitIndex)
    if (part.totalBytes > this._state.limits.maxSnapshotBytes) return
    const assembly = this._assemblyFor(from, part)
    if (part.offset === assembly.bytes && part.data.length > 0) {
      assembly.parts.push(part.data)
      assembly.bytes += part.data.length
    }
    if (assembly.bytes < part.totalBytes) return this._answerOffset(from, part, assembly.bytes)
    this._finish(from, part, assembly)
  }

  private _assemblyFor (from: ReplicaId, part: SnapshotPart): Assembly {
    const current = this._assembly
    const same = current !== undefined &&
      current.from === from && current.term === part.term && current.index === part.index
    if (same) return current
    this._assembly = { from, term: part.term, index: part.index, parts: [], bytes: 0 }
    return this._assembly
  }

  private _finish (from: ReplicaId, part: SnapshotPart, assembly: Assembly): void {
    this._assembly = undefined
    const data = joinParts(assembly.parts, assembly.bytes)
    const snapshot: Snapshot = { index: part.index, term: part.snapshotTerm, members: part.members, data }
    this._state.restore(snapshot)
    this._state.become(this._state.isMember ? 'follower' : 'recovering', from)
    this._answerMatch(from, part, part.index)
  }

  private _answerMatch (to: ReplicaId, { round, sentAtMs }: SnapshotPart, match: number): void {
    const { term } = this._state
    this._state.send(to, {
      type: 'appendReply', term, success: true, match, conflictIndex: 0, conflictTerm: -1, round, sentAtMs
    })
  }

  private _answerOffset (to: ReplicaId, { index, round, sentAtMs }: SnapshotPart, offset: number): void {
    const { term } = this._state
    this._state.send(to, { type: 'snapshotReply', term, index, offset, round, sentAtMs })
  }

  private _sendPart (to: ReplicaId, transfer: Transfer, round: number, maxBytes: number): void {
    const { term, nowMs } = this._state
    const { snapshot, offset } = transfer
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

function joinParts (parts: readonly Uint8Array[], bytes: number): Uint8Array {
  const joined = new Uint8Array(bytes)
  let offset = 0
  for (const part of parts) {
    joined.set(part, offset)
    offset += part.length
  }
  return joined
}
