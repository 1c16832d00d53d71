import { request } from 'node:http'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { PORTS, STOP_SLACK_MS, STOP_TIMEOUT_MS, ZONES } from '../Constants.js'
import { SoakProcess } from '../SoakProcess.js'
import { controlSettings, nodeSettings } from '../SoakSettings.js'
import type { VmAddress } from '../Types.js'
import { DEADLINE_MS, StopCaller, type StopRequest, type StopTraffic } from './StopCaller.js'
import { StopInstance, type StopRun as InstanceRun } from './StopInstance.js'

/** Numbers of nodes and of replicas. */
const NODE_COUNT = 4
const REPLICA_COUNT = 3

/** Timeout of the route, in milliseconds; callers wait less. */
const ROUTE_TIMEOUT_MS = 4000

/** Pause between two changes of the configuration, in milliseconds. */
const CHANGE_PAUSE_MS = 300

/** Longest wait for a start, in milliseconds. */
const START_TIMEOUT_MS = 20_000

/** Times of the stop of a node and of its next start. */
interface Stop {
  readonly machine: number
  readonly atMs: number
  endedAtMs: number
  exitCode: number | null
}

/** A node with its instance and its callers. */
interface NodeMachine {
  readonly vm: VmAddress
  readonly process: SoakProcess
  readonly settings: string
  readonly callers: StopCaller[]
  readonly requests: StopRequest[]
  readonly instance: StopInstance
  isBusy: boolean
}

/** Options of a run. */
export interface StopRunOptions {
  readonly seed: number
  readonly seconds: number
  readonly folder: string
  readonly network: string
  readonly callersPerNode: number
  /** Folder of the compiled programs. */
  readonly programs: string
  readonly traffic: StopTraffic
}

/** What a run has shown. */
export interface StopReport {
  readonly counts: Readonly<Record<string, number>>
  readonly stops: number
  /** Requests that were passed on and have no whole answer, refusals of what has run, and stops out of order. */
  readonly violations: readonly string[]
}

/** Stops nodes in series and overlapping; callers use their connections until the processes are gone. */
export class StopRun {
  private readonly _random: SeededRandom
  private readonly _runs = new Map<string, InstanceRun>()
  private readonly _stops: Stop[] = []
  private readonly _controls: SoakProcess[] = []
  private readonly _nodes: NodeMachine[] = []
  private readonly _seeds: readonly VmAddress[]
  private readonly _troubles: string[] = []
  private _version = 0
  private _isOver = false

  public constructor (private readonly _options: StopRunOptions) {
    this._random = new SeededRandom(_options.seed)
    this._seeds = Array.from({ length: REPLICA_COUNT }, (_, index) => this._address('core', 150, index))
  }

  /** Plays the run. */
  public async run (): Promise<StopReport> {
    await this._start()
    const untilMs = performance.now() + 1000 * this._options.seconds
    const calls = this._nodes.flatMap(({ callers }) => callers.map(async caller => await caller.run()))
    const changes = this._changeAgainAndAgain()
    while (performance.now() < untilMs) {
      const free = this._nodes.filter(({ isBusy }) => !isBusy)
      // The others must be able to serve what is passed on.
      const node = free[Math.floor(this._random.next() * free.length)]
      if (node !== undefined && free.length > NODE_COUNT - 2) {
        this._stopAndStart(node).catch((error: Error) => this._troubles.push(error.message))
      }
      await pause(300 + this._random.next() * 3000)
    }
    while (this._nodes.some(({ isBusy }) => isBusy)) await pause(50)
    this._isOver = true
    for (const { callers } of this._nodes) callers.forEach(caller => caller.stop())
    await Promise.all([...calls, changes])
    const report = this._judge()
    await this.dispose()
    return report
  }

  /** Ends all processes and instances. */
  public async dispose (): Promise<void> {
    this._isOver = true
    const processes = [...this._controls, ...this._nodes.map(({ process }) => process)]
    await Promise.all(processes.map(async process => await process.kill()))
    for (const { instance } of this._nodes) instance.dispose()
  }

