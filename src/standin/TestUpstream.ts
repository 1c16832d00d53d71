import { setTimeout as delay } from 'node:timers/promises'
import type { Request, Response } from 'express'
import { z } from 'zod'
import { AdminServer } from '../runtime/AdminServer.js'
import { JsonLog } from '../runtime/JsonLog.js'
import type { RunningDaemon } from '../runtime/DaemonProgram.js'
import { Announcer } from './Announcer.js'
import { Journal } from './Journal.js'
import type { TestUpstreamSettings } from './TestUpstreamSettings.js'
import { TestUpstreamServer } from './TestUpstreamServer.js'

const DRAIN_CHECK_MS = 20

const behaviourChange = z.strictObject({
  slowFactor: z.number().min(0).max(10_000).optional(),
  shedShare: z.number().min(0).max(1).optional(),
  silence: z.number().int().min(1).optional()
})

/** A test upstream: a service for tests and demos, with its HTTP server, admin server, journal and announcements. */
export class TestUpstream implements RunningDaemon {
  private readonly _settings: TestUpstreamSettings
  private readonly _log: JsonLog
  private readonly _journal: Journal
  private readonly _server: TestUpstreamServer
  private readonly _admin: AdminServer
  private _announcer: Announcer | undefined
  private _draining = false

  /**
   * @param settings Settings of the service.
   */
  public constructor (settings: TestUpstreamSettings) {
    this._settings = settings
    this._log = new JsonLog('sassafras-upstream', settings.instance, settings.log.level)
    this._journal = new Journal(settings.journal)
    this._server = new TestUpstreamServer(settings, this._journal)
    this._admin = new AdminServer({ health: () => ({ ok: true }), state: () => this.state() })
    this._admin.app.post('/behaviour', (request: Request, response: Response) => { this._changeBehaviour(request, response) })
  }

  /**
   * Starts to listen, then announces the service to its node.
   * @returns The bound addresses.
   */
  public async start (): Promise<{ readonly http: string, readonly admin: string }> {
    const http = await this._server.listen(this._settings.listen.http)
    const admin = await this._admin.listen(this._settings.listen.admin)
    this._log.info({ http, admin, service: this._settings.service }, 'listening')
    const { node, service, slots, connections, announceMs, coldStart } = this._settings
    if (node !== undefined) {
      this._announcer = new Announcer(node.admin, { service, address: http, slots, connections }, this._log)
      this._announcer.start(announceMs)
      this._announceServingAfter(coldStart.startingMs).catch(() => {})
    }
    return { http, admin }
  }

  /** Shuts down gracefully: announces the drain, finishes the requests in flight, then closes everything. */
  public async stop (): Promise<void> {
    this._draining = true
    this._server.startDrain()
    this._log.info({ inFlight: this._server.counts.inFlight }, 'draining')
    await this._announcer?.announce('draining')
    const endAtMs = performance.now() + this._settings.drain.maxMs
    const { quietMs } = this._settings.drain
    while (this._server.idleMs < quietMs && performance.now() < endAtMs) await delay(DRAIN_CHECK_MS)
    this._log.info({ inFlight: this._server.counts.inFlight }, 'drained')
    this.dispose()
  }

  /** Closes everything at once. */
  public dispose (): void {
    this._announcer?.dispose()
    this._server.dispose()
    this._admin.dispose()
    this._journal.dispose()
  }

  private async _announceServingAfter (startingMs: number): Promise<void> {
    await delay(startingMs)
    if (!this._draining) await this._announcer?.announce('serving')
  }

  /** Returns a dump of the state, of bounded size. */
  public state (): object {
    const { service, instance, slots, node } = this._settings
    return {
      service,
      instance,
      slots,
      node,
      draining: this._draining,
      connections: this._server.connections,
      behaviour: this._server.behaviour,
      ...this._server.counts
    }
  }

  private _changeBehaviour (request: Request, response: Response): void {
    const change = behaviourChange.safeParse(request.body)
    if (!change.success) {
      response.status(400).json({ findings: change.error.issues.map(issue => issue.message) })
      return
    }
    const { slowFactor, shedShare, silence } = change.data
    if (slowFactor !== undefined) this._server.behaviour.slowFactor = slowFactor
    if (shedShare !== undefined) this._server.behaviour.shedShare = shedShare
    const silenced = silence === undefined ? 0 : this._server.silence(silence)
    response.json({ ...this._server.behaviour, silenced })
  }
}
