import { createServer, request } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { PORTS } from '../Constants.js'

/** Interval of the reports to the node, in milliseconds. */
const REPORT_INTERVAL_MS = 500

/** Concurrent requests that the instance reports as its capacity. */
const SLOTS = 8

/** A stand-in instance of one service that answers at once and reports itself to the node beside it. */
export class HistoryInstance {
  private readonly _server: Server
  private readonly _bornMs = Date.now()
  private _timer: NodeJS.Timeout | undefined
  private _sequence = 0

  /**
   * @param _id Its id.
   * @param _service Its service.
   * @param _host Address of its machine.
   * @param _onRun Called with the id of each request that it runs.
   */
  public constructor (
    private readonly _id: string,
    private readonly _service: string,
    private readonly _host: string,
    private readonly _onRun: (requestId: string) => void
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
  }

  private _handle (message: IncomingMessage, response: ServerResponse): void {
    const id = String(message.headers['x-request-id'])
    const target = message.headers['x-target-instance']
    response.setHeader('x-instance-id', this._id)
    response.setHeader('x-instance-load', `0,0,${SLOTS},100`)
    if (message.url === '/healthz') {
      response.end()
      return
    }
    response.setHeader('x-request-id', id)
    if (target !== undefined && target !== this._id) {
      response.writeHead(421, { 'x-not-executed': '1' })
      response.end()
      return
    }
    this._onRun(id)
    response.setHeader('x-response-signature', `s-${id}`)
    response.end(this._service)
  }

  private _report (): void {
    const body = JSON.stringify({
      Service: this._service,
      Address: `${this._host}:${PORTS.instanceEntry}`,
      Slots: SLOTS,
      State: 'ready',
      ColdRemaining: '0ms',
      Seq: ++this._sequence,
      born: this._bornMs
    })
    const call = request({ host: this._host, port: PORTS.control, path: `/api/Instances.Heartbeat/${this._id}`, method: 'POST', timeout: REPORT_INTERVAL_MS }, answer => answer.resume())
    call.once('timeout', () => call.destroy())
    // A node that is down receives a later report.
    call.once('error', () => {})
    call.end(body)
  }
}
