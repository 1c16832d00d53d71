import got from 'got'
import type { Disposable, Log } from '../runtime/Types.js'

/** Lifecycle state that a service announces. */
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

/** Announces a service to the node beside it, at regular intervals as a heartbeat. */
export class Announcer implements Disposable {
  private readonly _admin: string
  private readonly _announcement: Omit<Announcement, 'state'>
  private readonly _log: Log
  private _state: AnnouncedState = 'starting'
  private _isNodeReachable: boolean | undefined
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param admin Admin address of the node as `host:port`.
   * @param announcement Announcement without the state.
   * @param log Gets a line when the node becomes reachable or unreachable.
   */
  public constructor (admin: string, announcement: Omit<Announcement, 'state'>, log: Log) {
    this._admin = admin
    this._announcement = announcement
    this._log = log
  }

  /**
   * Starts the announcements.
   * @param intervalMs Milliseconds between two announcements.
   */
  public start (intervalMs: number): void {
    this._timer = setInterval(() => { this._send().catch(() => {}) }, intervalMs)
    this._send().catch(() => {})
  }

  /**
   * Changes the state and announces it at once. Doesn't reject when the node is unreachable.
   * @param state The new state.
   */
  public async announce (state: AnnouncedState): Promise<void> {
    this._state = state
    await this._send()
  }

  /** Stops the announcements. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private async _send (): Promise<void> {
    try {
      await got.post(`http://${this._admin}/announce`, {
        json: { ...this._announcement, state: this._state },
        timeout: { request: ANNOUNCE_TIMEOUT_MS },
        retry: { limit: 0 }
      })
      this._logReachability(true, '')
    } catch (error) {
      this._logReachability(false, (error as Error).message)
    }
  }

  private _logReachability (reached: boolean, problem: string): void {
    if (reached === this._isNodeReachable) return
    this._isNodeReachable = reached
    if (reached) this._log.info({ admin: this._admin, state: this._state }, 'the node accepted the announcement')
    else this._log.warn({ admin: this._admin, problem }, 'announcement failed, the next one is sent after the interval')
  }
}
