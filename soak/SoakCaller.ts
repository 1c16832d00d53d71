import { Agent, request } from 'node:http'
import type { Random } from '../src/parts/Types.js'
import { CALLER_DEADLINE_MS, CALLER_PAUSE_MS, CALLER_SLACK_MS, ONCE_SHARE, READ_SHARE } from './Constants.js'
import type { SoakLedger } from './SoakLedger.js'

/** How a request ended for its caller. */
export type CallerEnd = 'answered' | 'refused' | 'failed' | 'cut' | 'timeout'

/** Statuses that promise that a request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Where a caller connects, and what it asks the soak. */
export interface CallerContext {
  readonly host: string
  readonly port: number
  readonly ledger: SoakLedger
  readonly random: Random
  /** Newest version that was acknowledged long enough ago for this node to know it. */
  readonly expectedGeneration: () => number
  readonly onEnd: (end: CallerEnd, status: number | undefined, path: string) => void
}

/** A caller on a VM: one request at a time on a connection that it keeps until it breaks. */
export class SoakCaller {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 1 })
  private _count = 0
  private _stopped = false

  public constructor (private readonly _name: string, private readonly _context: CallerContext) {}

  /** Sends requests until it is stopped. */
  public async run (): Promise<void> {
    while (!this._stopped) {
      await this.call(this._drawPath())
      await new Promise(resolve => setTimeout(resolve, CALLER_PAUSE_MS * this._context.random.next()))
    }
    this._agent.destroy()
  }

  /** Ends after the present request. */
  public stop (): void {
    this._stopped = true
  }

  /** Sends one request and checks its answer. */
  public async call (path: string): Promise<CallerEnd> {
    const { host, port, ledger, onEnd } = this._context
    const id = `${this._name}-${++this._count}`
    ledger.ask(id, path.startsWith('/once/'))
    return await new Promise(resolve => {
      let ended = false
      const finish = (end: CallerEnd, status?: number): void => {
        if (ended) return
        ended = true
        clearTimeout(timer)
        onEnd(end, status, path)
        resolve(end)
      }
      const headers = { host: 'h.example', 'x-request-id': id, 'x-deadline-ms': String(CALLER_DEADLINE_MS) }
      const call = request({ host, port, path, headers, agent: this._agent }, answer => {
        const pieces: Buffer[] = []
        answer.on('data', (piece: Buffer) => pieces.push(piece))
        answer.on('error', () => finish('cut'))
        answer.on('close', () => {
          if (!answer.complete) return finish('cut')
          const status = answer.statusCode ?? 0
          if (NOT_RUN.has(status)) ledger.refused(id)
          const echoed = answer.headers['x-request-id'] as string | undefined
          const signed = answer.headers['x-response-signature'] === `s-${id}`
          if (endOf(status) === 'answered') ledger.answered(id, Buffer.concat(pieces).toString(), echoed, signed)
          finish(endOf(status), status)
        })
      })
      const timer = setTimeout(() => {
        call.destroy()
        finish('timeout')
      }, CALLER_DEADLINE_MS + CALLER_SLACK_MS)
      call.on('error', () => finish('cut'))
      call.end()
    })
  }

  private _drawPath (): string {
    const { random, expectedGeneration } = this._context
    const share = random.next()
    if (share < READ_SHARE) return '/read/x'
    if (share < READ_SHARE + ONCE_SHARE) return '/once/x'
    return `/gen-${expectedGeneration()}/x`
  }
}

function endOf (status: number): CallerEnd {
  if (status >= 200 && status < 300) return 'answered'
  return NOT_RUN.has(status) ? 'refused' : 'failed'
}
