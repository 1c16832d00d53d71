import { Agent, request } from 'node:http'
import type { Random } from '../src/parts/Types.js'
import {
  AT_MOST_ONCE_SHARE, CALLER_TIMEOUT_MS, CALLER_TIMEOUT_SLACK_MS, MAX_CALLER_PAUSE_MS, READ_SHARE, UPLOAD_PATH,
  UPLOAD_SHARE
} from './Constants.js'
import { type SoakLedger, uploadBody } from './SoakLedger.js'

/** Outcome of a request for its caller: `cut` is a lost connection, `refused` a status that promises no run. */
export type CallOutcome = 'answered' | 'refused' | 'failed' | 'cut' | 'timeout'

/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** What a caller needs from the soak. */
export interface CallerContext {
  readonly host: string
  readonly port: number
  /** Name of the node that the caller uses. */
  readonly node: string
  readonly ledger: SoakLedger
  readonly random: Random
  /** Returns the newest version that was acknowledged long enough ago for every node to know it. */
  readonly expectedVersion: () => number
  /** Called with the local port of the connection once a request has ended. */
  readonly onEnd: (
    outcome: CallOutcome, status: number | undefined, path: string, localPort: number | undefined
  ) => void
}

/** A caller on a VM that sends one request at a time on a persistent connection, and reconnects when that is lost. */
export class SoakCaller {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 1 })
  private _requestCount = 0
  private _isStopped = false

  public constructor (private readonly _name: string, private readonly _context: CallerContext) {}

  /** Sends requests until `stop` is called. */
  public async run (): Promise<void> {
    while (!this._isStopped) {
      await this.call(this._drawPath())
      await new Promise(resolve => setTimeout(resolve, MAX_CALLER_PAUSE_MS * this._context.random.next()))
    }
    this._agent.destroy()
  }

  /** Makes `run` end after the current request. */
  public stop (): void {
    this._isStopped = true
  }

  /** Closes the connection. */
  public dispose (): void {
    this._agent.destroy()
  }

  /** Sends one request and checks its answer. */
  public async call (path: string): Promise<CallOutcome> {
    const { host, port, node, ledger, onEnd } = this._context
    const id = `${this._name}-${++this._requestCount}`
    const body = path.startsWith(UPLOAD_PATH) ? uploadBody(id) : undefined
    ledger.recordRequest(id, body !== undefined || path.startsWith('/once/'), node)
    return await new Promise(resolve => {
      let isEnded = false
      let localPort: number | undefined
      const finish = (outcome: CallOutcome, status?: number): void => {
        if (isEnded) return
        isEnded = true
        clearTimeout(timer)
        onEnd(outcome, status, path, localPort)
        resolve(outcome)
      }
      const headers = { host: 'h.example', 'x-request-id': id, 'x-deadline-ms': String(CALLER_TIMEOUT_MS) }
      const method = body === undefined ? 'GET' : 'POST'
      const call = request({ host, port, path, method, headers, agent: this._agent }, answer => {
        const chunks: Buffer[] = []
        answer.on('data', (chunk: Buffer) => chunks.push(chunk))
        answer.on('error', () => finish('cut'))
        answer.on('close', () => {
          if (!answer.complete) return finish('cut')
          const status = answer.statusCode ?? 0
          if (NOT_RUN_STATUSES.has(status)) ledger.recordRefusal(id)
          const echoedId = answer.headers['x-request-id'] as string | undefined
          const instance = answer.headers['x-instance-id'] as string | undefined
          if (instance !== undefined) {
            const namesLimit = answer.headers['server-limit'] !== undefined
            ledger.notices.recordAnswer(node, instance, { namesLimit, isLeaving: answer.headers['server-leaving'] === '1' })
          }
          const isSigned = answer.headers['x-response-signature'] === `s-${id}`
          if (classifyStatus(status) === 'answered') ledger.recordAnswer(id, Buffer.concat(chunks).toString(), echoedId, isSigned)
          finish(classifyStatus(status), status)
        })
      })
      const timer = setTimeout(() => {
        call.destroy()
        finish('timeout')
      }, CALLER_TIMEOUT_MS + CALLER_TIMEOUT_SLACK_MS)
      call.once('socket', socket => {
        const readPort = (): void => { localPort = socket.localPort }
        if (socket.connecting) socket.once('connect', readPort)
        else readPort()
      })
      call.on('error', () => finish('cut'))
      call.end(body)
    })
  }

  private _drawPath (): string {
    const { random, expectedVersion } = this._context
    const share = random.next()
    if (share < READ_SHARE) return '/read/x'
    if (share < READ_SHARE + AT_MOST_ONCE_SHARE) return '/once/x'
    if (share < READ_SHARE + AT_MOST_ONCE_SHARE + UPLOAD_SHARE) return `${UPLOAD_PATH}x`
    return `/gen-${expectedVersion()}/x`
  }
}

function classifyStatus (status: number): CallOutcome {
  if (status >= 200 && status < 300) return 'answered'
  return NOT_RUN_STATUSES.has(status) ? 'refused' : 'failed'
}
