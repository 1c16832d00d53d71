import got from 'got'
import type { Disposable, Log } from '../runtime/Types.js'

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
  private readonly _admin: string
  private readonly _announcement: Omit<Announcement, 'state'>
  private readonly _log: Log
  private _state: AnnouncedState = 'starting'
  private _isNodeReachable: boolean | undefined
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param admin Admin address of the node as `host:port`.
   * @param announcement What to announce beside the state.
   * @param log Told when the node is reached and when it no longer is.
   */
  public constructor (admin: string, announcement: Omit<Announcement, 'state'>, log: Log) {
    this._admin = admin
    this._announcement = announcement
    this._log = log
  }

  /**
   * Starts to announce.
   * @param intervalMs Time between two announcements.
   */
  public start (intervalMs: number): void {
    this._timer = setInterval(() => { this._send().catch(() => {}) }, intervalMs)
    this._send().catch(() => {})
  }

  /**
   * Changes the state and announces it at once.
   * @param state The new state.
   */
  public async announce (state: AnnouncedState): Promise<void> {
    this._state = state
    await this._send()
  }

  /** Stops to announce. */
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
    if (reached) this._log.info({ admin: this._admin, state: this._state }, 'announced to the node')
    else this._log.warn({ admin: this._admin, problem }, 'node can not be reached')
  }
}
