import { SUSPICION_MS } from './Constants.js'

/**
 * Order in which replicas are asked, shared by all calls of a process: the leader first, as far as it is known, and
 * replicas that lately did not reply in time last.
 *
 * Memory: one entry for each replica that did not reply within `SUSPICION_MS`.
 */
export class ReplicaRanking {
  private readonly _suspectedAtMs = new Map<string, number>()
  private _leader: string | undefined

  /** The replica that decided a call or was named as the leader last. */
  public get leader (): string | undefined {
    return this._leader
  }

  /** Records that a replica has replied. */
  public recordReply (replica: string): void {
    this._suspectedAtMs.delete(replica)
  }

  /** Records that a replica has decided a call or was named as the leader. */
  public recordLeader (replica: string): void {
    this._leader = replica
  }

  /** Records that a replica did not reply in time or can't be connected to. */
  public recordSilence (replica: string, nowMs: number): void {
    for (const [suspect, atMs] of this._suspectedAtMs) {
      if (nowMs - atMs >= SUSPICION_MS) this._suspectedAtMs.delete(suspect)
    }
    this._suspectedAtMs.set(replica, nowMs)
  }

  /** True for a replica that lately did not reply in time. */
  public isSuspect (replica: string, nowMs: number): boolean {
    const atMs = this._suspectedAtMs.get(replica)
    return atMs !== undefined && nowMs - atMs < SUSPICION_MS
  }

  /**
   * Returns the replicas in the order in which they should be asked.
   * @param replicas All replicas, in the order of preference of the host.
   */
  public sort (replicas: readonly string[], nowMs: number): string[] {
    const leader = this._leader
    const known = leader === undefined || replicas.includes(leader) ? replicas : [leader, ...replicas]
    const rank = (replica: string): number => {
      if (this.isSuspect(replica, nowMs)) return 2
      return replica === leader ? 0 : 1
    }
    return [...new Set(known)].sort((a, b) => rank(a) - rank(b))
  }
}
