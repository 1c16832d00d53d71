import { createServer, request } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { PORTS } from '../../soak/Constants.js'

/** Interval of the reports to the node, in milliseconds. */
const REPORT_INTERVAL_MS = 200

/** Concurrent requests that the instance reports as its capacity. */
const SLOTS = 64

/** Size of the pieces in which a long answer is written. */
const PIECE = Buffer.alloc(64 * 1024, 'a')

/**
 * An instance that reads each body to its end, without keeping it, and answers with the number of its bytes; with the
 * query `answer=<bytes>` it answers with so many bytes instead. It reports itself to the node beside it.
 */
export class CrowdInstance {
  private readonly _server: Server
  private readonly _bornMs = Date.now()
  private _timer: NodeJS.Timeout | undefined
  private _sequence = 0
  /** Ids of the requests that it has begun to run. */
  public readonly ran: string[] = []

  /**
   * @param service Its service.
   * @param host Address of its VM.
   */
  public constructor (public readonly service: string, public readonly host: string) {
    this._server = createServer((message, response) => this._handle(message, response))
  }

  /** Starts to listen and to report itself. */
  public async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(PORTS.instanceEntry, this.host, resolve)
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
    const name = `i-${this.service}`
    response.setHeader('x-instance-id', name)
    response.setHeader('x-instance-load', `0,0,${SLOTS},100`)
    if (message.url === '/healthz') {
      response.end()
      return
    }
    response.setHeader('x-request-id', id)
    if (target !== undefined && target !== name) {
      response.writeHead(421, { 'x-not-executed': '1' }).end()
      return
    }
    this.ran.push(id)
    response.setHeader('x-response-signature', `s-${id}`)
    let bodyBytes = 0
    message.on('data', (chunk: Buffer) => { bodyBytes += chunk.length })
    message.once('end', () => this._answer(message, response, bodyBytes))
  }

  private _answer ({ url = '/' }: IncomingMessage, response: ServerResponse, bodyBytes: number): void {
    const answerBytes = Number(new URLSearchParams(url.split('?')[1]).get('answer') ?? 0)
    if (answerBytes === 0) {
      response.end(String(bodyBytes))
      return
    }
    response.writeHead(200, { 'content-length': answerBytes })
    let leftBytes = answerBytes
    const write = (): void => {
      while (leftBytes > 0) {
        const piece = PIECE.subarray(0, Math.min(leftBytes, PIECE.length))
        leftBytes -= piece.length
        if (leftBytes > 0 && !response.write(piece)) return
        if (leftBytes === 0) response.end(piece)
      }
    }
    response.on('drain', write)
    write()
  }

  private _report (): void {
    const body = JSON.stringify({
      Service: this.service,
      Address: `${this.host}:${PORTS.instanceEntry}`,
      Slots: SLOTS,
      State: 'ready',
      ColdRemaining: '0ms',
      Seq: ++this._sequence,
      born: this._bornMs
    })
    const call = request({
      host: this.host, port: PORTS.control, path: `/api/Instances.Heartbeat/i-${this.service}`, method: 'POST'
    }, answer => answer.resume())
    // A node that is not up yet, or has ended, receives no report.
    call.once('error', () => {})
    call.setTimeout(5 * REPORT_INTERVAL_MS, () => call.destroy())
    call.end(body)
  }
}
