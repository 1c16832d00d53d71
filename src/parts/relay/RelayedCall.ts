import type { Part } from '../Types.js'
import { LINK_SHARE, RELAY_LIMIT_MS, REPLY_PATIENCE_MS, RETRY_INTERVAL_MS } from './Constants.js'
import type { ReplicaRanking } from './ReplicaRanking.js'
import type { RelayAction, RelayEvent, ReplyKind } from './Types.js'

type EventHandlers = {
  readonly [Type in RelayEvent['type']]: (event: Extract<RelayEvent, { type: Type }>, nowMs: number) => RelayAction[]
}

type ReplyHandlers = {
  readonly [Type in ReplyKind['type']]: (
    replica: string, reply: Extract<ReplyKind, { type: Type }>, nowMs: number
  ) => RelayAction[]
}

/**
 * Takes one operator's call to the replica that decides it: follows replicas to the leader, asks another one when a
 * replica is silent, and asks again while a leader is being elected. When all that reply have known no leader for long,
 * it gives up at once. A replica is never asked twice at the same time. The call must be one that may be decided twice
 * with the same result.
 *
 * A replica is silent while no byte of its reply arrives, after the time that the call itself takes on the link. The
 * call ends after `RELAY_LIMIT_MS` without progress, and at the latest after that time and those that the call and the
 * largest reply take on their share of the link. The body of an offered call is on its way to one replica at a time;
 * another one gets it only when that one is silent.
 *
 * Memory: one entry for each replica.
 */
export class RelayedCall implements Part<RelayEvent, RelayAction> {
  /** Replicas that were asked and have not replied, with the time since which they are silent. */
  private readonly _openSinceMs = new Map<string, number>()
  /** Replicas among those that have not been sent the body of the call, so that they can't decide it. */
  private readonly _bodiless = new Set<string>()
  /** Replicas among those that want the body while another one has it. */
  private readonly _wanting = new Set<string>()
  /** Replicas that are only asked with the body. */
  private readonly _refusedOffer = new Set<string>()
  private _isOffered = false
  /** When replicas that could not decide the call may be asked again. */
  private readonly _retryAtMs = new Map<string, number>()
  /** Replicas that have known no leader for long. */
  private readonly _leaderless = new Set<string>()
  /** Time that the call takes on its share of the link, in milliseconds. */
  private _callMoveMs = 0
  /** The same for a replica that can't read offers. */
  private _plainMoveMs = 0
  private _limitAtMs = 0
  /** End of the call when no reply is on its way. */
  private _baseLimitAtMs = 0
  private _hasEnded = false
  private _mayBeDecided = false

  private readonly _handlers: EventHandlers = {
    start: ({ moveMs = 0, isOffered = false, plainMoveMs = moveMs }, nowMs) => {
      this._isOffered = isOffered
      this._plainMoveMs = plainMoveMs / LINK_SHARE
      this._callMoveMs = moveMs / LINK_SHARE
      this._baseLimitAtMs = nowMs + this._callMoveMs + RELAY_LIMIT_MS
      this._limitAtMs = this._baseLimitAtMs
      return this._askNext(nowMs)
    },
    progress: ({ replica, moveMs }, nowMs) => {
      if (!this._openSinceMs.has(replica)) return []
      this._openSinceMs.set(replica, nowMs)
      this._ranking.recordReply(replica)
      const latestAtMs = this._baseLimitAtMs + moveMs / LINK_SHARE
      this._limitAtMs = Math.max(this._limitAtMs, Math.min(nowMs + RELAY_LIMIT_MS, latestAtMs))
      return [...this._dropOthers(replica), this._wakeAt(nowMs + REPLY_PATIENCE_MS)]
    },
    wanted: ({ replica }, nowMs) => {
      if (!this._bodiless.has(replica)) return []
      this._ranking.recordReply(replica)
      this._ranking.recordLeader(replica)
      this._wanting.add(replica)
      return this._carry(nowMs)
    },
    reply: ({ replica, reply }, nowMs) => {
      this._close(replica)
      this._leaderless.delete(replica)
      this._ranking.recordReply(replica)
      const handler = this._replyHandlers[reply.type] as
        (replica: string, reply: ReplyKind, nowMs: number) => RelayAction[]
      return handler(replica, reply, nowMs)
    },
    failed: ({ replica, wasSent, isOfferRefused = false }, nowMs) => {
      this._close(replica)
      if (wasSent) this._mayBeDecided = true
      if (isOfferRefused) {
        this._refusedOffer.add(replica)
        return this._askNext(nowMs)
      }
      this._ranking.recordSilence(replica, nowMs)
      return this._retryLater(replica, nowMs)
    },
    wake: (_event, nowMs) => nowMs < this._limitAtMs ? this._askNext(nowMs) : this._giveUp(nowMs)
  }

  private readonly _replyHandlers: ReplyHandlers = {
    final: replica => {
      this._ranking.recordLeader(replica)
      this._hasEnded = true
      return [{ type: 'deliver' }]
    },
    notLeader: (replica, { leader, isLeaderless }, nowMs) => {
      if (isLeaderless === true) this._leaderless.add(replica)
      if (leader !== undefined) this._ranking.recordLeader(leader)
      return this._retryLater(replica, nowMs)
    },
    undecided: (replica, { state }, nowMs) => {
      if (state === 'unknown') this._mayBeDecided = true
      return this._retryLater(replica, nowMs)
    }
  }

