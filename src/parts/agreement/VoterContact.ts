import type { ReplicaId } from '../Types.js'
import type { Role } from './Types.js'

/** Delay of a check above which this process counts as having been paused, in milliseconds: it has heard nobody. */
const PAUSE_MS = 500

/** Delay of a check above which frames may wait unread at this process, in milliseconds. */
const LATE_CHECK_MS = 250

/**
 * Time for which a member must have left the messages of this leader unanswered until its silence counts, in
 * milliseconds: two heartbeats. A leader that has just been elected has been sent nothing before.
 */
const UNANSWERED_MS = 200

/**
 * When the other replicas were last heard, and since when their silence says something about them.
 *
 * The former leader is silent from its last frame on: an election shows that a quorum has not heard it either. The
 * other members send to their leader only, so their silence begins when the former leader was given up.
 *
 * Memory: one time for each replica that was heard.
 */
export class VoterContact {
  private readonly _lastHeardMs = new Map<ReplicaId, number>()
  private _checkedMs: number
  /** When a leader was last known, and the last one that is another replica. */
  private _leaderKnownMs: number
  private _formerLeader: ReplicaId | undefined
  /** Since when this replica leads; undefined while it doesn't. */
  private _leadsSinceMs: number | undefined
  /** When the last pause of this process ended, and when its last late check was. */
  private _pausedUntilMs: number
  private _lateUntilMs: number
  /** Time before which silence of a member that was not the former leader says nothing about it. */
  private _silenceFromMs: number

  /** @param nowMs Monotonic time in milliseconds. */
  public constructor (nowMs: number) {
    this._checkedMs = this._leaderKnownMs = this._pausedUntilMs = this._lateUntilMs = this._silenceFromMs = nowMs
  }

  /** True while this replica leads, as of the last check. */
  public get isLeading (): boolean {
    return this._leadsSinceMs !== undefined
  }

  /** Records that a frame was received from a replica. */
  public recordFrame (from: ReplicaId, nowMs: number): void {
    this._lastHeardMs.set(from, nowMs)
  }

  /**
   * Records the state of this replica at a periodic check.
   * @param self This replica.
   * @param leader The leader that it knows.
   * @param nowMs Monotonic time in milliseconds.
   */
  public check (self: ReplicaId, role: Role, leader: ReplicaId | undefined, nowMs: number): void {
    const delayMs = nowMs - this._checkedMs
    if (delayMs > LATE_CHECK_MS) this._lateUntilMs = nowMs
    if (delayMs > PAUSE_MS) this._pausedUntilMs = this._silenceFromMs = nowMs
    this._checkedMs = nowMs
    if (role !== 'leader') this._leadsSinceMs = undefined
    else if (this._leadsSinceMs === undefined) {
      this._leadsSinceMs = nowMs
      this._silenceFromMs = Math.max(this._silenceFromMs, this._leaderKnownMs)
    }
    if (leader === undefined) return
    this._leaderKnownMs = nowMs
    if (leader !== self) this._formerLeader = leader
  }

  /** Milliseconds since a leader was last known. */
  public leaderlessMs (nowMs: number): number {
    return nowMs - this._leaderKnownMs
  }

  /** Milliseconds since the last frame of a replica; infinite if there was none. */
  public unheardMs (replica: ReplicaId, nowMs: number): number {
    return nowMs - (this._lastHeardMs.get(replica) ?? -Infinity)
  }

  /**
   * Milliseconds for which a member has been silent although it should have answered this leader; 0 while its silence
   * says nothing about it, and at other replicas.
   */
  public silenceMs (member: ReplicaId, nowMs: number): number {
    if (this._leadsSinceMs === undefined) return 0
    const unheardMs = this.unheardMs(member, nowMs)
    if (Math.min(unheardMs, nowMs - Math.max(this._leadsSinceMs, this._lateUntilMs)) < UNANSWERED_MS) return 0
    const fromMs = member === this._formerLeader ? this._pausedUntilMs : this._silenceFromMs
    return Math.min(unheardMs, nowMs - fromMs)
  }
}
