import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { PORTS } from '../../soak/Constants.js'
import { type ProcessArguments, SoakProcess } from '../../soak/SoakProcess.js'
import { controlSettings, nodeSettings } from '../../soak/SoakSettings.js'
import type { VmAddress } from '../../soak/Types.js'
import { CrowdInstance } from './CrowdInstance.js'

/** Memory of the smallest VM in use, in megabytes, and a limit on its descriptors. */
const MEMORY_MB = 250
const MAX_FDS = 4100

/** Longest time until the processes serve, and for an ordinary request with its retries, in milliseconds. */
const START_LIMIT_MS = 30_000
const ORDINARY_LIMIT_MS = 15_000

/** Pause between two attempts, and between two counts of descriptors, in milliseconds. */
const RETRY_PAUSE_MS = 100
const COUNT_INTERVAL_MS = 20

const BYTES_PER_MB = 1024 * 1024

/** Kinds of routes, which are also part of their paths. */
export const ROUTE_KINDS = ['idempotent', 'non_idempotent', 'upload'] as const

/** Limits of a site; each has a default. */
export interface CrowdLimits {
  readonly memoryMb?: number
  readonly maxFds?: number
  readonly maxBodyBytes?: number
  readonly headerTimeoutMs?: number
  readonly idleTimeoutMs?: number
  readonly routeTimeoutMs?: number
}

/** Answer to an ordinary request; status 0 when there was none. */
export interface OrdinaryAnswer {
  readonly status: number
  readonly text: string
}

/** An ordinary request. */
export interface OrdinaryRequest {
  readonly host: string
  readonly port?: number
  readonly path: string
  readonly method?: 'GET' | 'POST'
  readonly body?: Buffer
  /** Sends the body without its length. */
  readonly isChunked?: boolean
}

/** Highest use of resources by a process. */
export interface PeakUse {
  readonly isRunning: boolean
  /** Resident memory in megabytes. */
  readonly residentMb: number
  readonly descriptors: number
}

/** A process of a site, whose use of resources is recorded until it ends. */
export class CrowdProcess {
  private _peak: PeakUse = { isRunning: false, residentMb: 0, descriptors: 0 }
  private readonly _timer: NodeJS.Timeout

  /** @param host Address of its VM. */
  public constructor (public readonly host: string, public readonly process: SoakProcess) {
    this._timer = setInterval(() => this._count(), COUNT_INTERVAL_MS)
  }

  /** Highest use since the start of the process. */
  public readPeak (): PeakUse {
    this._count()
    return this._peak
  }

  public async dispose (): Promise<void> {
    clearInterval(this._timer)
    if (this.process.isRunning) await this.process.kill()
  }

  private _count (): void {
    const { pid } = this.process
    this._peak = { ...this._peak, isRunning: pid !== undefined }
    if (pid === undefined) return
    try {
      // The kernel keeps the highest resident memory of a process itself.
      const residentKb = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
      const residentMb = Math.max(this._peak.residentMb, Math.ceil(Number(residentKb ?? 0) / 1024))
      const descriptors = Math.max(this._peak.descriptors, readdirSync(`/proc/${pid}/fd`).length)
      this._peak = { isRunning: residentKb !== undefined, residentMb, descriptors }
    } catch {
      this._peak = { ...this._peak, isRunning: false } // It has just ended.
    }
  }
}

let networks = Math.floor(200 * Math.random())

/**
 * One control replica and nodes as processes of the system, started as the deploy file says, with limits in their
 * settings; beside each node is an instance of service `svc-<index>`. The routes of kind `kind` to a service have the
 * path `/<service>/<kind>/`.
 */
export class CrowdSite {
  private readonly _folder = mkdtempSync(join(tmpdir(), 'crowd-'))
  private readonly _network = `127.${210 + process.pid % 20}.${1 + networks++ % 250}`
  public readonly nodes: CrowdProcess[] = []
  public readonly instances: CrowdInstance[] = []
  private _control: CrowdProcess | undefined

  private constructor (private readonly _limits: CrowdLimits) {}

  /** Starts a site and waits until each node serves the instances beside all nodes. */
  public static async start (nodeCount: 1 | 2, limits: CrowdLimits = {}): Promise<CrowdSite> {
    const site = new CrowdSite(limits)
    try {
      await site._start(nodeCount)
    } catch (error) {
      await site.dispose()
      throw error
    }
    return site
  }

  /** The control replica. */
  public get control (): CrowdProcess {
    return this._control!
  }

  /** What of the limits of the settings a process has not kept; empty when it runs and has kept them all. */
  public findExcess (process: CrowdProcess): string[] {
    const { memoryMb = MEMORY_MB, maxFds = MAX_FDS } = this._limits
    const { isRunning, residentMb, descriptors } = process.readPeak()
    return [
      ...isRunning ? [] : [`${process.process.name} has ended`],
      ...residentMb <= memoryMb ? [] : [`${process.process.name} took ${residentMb} of ${memoryMb} MB`],
      ...descriptors <= maxFds ? [] : [`${process.process.name} opened ${descriptors} of ${maxFds} descriptors`]
    ]
  }

  /**
   * Sends a request, and again when it is refused or fails, until it is served or the process has ended.
   * @returns The last answer.
   */
  public async serve (ordinary: OrdinaryRequest, limitMs = ORDINARY_LIMIT_MS): Promise<OrdinaryAnswer> {
    const untilMs = performance.now() + limitMs
    for (;;) {
      const answer = await sendOnce(ordinary, untilMs - performance.now())
      if (answer.status === 200 || performance.now() >= untilMs || this._hasEnded(ordinary.host)) return answer
      await pause(RETRY_PAUSE_MS)
    }
  }

