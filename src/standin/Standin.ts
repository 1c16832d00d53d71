import { setTimeout as delay } from 'node:timers/promises'
import type { Request, Response } from 'express'
import { z } from 'zod'
import { AdminServer } from '../platform/AdminServer.js'
import { JsonLog } from '../platform/JsonLog.js'
import type { RunningDaemon } from '../platform/DaemonProgram.js'
import { Announcer } from './Announcer.js'
import { Journal } from './Journal.js'
import type { StandinSettings } from './StandinSettings.js'
import { StandinServer } from './StandinServer.js'

const DRAIN_CHECK_MS = 20

const behaviourChange = z.strictObject({
  slowFactor: z.number().min(0).max(10_000).optional(),
  shedShare: z.number().min(0).max(1).optional(),
  silence: z.number().int().min(1).optional()
})

/** A stand-in service: its HTTP server, its admin surface, its journal and its announcements. */
export class Standin implements RunningDaemon {
  private readonly settings: StandinSettings
  private readonly log: JsonLog
  private readonly journal: Journal
  private readonly server: StandinServer
  private readonly admin: AdminServer
  private announcer: Announcer | undefined
  private draining = false

  /**
   * @param settings Shape of the service.
   */
  public constructor (settings: StandinSettings) {
    this.settings = settings
    this.log = new JsonLog('sassafras-upstream', settings.instance, settings.log.level)
    this.journal = new Journal(settings.journal)
    this.server = new StandinServer(settings, this.journal)
    this.admin = new AdminServer({ health: () => ({ ok: true }), state: () => this.state() })
    this.admin.app.post('/behaviour', (request: Request, response: Response) => { this.changeBehaviour(request, response) })
  }

  /**
   * Listens, then announces the service to its node.
   * @returns Addresses in use.
   */
  public async start (): Promise<{ readonly http: string, readonly admin: string }> {
    const http = await this.server.listen(this.settings.listen.http)
    const admin = await this.admin.listen(this.settings.listen.admin)
    this.log.info({ http, admin, service: this.settings.service }, 'listening')
    const { node, service, slots, connections, announceMs, coldStart } = this.settings
    if (node !== undefined) {
      this.announcer = new Announcer(node.admin, { service, address: http, slots, connections }, this.log)
      this.announcer.start(announceMs)
      this.serveAfter(coldStart.startingMs).catch(() => {})
    }
    return { http, admin }
  }

  /** Announces the drain, finishes what is in flight, then ends. */
  public async stop (): Promise<void> {
    this.draining = true
    this.server.startDrain()
    this.log.info({ inFlight: this.server.counts.inFlight }, 'draining')
    await this.announcer?.announce('draining')
    const endAtMs = performance.now() + this.settings.drain.maxMs
    while (this.server.quietMs < this.settings.drain.quietMs && performance.now() < endAtMs) await delay(DRAIN_CHECK_MS)
    this.log.info({ inFlight: this.server.counts.inFlight }, 'drained')
    this.dispose()
  }

  /** Ends at once. */
  public dispose (): void {
    this.announcer?.dispose()
    this.server.dispose()
    this.admin.dispose()
    this.journal.dispose()
  }

  private async serveAfter (startingMs: number): Promise<void> {
    await delay(startingMs)
    if (!this.draining) await this.announcer?.announce('serving')
  }

  /** A bounded dump of the state. */
  public state (): object {
    const { service, instance, slots, node } = this.settings
    return {
      service,
      instance,
      slots,
      node,
      draining: this.draining,
      connections: this.server.connections,
      behaviour: this.server.behaviour,
      ...this.server.counts
    }
  }

  private changeBehaviour (request: Request, response: Response): void {
    const change = behaviourChange.safeParse(request.body)
    if (!change.success) {
      response.status(400).json({ findings: change.error.issues.map(issue => issue.message) })
      return
    }
    const { slowFactor, shedShare, silence } = change.data
    if (slowFactor !== undefined) this.server.behaviour.slowFactor = slowFactor
    if (shedShare !== undefined) this.server.behaviour.shedShare = shedShare
    const silenced = silence === undefined ? 0 : this.server.silence(silence)
    response.json({ ...this.server.behaviour, silenced })
  }
}
