import { existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ProtocolOperator } from '../../bench/acknowledgements/ProtocolOperator.js'
import { PORTS } from '../../soak/Constants.js'
import { SoakProcess } from '../../soak/SoakProcess.js'
import { controlSettings } from '../../soak/SoakSettings.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'

const PROGRAM = 'dist/platform/control.js'

/** Pause between two attempts of an operator, in milliseconds. */
const RETRY_PAUSE_MS = 50

/** How a machine is started. */
export interface MachineStart {
  readonly seeds: readonly ControlMachine[]
  readonly bootstrap: boolean
}

/** A machine of the control group, on a loopback host of its own. */
export interface ControlMachine {
  readonly name: string
  readonly host: string
  readonly disk: string
  readonly log: string
  readonly process: SoakProcess
}

/** A configuration as an operator reads it; undefined when no replica serves it. */
export interface ReadConfiguration {
  readonly version: number
}

let networks = Math.floor(200 * Math.random())

/** Control processes of the platform with disks, and an operator that asks those that run. */
export class ControlMachines {
  private readonly _folder = mkdtempSync(join(tmpdir(), 'control-machines-'))
  private readonly _network = `127.${190 + process.pid % 20}.${1 + networks++ % 250}`
  private readonly _machines: ControlMachine[] = []
  private readonly _random = new SeededRandom(1)
  /** Newest acknowledged version. */
  public acknowledged = 0

  /** @param _toleratedLosses Replicas that may fail at the same time. */
  public constructor (private readonly _toleratedLosses = 1) {}

  /** Adds machines that are not started yet. */
  public add (count: number): ControlMachine[] {
    return Array.from({ length: count }, () => {
      const name = `core-${this._machines.length + 1}`
      const folder = join(this._folder, name)
      mkdirSync(folder)
      const log = join(folder, 'log.txt')
      const process = new SoakProcess(name, PROGRAM, join(folder, 'local.toml'), log)
      const machine = { name, host: `${this._network}.${this._machines.length + 1}`, disk: join(folder, 'data'), log, process }
      this._machines.push(machine)
      return machine
    })
  }

  /** Starts the process of a machine with its present disk. */
  public start (machine: ControlMachine, { seeds, bootstrap }: MachineStart): void {
    const settings = controlSettings(machine, seeds, machine.disk, bootstrap)
      .replace('Machines = 1', `Machines = ${this._toleratedLosses}`)
    writeFileSync(join(this._folder, machine.name, 'local.toml'), settings)
    machine.process.start()
  }

  /** Starts machines that form a group, and waits for its first configuration. */
  public async form (count: number): Promise<ControlMachine[]> {
    const machines = this.add(count)
    const seeds = machines.slice(0, 3)
    machines.forEach(machine => this.start(machine, { seeds, bootstrap: true }))
    await this.change(10_000)
    return machines
  }

  /** Sends SIGTERM and returns how long the process took to end, in milliseconds. */
  public async stop (machine: ControlMachine): Promise<number> {
    const startMs = performance.now()
    machine.process.signal('SIGTERM')
    await machine.process.waitForExit()
    return performance.now() - startMs
  }

  /** Removes the disk of a machine that doesn't run. */
  public wipe (machine: ControlMachine): void {
    rmSync(machine.disk, { recursive: true, force: true })
  }

  /**
   * Makes the next change and returns true when it is acknowledged in time.
   * @throws Error when it is refused.
   */
  public async change (limitMs: number): Promise<boolean> {
    const version = this.acknowledged + 2
    const body = JSON.stringify({
      Version: `r${version}`,
      BaseVersion: this.acknowledged === 0 ? 0 : `r${this.acknowledged}`,
      Routes: [],
      Services: [],
      Limits: { MaxHeaderBytes: 16384 + version, MaxBodyBytes: 1000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
    })
    const answer = await this._call('/api/Config.Put', body, limitMs)
    if (answer === undefined) return false
    this.acknowledged = version
    return true
  }

  /** Reads the configuration; undefined when no replica has served it in time. */
  public async read (limitMs: number): Promise<ReadConfiguration | undefined> {
    const body = await this._call('/api/Config.Get', '', limitMs)
    if (body === undefined) return undefined
    const { Version } = JSON.parse(body) as { readonly Version: string }
    return { version: Number(Version.slice(1)) }
  }

  /** Log lines of a machine with a message. */
  public readLog (machine: ControlMachine, message: string): Array<Record<string, unknown>> {
    const text = existsSync(machine.log) ? readFileSync(machine.log, 'utf8') : ''
    return text.split('\n')
      .filter(line => line.includes(`"msg":"${message}"`))
      .map(line => JSON.parse(line) as Record<string, unknown>)
  }

  /** Ends all processes and removes the files. */
  public async dispose (): Promise<void> {
    await Promise.all(this._machines.map(async ({ process }) => { if (process.isRunning) await process.kill() }))
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _call (path: string, body: string, limitMs: number): Promise<string | undefined> {
    const untilMs = performance.now() + limitMs
    for (let i = 0; performance.now() < untilMs; i++) {
      const running = this._machines.filter(({ process }) => process.isRunning)
      const operator = new ProtocolOperator({
        hosts: running.map(({ host }) => host), port: PORTS.control, random: this._random, lossShare: 0
      })
      const { status, body: text } = await operator.attempt(running[i % running.length]!.host, path, body)
      if (status === 200) return text
      if (status >= 400 && status < 500) throw new Error(`${path} was refused with ${status}: ${text}`)
      await pause(RETRY_PAUSE_MS)
    }
    return undefined
  }
}

/** Resolves after a delay. */
export async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