  /** Ends all processes without waiting. */
  public abort (): void {
    for (const process of [...this._controls, ...this._nodes.map(({ process }) => process)]) process.signal('SIGKILL')
  }

  private _address (kind: string, first: number, index: number): VmAddress {
    return { name: `${kind}-${index}`, host: `${this._options.network}.${first + index}` }
  }

  private async _start (): Promise<void> {
    const { folder, callersPerNode, traffic, programs } = this._options
    for (const vm of this._seeds) {
      const settings = join(folder, `${vm.name}.toml`)
      const disk = join(folder, `${vm.name}-disk`)
      mkdirSync(disk)
      writeFileSync(settings, controlSettings(vm, this._seeds, disk, true))
      const process = new SoakProcess(vm.name, join(programs, 'platform/control.js'), settings, join(folder, `${vm.name}.log`))
      process.start()
      this._controls.push(process)
    }
    for (let index = 0; index < NODE_COUNT; index++) {
      const vm = this._address('node', 1, index)
      const settings = join(folder, `${vm.name}.toml`)
      writeFileSync(settings, this._settingsOf(vm, index))
      const process = new SoakProcess(vm.name, join(programs, 'platform/node.js'), settings, join(folder, `${vm.name}.log`))
      const instance = new StopInstance(`i-${index}`, vm.host, this._runs)
      await instance.listen()
      const requests: StopRequest[] = []
      const callers = Array.from({ length: callersPerNode }, (_, caller) => {
        return new StopCaller(`${vm.name}-${caller}`, vm.host, this._random, traffic, requests)
      })
      this._nodes.push({ vm, process, settings, instance, callers, requests, isBusy: false })
      process.start()
    }
    const untilMs = performance.now() + START_TIMEOUT_MS
    while (!await this._change()) {
      if (performance.now() > untilMs) throw new Error('the first configuration was not acknowledged')
      await pause(100)
    }
    for (const node of this._nodes) await this._awaitReady(node)
    await pause(1000)
  }

  private _settingsOf (vm: VmAddress, index: number): string {
    return nodeSettings(vm, ZONES[index % ZONES.length] as string, this._seeds).replace(/MemoryMb = \d+/, 'MemoryMb = 350')
  }

  private async _stopAndStart (node: NodeMachine): Promise<void> {
    node.isBusy = true
    const stop: Stop = { machine: this._nodes.indexOf(node), atMs: performance.now(), endedAtMs: 0, exitCode: null }
    this._stops.push(stop)
    node.process.signal('SIGTERM')
    const timers = [this._random.next() * 5000, this._random.next() * 5000].map((delayMs, index) => {
      return setTimeout(() => index === 0 ? node.process.signal('SIGHUP') : this._changeSettings(node), delayMs)
    })
    stop.exitCode = await node.process.waitForExit()
    stop.endedAtMs = performance.now()
    timers.forEach(timer => clearTimeout(timer))
    await pause(this._random.next() * 500)
    node.process.start()
    await this._awaitReady(node)
    await pause(500 + this._random.next() * 1000)
    node.isBusy = false
  }

  /** Changes the order of the seeds. */
  private _changeSettings ({ settings }: NodeMachine): void {
    const text = readFileSync(settings, 'utf8')
    writeFileSync(settings, text.replace(/Seeds = \[(.*?), (.*)\]/, 'Seeds = [$2, $1]'))
  }

  private async _awaitReady ({ vm }: NodeMachine): Promise<void> {
    const untilMs = performance.now() + START_TIMEOUT_MS
    while (await call(vm.host, PORTS.ready, 'GET', '/api/readyz', '') !== 200) {
      if (performance.now() > untilMs) throw new Error(`${vm.name} is not ready`)
      await pause(50)
    }
  }

  private async _changeAgainAndAgain (): Promise<void> {
    while (!this._isOver) {
      await this._change()
      await pause(CHANGE_PAUSE_MS)
    }
  }

