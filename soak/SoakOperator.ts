import { request } from 'node:http'
import { PORTS } from './Constants.js'
import type { SoakLedger } from './SoakLedger.js'
import type { VmAddresses } from './Types.js'

/** Longest wait for an answer, in milliseconds. */
const CALL_TIMEOUT_MS = 2000

/** Tries of a change, and the pause between them in milliseconds; a change without a clear answer is sent again. */
const CHANGE_TRIES = 40
const TRY_PAUSE_MS = 200

interface OperatorAnswer {
  readonly status: number
  readonly location: string | undefined
  readonly body: string
}

/** What is looked at in a configuration that was read back; names are the platform's. */
interface ReadBack {
  readonly Version: string
  readonly Routes: ReadonlyArray<{ readonly Name: string }>
}

/** The operator: changes the configuration one version at a time and reads it back. */
export class SoakOperator {
  /** Newest version that was acknowledged, and the newest that was sent. */
  private _acknowledged = 0
  private _sent = 0
  private _base: string | number = 0
  private _busy = false
  private _acknowledgedAtMs = 0

  public constructor (
    private readonly _replicas: readonly VmAddresses[],
    private readonly _ledger: SoakLedger,
    private readonly _nowMs: () => number
  ) {}

  /** Newest version whose acknowledgement is older than a time. */
  public generationKnownFor (ms: number): number {
    return this._nowMs() - this._acknowledgedAtMs > ms ? this._acknowledged : Math.max(1, this._acknowledged - 1)
  }

  /** Adds a route for the next version; the same change is sent until it has a clear answer. */
  public async change (tries = CHANGE_TRIES): Promise<boolean> {
    if (this._busy) return false
    this._busy = true
    const version = this._acknowledged + 1
    const body = JSON.stringify(documentOf(version, this._base))
    this._sent = version
    for (let i = 0; i < tries; i++) {
      const answer = await this._send('POST', '/api/Config.Put', body, i)
      if (answer?.status === 200) {
        this._acknowledged = version
        this._acknowledgedAtMs = this._nowMs()
        this._base = `r${version}`
        break
      }
      if (answer !== undefined && answer.status >= 400 && answer.status < 500) {
        this._ledger.report('accepted-change-kept', `version ${version} on ${this._base} was answered ${answer.status} ${answer.body}`)
        break
      }
      await new Promise(resolve => setTimeout(resolve, TRY_PAUSE_MS))
    }
    this._busy = false
    return this._acknowledged === version
  }

  /** Reads the configuration back: nothing that was acknowledged may be gone. */
  public async checkKept (): Promise<void> {
    for (let i = 0; i < CHANGE_TRIES; i++) {
      const answer = await this._send('GET', '/api/Config.Get', '', i)
      if (answer?.status === 200) return this._compare(JSON.parse(answer.body) as ReadBack)
      await new Promise(resolve => setTimeout(resolve, TRY_PAUSE_MS))
    }
    this._ledger.report('accepted-change-kept', 'the configuration could not be read back')
  }

  private _compare ({ Version, Routes }: ReadBack): void {
    const version = Number(Version.slice(1))
    if (version < this._acknowledged || version > this._sent) {
      const bounds = `acknowledged r${this._acknowledged}, sent r${this._sent}`
      this._ledger.report('accepted-change-kept', `read back ${Version}, ${bounds}`)
    }
    if (!Routes.some(({ Name }) => Name === `gen-${version}`)) {
      this._ledger.report('accepted-change-kept', `${Version} was read back with other routes`)
    }
  }

  private async _send (
    method: string, path: string, body: string, attempt: number
  ): Promise<OperatorAnswer | undefined> {
    const first = this._replicas[attempt % this._replicas.length] as VmAddresses
    const answer = await call(first.host, method, path, body)
    if (answer?.status !== 307 || answer.location === undefined) return answer
    return await call(new URL(answer.location).hostname, method, path, body)
  }
}

function documentOf (version: number, base: string | number): object {
  const route = (name: string, kind: string): object => ({
    Name: name,
    Host: 'h.example',
    PathPrefix: `/${name}/`,
    RouteKind: kind,
    Timeout: '1500ms',
    TargetLatency: '500ms',
    Priority: 1,
    Service: 'svc',
    MaxAttempts: 3
  })
  const generations = Array.from({ length: version }, (_, index) => route(`gen-${index + 1}`, 'idempotent'))
  return {
    Version: `r${version}`,
    BaseVersion: base,
    Routes: [route('read', 'idempotent'), route('once', 'non_idempotent'), ...generations],
    Services: [{ Name: 'svc', HealthPath: '/healthz', MaxConnections: 200, Protocol: 'h1', Tls: false }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
  }
}

/** Returns undefined when there was no clear answer. */
async function call (host: string, method: string, path: string, body: string): Promise<OperatorAnswer | undefined> {
  return await new Promise(resolve => {
    const sent = request({ host, port: PORTS.control, path, method, timeout: CALL_TIMEOUT_MS }, answer => {
      let text = ''
      answer.setEncoding('utf8')
      answer.on('data', (piece: string) => { text += piece })
      answer.on('close', () => resolve({ status: answer.statusCode ?? 0, location: answer.headers.location, body: text }))
    })
    sent.on('timeout', () => sent.destroy(new Error('no answer')))
    sent.on('error', () => resolve(undefined))
    sent.end(body)
  })
}
