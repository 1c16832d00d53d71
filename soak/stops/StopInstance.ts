import { Agent, createServer, request } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { PORTS } from '../Constants.js'

/** Interval of the reports to the node, in milliseconds. */
const REPORT_INTERVAL_MS = 500

/** Concurrent requests that the instance reports as its capacity. */
const SLOTS = 40

/** Time for which a nested call may last, in milliseconds. */
const NESTED_DEADLINE_MS = 2000

/** What an instance did with a request. */
export interface StopRun {
  readonly startedAtMs: number
  /** When its whole answer was passed to the connection; undefined while it works, and when its node closed it. */
  answeredAtMs?: number
  /** True when its node closed the connection before the answer was complete. */
  isCancelled: boolean
}

/**
 * A stand-in instance beside a node. The path of a request, `/work/MS/BYTES/FLAGS/`, tells how long it works and how
 * large its answer is; the flags ask for a nested call (`n`) and for an answer that ends with its connection (`e`).
 */
export class StopInstance {
  private readonly _server: Server
  private readonly _agent = new Agent({ keepAlive: true })
  private readonly _bornMs = Date.now()
  private _timer: NodeJS.Timeout | undefined
  private _sequence = 0

  /**
   * @param _name Its id.
   * @param _host Address of its machine.
   * @param _runs Runs of all instances, by request.
   */
  public constructor (
    private readonly _name: string, private readonly _host: string, private readonly _runs: Map<string, StopRun>
  ) {
    this._server = createServer({ keepAliveTimeout: 10_000 }, (message, response) => this._handle(message, response))
  }

  /** Starts to listen and to report itself. */
  public async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(PORTS.instanceEntry, this._host, resolve)
    })
    this._timer = setInterval(() => this._report(), REPORT_INTERVAL_MS)
  }

  /** Closes the listener and all connections. */
  public dispose (): void {
    clearInterval(this._timer)
    this._server.close()
    this._server.closeAllConnections()
    this._agent.destroy()
  }

  private _handle (message: IncomingMessage, response: ServerResponse): void {
    const id = String(message.headers['x-request-id'])
    const target = message.headers['x-target-instance']
    message.resume()
    response.setHeader('x-instance-id', this._name)
    response.setHeader('x-instance-load', `0,0,${SLOTS},100`)
    if (message.url === '/healthz') {
      response.end()
      return
    }
    response.setHeader('x-request-id', id)
    if (target !== undefined && target !== this._name) {
      response.writeHead(421, { 'x-not-executed': '1' })
      response.end()
      return
    }
    const run: StopRun = { startedAtMs: performance.now(), isCancelled: false }
    this._runs.set(id, run)
    response.once('close', () => { run.isCancelled = run.answeredAtMs === undefined })
    message.once('end', () => { this._work(message.url ?? '', id, run, response).catch(() => response.destroy()) })
  }

  private async _work (path: string, id: string, run: StopRun, response: ServerResponse): Promise<void> {
    const [, , ms, bytes, flags = ''] = path.split('/')
    const isNested = flags.includes('n') && !await this._callNested(`${id}.1`)
    await new Promise(resolve => setTimeout(resolve, Number(ms)))
    if (response.destroyed) return
    const body = Buffer.alloc(Number(bytes), id)
    const length = flags.includes('e') ? { connection: 'close' } : { 'content-length': body.length }
    if (flags.includes('e')) response.removeHeader('transfer-encoding')
    response.useChunkedEncodingByDefault = false
    response.writeHead(isNested ? 500 : 200, { 'x-response-signature': `s-${id}`, ...length })
    response.end(body, () => { run.answeredAtMs = performance.now() })
  }

  /** Returns whether a call through the node of this machine was answered completely. */
  private async _callNested (id: string): Promise<boolean> {
    const headers = { host: 'h.example', 'x-request-id': id, 'x-deadline-ms': String(NESTED_DEADLINE_MS) }
    return await new Promise(resolve => {
      const call = request({ host: this._host, port: PORTS.callers, path: '/work/30/500/-/', headers, agent: this._agent }, answer => {
        answer.resume()
        answer.on('close', () => resolve(answer.complete && answer.statusCode === 200))
      })
      call.on('error', () => resolve(false))
      call.end()
    })
  }

  private _report (): void {
    const body = JSON.stringify({
      Service: 'svc',
      Address: `${this._host}:${PORTS.instanceEntry}`,
      Slots: SLOTS,
      State: 'ready',
      ColdRemaining: '0ms',
      Seq: ++this._sequence,
      born: this._bornMs
    })
    const path = `/api/Instances.Heartbeat/${this._name}`
    const call = request({ host: this._host, port: PORTS.control, path, method: 'POST', timeout: REPORT_INTERVAL_MS }, answer => answer.resume())
    call.once('timeout', () => call.destroy())
    // A node that is down receives a later report.
    call.once('error', () => {})
    call.end(body)
  }
}
