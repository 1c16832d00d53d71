import got from 'got'
import type { Disposable, Log } from '../platform/Types.js'

/** State that a service announces. */
export type AnnouncedState = 'starting' | 'serving' | 'draining'

/** Body of `POST /announce`. */
export interface Announcement {
  readonly service: string
  /** Where the service listens, as `host:port`. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly state: AnnouncedState
}

const ANNOUNCE_TIMEOUT_MS = 2000

/** Announces a service to the node beside it, again and again as a heartbeat. */
export class Announcer implements Disposable {
  private readonly admin: string
  private readonly announcement: Omit<Announcement, 'state'>
  private readonly log: Log
  private state: AnnouncedState = 'starting'
  private reached: boolean | undefined
  private timer: NodeJS.Timeout | undefined

  /**
   * @param admin Admin address of the node as `host:port`.
   * @param announcement What to announce beside the state.
   * @param log Told when the node is reached and when it no longer is.
   */
  public constructor (admin: string, announcement: Omit<Announcement, 'state'>, log: Log) {
    this.admin = admin
    this.announcement = announcement
    this.log = log
  }

  /**
   * Starts to announce.
   * @param everyMs Time between two announcements.
   */
  public start (everyMs: number): void {
    this.timer = setInterval(() => { this.send().catch(() => {}) }, everyMs)
    this.send().catch(() => {})
  }

  /**
   * Changes the state and announces it at once.
   * @param state The new state.
   */
  public async announce (state: AnnouncedState): Promise<void> {
    this.state = state
    await this.send()
  }

  /** Stops to announce. */
  public dispose (): void {
    clearInterval(this.timer)
  }

  private async send (): Promise<void> {
    try {
      await got.post(`http://${this.admin}/announce`, {
        json: { ...this.announcement, state: this.state },
        timeout: { request: ANNOUNCE_TIMEOUT_MS },
        retry: { limit: 0 }
      })
      this.noteReached(true, '')
    } catch (error) {
      this.noteReached(false, (error as Error).message)
    }
  }

  private noteReached (reached: boolean, problem: string): void {
    if (reached === this.reached) return
    this.reached = reached
    if (reached) this.log.info({ admin: this.admin, state: this.state }, 'announced to the node')
    else this.log.warn({ admin: this.admin, problem }, 'node can not be reached')
  }
}