  /**
   * @param _listReplicas Returns the addresses of the replicas, those to prefer first.
   * @param _ranking Order of the replicas, shared by all calls.
   */
  public constructor (
    private readonly _listReplicas: () => readonly string[],
    private readonly _ranking: ReplicaRanking
  ) {}

  /** @inheritdoc */
  public step (event: RelayEvent, nowMs: number): RelayAction[] {
    if (this._hasEnded) return []
    const handler = this._handlers[event.type] as (event: RelayEvent, nowMs: number) => RelayAction[]
    return handler(event, nowMs)
  }

  private _retryLater (replica: string, nowMs: number): RelayAction[] {
    this._retryAtMs.set(replica, nowMs + RETRY_INTERVAL_MS)
    return this._askNext(nowMs)
  }

  /** Other replies would share the link with the one that is arriving; if it stops, the replicas are asked again. */
  private _dropOthers (replica: string): RelayAction[] {
    const others = [...this._openSinceMs.keys()].filter(other => other !== replica)
    for (const other of others) {
      if (!this._bodiless.has(other)) this._mayBeDecided = true
      this._close(other)
    }
    return others.map(other => ({ type: 'drop', replica: other }))
  }

  private _close (replica: string): void {
    this._openSinceMs.delete(replica)
    this._bodiless.delete(replica)
    this._wanting.delete(replica)
  }

  /** Sends the body to a replica that wants it, unless a reply of one that has it may still come soon. */
  private _carry (nowMs: number): RelayAction[] {
    const expectedByMs = this._awaitReplies(nowMs, true)
    if (expectedByMs !== undefined) return [this._wakeAt(expectedByMs)]
    const [replica] = this._wanting as Iterable<string> as [string]
    this._wanting.delete(replica)
    this._bodiless.delete(replica)
    this._openSinceMs.set(replica, nowMs + this._callMoveMs)
    return [{ type: 'carry', replica }, this._wakeAt(nowMs + this._callMoveMs + REPLY_PATIENCE_MS)]
  }

  /** Asks the next replica unless a reply may still come soon. */
  private _askNext (nowMs: number): RelayAction[] {
    if (this._wanting.size > 0) return this._carry(nowMs)
    const expectedByMs = this._awaitReplies(nowMs)
    if (expectedByMs !== undefined) return [this._wakeAt(expectedByMs)]
    const replicas = this._ranking.sort(this._listReplicas(), nowMs)
    const mayDecide = replicas.filter(replica => !this._leaderless.has(replica))
    const isHopeless = this._leaderless.size > 0 && mayDecide.every(replica => this._ranking.isSuspect(replica, nowMs))
    if (isHopeless) return this._giveUp(nowMs)
    const idle = replicas.filter(replica => !this._openSinceMs.has(replica))
    const next = idle.find(replica => (this._retryAtMs.get(replica) ?? 0) <= nowMs)
    if (next === undefined) {
      return [this._wakeAt(Math.min(...idle.map(replica => this._retryAtMs.get(replica) ?? nowMs)))]
    }
    // A suspect is asked only once all others have failed to decide, so nobody waits for its reply.
    const patienceMs = this._ranking.isSuspect(next, nowMs) ? RETRY_INTERVAL_MS : REPLY_PATIENCE_MS
    const isOffer = this._isOffered && !this._refusedOffer.has(next)
    const sinceMs = isOffer ? nowMs : nowMs + this._plainMoveMs
    if (isOffer) this._bodiless.add(next)
    else this._extendLimit(sinceMs + RELAY_LIMIT_MS)
    this._openSinceMs.set(next, sinceMs)
    return [{ type: 'ask', replica: next, isOffer }, this._wakeAt(sinceMs + patienceMs)]
  }

  /** The limit at the start is that of a compressed call; each replica that can't read offers takes longer, once. */
  private _extendLimit (atMs: number): void {
    if (!this._isOffered) return
    this._baseLimitAtMs = Math.max(this._baseLimitAtMs, atMs)
    this._limitAtMs = Math.max(this._limitAtMs, atMs)
  }

  /**
   * Returns until when bytes of a reply are expected; a replica that has sent none by then counts as silent.
   * @param haveBody Whether only replicas that have been sent the body count.
   */
  private _awaitReplies (nowMs: number, haveBody = false): number | undefined {
    let expectedByMs: number | undefined
    for (const [replica, sinceMs] of this._openSinceMs) {
      if (this._ranking.isSuspect(replica, nowMs) || (haveBody && this._bodiless.has(replica))) continue
      const untilMs = sinceMs + REPLY_PATIENCE_MS
      if (untilMs > nowMs) expectedByMs = Math.max(expectedByMs ?? 0, untilMs)
      else this._ranking.recordSilence(replica, nowMs)
    }
    return expectedByMs
  }

  private _wakeAt (atMs: number): RelayAction {
    return { type: 'wakeAt', atMs: Math.min(atMs, this._limitAtMs) }
  }

  /** Replicas whose reply has not arrived by now, also in part, are asked after the others in the next calls. */
  private _giveUp (nowMs: number): RelayAction[] {
    this._hasEnded = true
    for (const replica of this._openSinceMs.keys()) this._ranking.recordSilence(replica, nowMs)
    const mayBeDecided = this._mayBeDecided || this._openSinceMs.size > this._bodiless.size
    const state = mayBeDecided ? 'unknown' : 'not-run'
    return [{ type: 'giveUp', state }]
  }
}
