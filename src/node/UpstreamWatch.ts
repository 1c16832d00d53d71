import type { Clock, Disposable, Log } from '../platform/Types.js'
import type { MembershipHost } from './control/MembershipHost.js'
import type { Announcement } from './upstreamside/Types.js'
import type { UpstreamSide } from './upstreamside/UpstreamSide.js'

const CHECK_INTERVAL_MS = 100

/** Follows the local upstream by its announcements: tells members of it, drains it, and notices its silence. */
export class UpstreamWatch implements Disposable {
  private readonly timer: NodeJS.Timeout
  private last: Announcement | undefined
  private heardAtMs = 0
  private drained = false

  /**
   * @param timeoutMs Silence after which the upstream counts as gone.
   */
  public constructor (
    private readonly side: UpstreamSide,
    private readonly members: MembershipHost,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly timeoutMs: number
  ) {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS)
  }

  /** True while an operator or a planned stop keeps the upstream drained. */
  public get isDrained (): boolean {
    return this.drained
  }

  /** Takes an announcement. */
  public take (announcement: Announcement): void {
    this.heardAtMs = this.clock.nowMs()
    this.last = announcement
    const shown = this.drained ? { ...announcement, state: 'draining' as const } : announcement
    this.side.setUpstream(shown)
    this.members.announce(shown, shown.state)
  }

  /** Drains the local upstream until `resume`. */
  public drain (): void {
    this.drained = true
    this.side.drain()
    if (this.last !== undefined) this.take(this.last)
  }

  /** Takes the local upstream back. */
  public resume (): void {
    this.drained = false
    if (this.last !== undefined) this.take(this.last)
  }

  /** Stops watching. */
  public dispose (): void {
    clearInterval(this.timer)
  }

  private check (): void {
    if (this.last === undefined || this.clock.nowMs() - this.heardAtMs < this.timeoutMs) return
    this.log.warn({ service: this.last.service, address: this.last.address }, 'upstream is silent')
    this.last = undefined
    this.side.loseUpstream()
    this.members.leave()
  }
}
