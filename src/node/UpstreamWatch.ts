import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { MembershipHost } from './control/MembershipHost.js'
import type { Announcement } from './upstreamside/Types.js'
import type { UpstreamSide } from './upstreamside/UpstreamSide.js'

const CHECK_INTERVAL_MS = 100

/** Follows the local upstream by its announcements: tells members of it, drains it, and notices its silence. */
export class UpstreamWatch implements Disposable {
  private readonly _timer: NodeJS.Timeout
  private _last: Announcement | undefined
  private _heardAtMs = 0
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
    this._timer = setInterval(() => this._check(), CHECK_INTERVAL_MS)
  }

  /** True while an operator or a planned stop keeps the upstream drained. */
  public get isDrained (): boolean {
    return this._drained
  }

  /** Takes an announcement. */
  public take (announcement: Announcement): void {
    this._heardAtMs = this._clock.nowMs()
    this._last = announcement
    const shown = this._drained ? { ...announcement, state: 'draining' as const } : announcement
    this._side.setUpstream(shown)
    this._members.announce(shown, shown.state)
  }

  /** Drains the local upstream until `resume`. */
  public drain (): void {
    this._drained = true
    this._side.drain()
    if (this._last !== undefined) this.take(this._last)
  }

  /** Takes the local upstream back. */
  public resume (): void {
    this._drained = false
    if (this._last !== undefined) this.take(this._last)
  }

  /** Stops watching. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private _check (): void {
    if (this._last === undefined || this._clock.nowMs() - this._heardAtMs < this._timeoutMs) return
    this._log.warn({ service: this._last.service, address: this._last.address }, 'upstream is silent')
    this._last = undefined
    this._side.loseUpstream()
    this._members.leave()
  }
}
