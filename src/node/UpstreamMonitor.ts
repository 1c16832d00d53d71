import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { MembershipHost } from './control/MembershipHost.js'
import type { Announcement } from './upstreamside/Types.js'
import type { UpstreamSide } from './upstreamside/UpstreamSide.js'

const CHECK_INTERVAL_MS = 100

/** Follows the local upstream by its announcements: tells members of it, drains it, and notices its silence. */
export class UpstreamMonitor implements Disposable {
  private readonly _timer: NodeJS.Timeout
  private _lastAnnouncement: Announcement | undefined
  private _announcedAtMs = 0
  private _drained = false

  /**
   * @param _timeoutMs Silence after which the upstream counts as gone.
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

  /** True while an operator or a planned stop keeps the upstream drained. */
  public get isDrained (): boolean {
    return this._drained
  }

  /** Takes an announcement. */
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

  /** Takes the local upstream back. */
  public resume (): void {
    this._drained = false
    if (this._lastAnnouncement !== undefined) this.recordAnnouncement(this._lastAnnouncement)
  }

  /** Stops watching. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private _checkTimeout (): void {
    if (this._lastAnnouncement === undefined || this._clock.nowMs() - this._announcedAtMs < this._timeoutMs) return
    this._log.warn({ service: this._lastAnnouncement.service, address: this._lastAnnouncement.address }, 'upstream is silent')
    this._lastAnnouncement = undefined
    this._side.disconnectUpstream()
    this._members.announceLeft()
  }
}
