import { request } from 'node:http'
import { COLD_RULE, PORTS } from './Constants.js'
import type { SoakLedger } from './SoakLedger.js'
import type { VmAddress } from './Types.js'

/** Timeout of one request, in milliseconds. */
const CALL_TIMEOUT_MS = 2000

/** Attempts of a change or a read, and the pause between them in milliseconds. */
const CHANGE_ATTEMPTS = 40
const ATTEMPT_PAUSE_MS = 200

interface OperatorAnswer {
  readonly status: number
  readonly body: string
}

/** Checked fields of the configuration that is read back, under the platform's names. */
interface ConfigurationDocument {
  readonly Version: string
  readonly Routes: ReadonlyArray<{ readonly Name: string }>
}

/** An operator that changes the configuration one version at a time and checks that no accepted change is lost. */
export class SoakOperator {
  /** Newest versions acknowledged and sent: a change without a clear answer may be in force. */
  private _acknowledgedVersion = 0
  private _sentVersion = 0
  private _baseVersion: string | number = 0
  private _isChanging = false
  private _acknowledgedAtMs = 0

  /**
   * @param _vms VMs whose processes serve operators.
   */
  public constructor (
    private readonly _vms: readonly VmAddress[],
    private readonly _ledger: SoakLedger,
    private readonly _nowMs: () => number
  ) {}

  /** Returns the newest version that was acknowledged more than `ms` milliseconds ago. */
  public versionAcknowledgedFor (ms: number): number {
    return this._nowMs() - this._acknowledgedAtMs > ms
      ? this._acknowledgedVersion
      : Math.max(1, this._acknowledgedVersion - 1)
  }

  /**
   * Adds a route for the next version; resends the same change until it gets a clear answer. Returns whether it was
   * accepted; false also while another change is in progress.
   */
  public async change (attemptLimit = CHANGE_ATTEMPTS): Promise<boolean> {
    if (this._isChanging) return false
    this._isChanging = true
    const version = this._acknowledgedVersion + 1
    const body = JSON.stringify(buildConfiguration(version, this._baseVersion))
    this._sentVersion = version
    for (let i = 0; i < attemptLimit; i++) {
      const answer = await this._send('POST', '/api/Config.Put', body, i)
      if (answer?.status === 200) {
        this._acknowledgedVersion = version
        this._acknowledgedAtMs = this._nowMs()
        this._baseVersion = `r${version}`
        break
      }
      if (answer !== undefined && answer.status >= 400 && answer.status < 500) {
        this._ledger.recordViolation('accepted-change-kept', `the change to version ${version} from ${this._baseVersion} was rejected with ${answer.status} ${answer.body}`)
        break
      }
      await new Promise(resolve => setTimeout(resolve, ATTEMPT_PAUSE_MS))
    }
    this._isChanging = false
    return this._acknowledgedVersion === version
  }

  /** Sends an order about a zone to one process after the other and returns whether it was acknowledged. */
  public async order (type: 'Start' | 'End', zone: string): Promise<boolean> {
    for (let i = 0; i < CHANGE_ATTEMPTS; i++) {
      const answer = await this._send('POST', `/api/Evacuations.${type}/${zone}`, '', i)
      if (answer?.status === 200) return true
      await new Promise(resolve => setTimeout(resolve, ATTEMPT_PAUSE_MS))
    }
    return false
  }

  /** Reads the configuration back and checks that it holds every acknowledged change. */
  public async checkAcknowledgedKept (): Promise<void> {
    for (let i = 0; i < CHANGE_ATTEMPTS; i++) {
      const answer = await this._send('GET', '/api/Config.Get', '', i)
      if (answer?.status === 200) return this._checkReadBack(JSON.parse(answer.body) as ConfigurationDocument)
      await new Promise(resolve => setTimeout(resolve, ATTEMPT_PAUSE_MS))
    }
    this._ledger.recordViolation('accepted-change-kept', 'the configuration could not be read back from any process')
  }

  private _checkReadBack ({ Version, Routes }: ConfigurationDocument): void {
    const version = Number(Version.slice(1))
    if (version < this._acknowledgedVersion || version > this._sentVersion) {
      const bounds = `acknowledged r${this._acknowledgedVersion}, sent r${this._sentVersion}`
      this._ledger.recordViolation('accepted-change-kept', `read back ${Version}, ${bounds}`)
    }
    if (!Routes.some(({ Name }) => Name === `gen-${version}`)) {
      this._ledger.recordViolation('accepted-change-kept', `${Version} was read back without the route of its version`)
    }
  }

  private async _send (
    method: string, path: string, body: string, attempt: number
  ): Promise<OperatorAnswer | undefined> {
    const { host } = this._vms[attempt % this._vms.length] as VmAddress
    return await sendRequest(host, method, path, body)
  }
}

/** Builds the configuration of a version: one route for each version so far, and three that stay. */
function buildConfiguration (version: number, base: string | number): object {
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
  const versionRoutes = Array.from({ length: version }, (_, index) => route(`gen-${index + 1}`, 'idempotent'))
  return {
    Version: `r${version}`,
    BaseVersion: base,
    Routes: [route('read', 'idempotent'), route('once', 'non_idempotent'), route('upload', 'upload'), ...versionRoutes],
    Services: [{
      Name: 'svc',
      HealthPath: '/healthz',
      MaxConnections: 200,
      Protocol: 'h1',
      Tls: false,
      ColdStart: `${COLD_RULE.startMs}ms`,
      ColdPerS: COLD_RULE.perS
    }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
  }
}

/** Sends one request to a process; returns undefined when it gets no answer. */
async function sendRequest (
  host: string, method: string, path: string, body: string
): Promise<OperatorAnswer | undefined> {
  return await new Promise(resolve => {
    const call = request({ host, port: PORTS.control, path, method, timeout: CALL_TIMEOUT_MS }, answer => {
      let text = ''
      answer.setEncoding('utf8')
      answer.on('data', (chunk: string) => { text += chunk })
      answer.on('close', () => resolve({ status: answer.statusCode ?? 0, body: text }))
    })
    call.on('timeout', () => call.destroy(new Error('the process did not answer in time')))
    call.on('error', () => resolve(undefined))
    call.end(body)
  })
}
