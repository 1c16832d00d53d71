import { createServer } from 'node:http'
import type { Server } from 'node:http'
import express from 'express'
import type { Express, Request, Response } from 'express'
import { listenOn } from './Listen.js'
import type { Disposable } from './Types.js'

/** Health of a process, as its admin endpoint reports it. */
export interface Health {
  readonly ok: boolean
  /** Why the process is unhealthy. */
  readonly reason?: string
}

/** What every process reports through its admin endpoint. */
export interface AdminSource {
  /** Returns the current health. */
  health (): Health
  /** Returns a bounded dump of the state, without bodies or secrets. */
  state (): object
}

/** Resident memory and CPU time of this process, part of every state dump. */
export interface ProcessUsage {
  readonly memoryBytes: number
  readonly userMicros: number
  readonly systemMicros: number
}

const MAX_BODY_SIZE = '2mb'

/** HTTP admin endpoint of a process: `GET /health`, `GET /state` and the routes that the process adds to `app`. */
export class AdminServer implements Disposable {
  /** The Express app; a process adds its own routes to it before `listen`. */
  public readonly app: Express
  private readonly _server: Server

  /**
   * @param source Provides the health and the state that are served.
   */
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
   * @param address `host:port`; with port 0 the operating system picks a free port.
   * @returns The address in use, with the actual port.
   */
  public async listen (address: string): Promise<string> {
    return await listenOn(this._server, address)
  }

  /** Stops listening and closes all connections. */
  public dispose (): void {
    this._server.close()
    this._server.closeAllConnections()
  }
}

function readProcessUsage (): ProcessUsage {
  const { user, system } = process.cpuUsage()
  return { memoryBytes: process.memoryUsage.rss(), userMicros: user, systemMicros: system }
}
