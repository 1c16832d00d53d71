import { createServer } from 'node:http'
import type { Server } from 'node:http'
import express from 'express'
import type { Express, Request, Response } from 'express'
import { listenOn } from './Listen.js'
import type { Disposable } from './Types.js'

/** Health of a process as its admin surface tells it. */
export interface Health {
  readonly ok: boolean
  /** Why it is not ok. */
  readonly reason?: string
}

/** What every process shows. */
export interface AdminSource {
  /** Health now. */
  health (): Health
  /** A bounded dump of the state: no bodies, no secrets. */
  state (): object
}

/** Memory and processor time of this process, in every state dump. */
export interface ProcessUsage {
  readonly memoryBytes: number
  readonly userMicros: number
  readonly systemMicros: number
}

const MAX_BODY_SIZE = '2mb'

/** Admin surface of a process: `GET /health`, `GET /state` and what the process adds to `app`. */
export class AdminServer implements Disposable {
  /** Routes of the process are added here before `listen`. */
  public readonly app: Express
  private readonly _server: Server

  public constructor (source: AdminSource) {
    this.app = express()
    this.app.disable('x-powered-by')
    this.app.use(express.json({ limit: MAX_BODY_SIZE }))
    this.app.get('/health', (_request: Request, response: Response) => {
      const health = source.health()
      response.status(health.ok ? 200 : 503).json({ status: health.ok ? 'ok' : 'failing', reason: health.reason })
    })
    this.app.get('/state', (_request: Request, response: Response) => { response.json({ ...source.state(), usage: readProcessUsage() }) })
    this._server = createServer(this.app)
  }

  /**
   * Starts to listen.
   * @param address `host:port`; port 0 takes a free one.
   * @returns The address in use.
   */
  public async listen (address: string): Promise<string> {
    return await listenOn(this._server, address)
  }

  /** Ends the listener and its connections. */
  public dispose (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}

function readProcessUsage (): ProcessUsage {
  const { user, system } = process.cpuUsage()
  return { memoryBytes: process.memoryUsage.rss(), userMicros: user, systemMicros: system }
}