  private _hasEnded (host: string): boolean {
    return [this.control, ...this.nodes].some(process => process.host === host && !process.process.isRunning)
  }

  /** Log of a process. */
  public readLog ({ process }: CrowdProcess): string {
    return readFileSync(join(this._folder, `${process.name}.log`), 'utf8')
  }

  public async dispose (): Promise<void> {
    for (const instance of this.instances) instance.dispose()
    await Promise.all([...this.nodes, ...this._control === undefined ? [] : [this._control]]
      .map(async process => await process.dispose()))
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _start (nodeCount: number): Promise<void> {
    const control = { name: 'core-1', host: `${this._network}.250` }
    const disk = join(this._folder, 'disk')
    mkdirSync(disk)
    this._control = this._run('control', control, controlSettings(control, [control], disk, true)
      .replace('Machines = 1', 'Machines = 0'))
    const { memoryMb = MEMORY_MB, maxFds = MAX_FDS } = this._limits
    for (let index = 0; index < nodeCount; index++) {
      const vm = { name: `node-${index}`, host: `${this._network}.${1 + index}` }
      const instance = new CrowdInstance(`svc-${index}`, vm.host)
      this.instances.push(instance)
      await instance.listen()
      const settings = nodeSettings(vm, 'zone-0', [control])
        .replace(/^MemoryMb = .*$/m, `MemoryMb = ${memoryMb}\nMaxFds = ${maxFds}`)
        .replace('Service = "svc"', `Service = "${instance.service}"`)
      this.nodes.push(this._run('node', vm, settings))
    }
    await this._configure()
    for (const { host } of this.nodes) {
      for (const { service } of this.instances) {
        const { status } = await this.serve({ host, method: 'GET', path: `/${service}/idempotent/` }, START_LIMIT_MS)
        if (status !== 200) throw new Error(`${host} does not serve ${service}: status ${status}`)
      }
    }
  }

  private _run (role: 'node' | 'control', { name, host }: VmAddress, text: string): CrowdProcess {
    const settings = join(this._folder, `${name}.toml`)
    writeFileSync(settings, text)
    const process = new SoakProcess(
      name, `dist/platform/${role}.js`, settings, join(this._folder, `${name}.log`), readArguments(role)
    )
    process.start()
    return new CrowdProcess(host, process)
  }

  private async _configure (): Promise<void> {
    const { maxBodyBytes = 64 * BYTES_PER_MB, headerTimeoutMs = 3000 } = this._limits
    const { idleTimeoutMs = 15_000, routeTimeoutMs = 60_000 } = this._limits
    const Routes = this.instances.flatMap(({ service }) => ROUTE_KINDS.map(kind => ({
      Name: `${service}-${kind}`,
      Host: 'one.example',
      PathPrefix: `/${service}/${kind}/`,
      RouteKind: kind,
      Timeout: `${routeTimeoutMs}ms`,
      TargetLatency: '20s',
      Priority: 1,
      Service: service,
      MaxAttempts: 2
    })))
    const Services = this.instances.map(({ service }) => ({
      Name: service, HealthPath: '/healthz', MaxConnections: 200, Protocol: 'h1', Tls: false
    }))
    const Limits = {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: maxBodyBytes,
      HeaderTimeout: `${headerTimeoutMs}ms`,
      IdleTimeout: `${idleTimeoutMs}ms`
    }
    const body = Buffer.from(JSON.stringify({ Version: 'r1', BaseVersion: 0, Routes, Services, Limits }))
    const { status, text } = await this.serve({
      host: this.control.host, port: PORTS.control, path: '/api/Config.Put', method: 'POST', body
    }, START_LIMIT_MS)
    if (status !== 200) throw new Error(`the configuration was not accepted: ${status} ${text}`)
  }
}

/** Resolves after a delay. */
export async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Arguments with which the deploy file starts the program of a role. */
function readArguments (role: string): ProcessArguments {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as {
    readonly roles: Readonly<Record<string, { readonly run: string }>>
  }
  const words = roles[role]!.run.split(' ').slice(1)
  const program = words.findIndex(word => !word.startsWith('--'))
  return { runtime: words.slice(0, program), program: words.slice(program + 1) }
}

let lastId = 0

/** Sends a request on a connection of its own and reads its answer. */
async function sendOnce (
  { host, port = PORTS.callers, path, method = 'POST', body, isChunked = false }: OrdinaryRequest, limitMs: number
): Promise<OrdinaryAnswer> {
  const size = body === undefined || isChunked ? {} : { 'content-length': body.length }
  const headers = { host: 'one.example', 'x-request-id': `ordinary-${++lastId}`, ...size }
  return await new Promise(resolve => {
    const fail = (error: Error): void => resolve({ status: 0, text: error.message })
    const call = request({ host, port, path, method, headers, agent: false }, answer => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => chunks.push(chunk))
      answer.once('error', fail)
      answer.once('end', () => resolve({ status: answer.statusCode ?? 0, text: Buffer.concat(chunks).toString() }))
    })
    call.once('error', fail)
    const timer = setTimeout(() => call.destroy(new Error('no answer in time')), Math.max(1, limitMs))
    call.once('close', () => clearTimeout(timer))
    call.end(body)
  })
}
