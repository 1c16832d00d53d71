import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { MembershipHost } from './control/MembershipHost.js'
import type { Announcement } from './upstreamside/Types.js'
import type { UpstreamSide } from './upstreamside/UpstreamSide.js'

/** Interval at which the age of the last announcement is checked. */
const CHECK_INTERVAL_MS = 100

/**
 * Tracks the local upstream by its announcements, which serve as heartbeats: announces it to the membership, drains it
 * on request, and removes it when the announcements stop.
 */
export class UpstreamMonitor implements Disposable {
  private readonly _timer: NodeJS.Timeout
  private _lastAnnouncement: Announcement | undefined
  private _announcedAtMs = 0
  private _drained = false

  /**
   * @param _timeoutMs Time without an announcement after which the upstream is considered stopped.
   */
  public constructor (
    private readonly _side: UpstreamSide,
    private readonly _members: MembershipHost,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _timeoutMs: number
  ) {
    this._timer = setInterval(() => this._checkTimeout(), CHECK_INTERVAL_MS)
  }

  /** True while the upstream is drained, by an operator or by the graceful shutdown of the node. */
  public get isDrained (): boolean {
    return this._drained
  }

  /** Records an announcement; while the upstream is drained, its state counts as draining. */
  public recordAnnouncement (announcement: Announcement): void {
    this._announcedAtMs = this._clock.nowMs()
    this._lastAnnouncement = announcement
    const effective = this._drained ? { ...announcement, state: 'draining' as const } : announcement
    this._side.setUpstream(effective)
    this._members.announce(effective, effective.state)
  }

  /** Drains the local upstream until `resume`. */
  public drain (): void {
    this._drained = true
    this._side.drain()
    if (this._lastAnnouncement !== undefined) this.recordAnnouncement(this._lastAnnouncement)
  }

  /** Ends the drain; the local upstream gets calls again. */
  public resume (): void {
    this._drained = false
    if (this._lastAnnouncement !== undefined) this.recordAnnouncement(this._lastAnnouncement)
  }

  /** Stops the checks. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private _checkTimeout (): void {
    if (this._lastAnnouncement === undefined || this._clock.nowMs() - this._announcedAtMs < this._timeoutMs) return
    this._log.warn({ service: this._lastAnnouncement.service, address: this._lastAnnouncement.address }, 'upstream timed out: no announcement within the limit, removing it')
    this._lastAnnouncement = undefined
    this._side.disconnectUpstream()
    this._members.announceLeft()
  }
}