  private async _change (): Promise<boolean> {
    const version = this._version + 1
    const timeout = { Timeout: `${ROUTE_TIMEOUT_MS}ms`, TargetLatency: '900ms', MaxAttempts: 2 }
    const route = { Host: 'h.example', RouteKind: 'idempotent', ...timeout, Priority: 1, Service: 'svc' }
    const body = JSON.stringify({
      Version: `r${version}`,
      BaseVersion: this._version === 0 ? 0 : `r${this._version}`,
      Routes: [{ ...route, Name: 'work', PathPrefix: '/work/' }, { ...route, Name: `v${version}`, PathPrefix: `/v${version}/` }],
      Services: [{ Name: 'svc', HealthPath: '/healthz', MaxConnections: 200, Protocol: 'h1', Tls: false }],
      Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
    })
    const status = await call((this._seeds[version % REPLICA_COUNT] as VmAddress).host, PORTS.control, 'POST', '/api/Config.Put', body)
    if (status === 200) this._version = version
    return status === 200
  }

  private _judge (): StopReport {
    const counts: Record<string, number> = {}
    const violations = [...this._troubles]
    for (const { machine, atMs, endedAtMs, exitCode } of this._stops) {
      const tookMs = Math.round(endedAtMs - atMs)
      if (exitCode === 0 && tookMs <= STOP_TIMEOUT_MS + STOP_SLACK_MS) continue
      violations.push(`node-${machine} ended with ${exitCode} after ${tookMs} ms`)
    }
    for (const [machine, { requests }] of this._nodes.entries()) {
      for (const sent of requests) {
        const stop = this._stops.find(({ machine: stopped, atMs }) => {
          return stopped === machine && sent.endedAtMs >= atMs && sent.sentAtMs < atMs + STOP_TIMEOUT_MS + 1000
        })
        const run = this._runs.get(sent.id)
        const name = [stop === undefined ? 'calm' : 'stop', nameEnding(sent, run)].join('-')
        counts[name] = (counts[name] ?? 0) + 1
        if (isViolation(sent, run)) violations.push(describe(sent, stop, run))
      }
    }
    return { counts, stops: this._stops.length, violations }
  }
}

/** A request that was not passed on may be cut; one whose time was over may end in any way. */
function isViolation ({ ending, sentAtMs, endedAtMs }: StopRequest, run: InstanceRun | undefined): boolean {
  if (ending === 'whole' || run === undefined) return false
  return ending === 'refused' || endedAtMs - sentAtMs < DEADLINE_MS
}

function nameEnding ({ ending, status }: StopRequest, run: InstanceRun | undefined): string {
  if (ending === 'whole') return status === 200 ? ending : `whole-${status}`
  return run === undefined ? `${ending}-not-run` : `${ending}-${status}`
}

function describe (sent: StopRequest, stop: Stop | undefined, run: InstanceRun | undefined): string {
  const { id, path, ending, status, receivedBytes, announcedBytes, isKept, sentAtMs, endedAtMs } = sent
  const answer = `${ending}, status ${status}, ${receivedBytes} of ${announcedBytes} bytes`
  const since = (atMs: number): number => Math.round(atMs - (stop?.atMs ?? sentAtMs))
  const times = `sent at ${since(sentAtMs)} ms of the stop, ended at ${since(endedAtMs)}`
  const end = stop === undefined ? 'no stop' : `the process at ${since(stop.endedAtMs)}`
  const answered = run?.answeredAtMs === undefined ? 'not' : `at ${since(run.answeredAtMs)}`
  const instance = `run at ${since(run?.startedAtMs ?? sentAtMs)}, answered ${answered}${run?.isCancelled === true ? ', cancelled' : ''}`
  return `${id} ${path} on a ${isKept ? 'kept' : 'new'} connection: ${answer}; ${times}, ${end}; ${instance}`
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Sends a request and returns its status, 0 without an answer. */
async function call (host: string, port: number, method: string, path: string, body: string): Promise<number> {
  return await new Promise(resolve => {
    const sent = request({ host, port, method, path, timeout: 2000, agent: false }, answer => {
      answer.resume()
      answer.on('close', () => resolve(answer.statusCode ?? 0))
    })
    sent.on('timeout', () => sent.destroy(new Error('no answer in time')))
    sent.on('error', () => resolve(0))
    sent.end(body)
  })
}
