import { mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { STOP_SLACK_MS, STOP_TIMEOUT_MS, ZONES } from '../Constants.js'
import { SoakProcess } from '../SoakProcess.js'
import { controlSettings, nodeSettings } from '../SoakSettings.js'
import type { VmAddress } from '../Types.js'
import { HistoryInstance } from './HistoryInstance.js'
import type { CallTarget, HistoryRecorder } from './HistoryRecorder.js'
import type { ProcessRecord, ProcessRole } from './Types.js'

/** First last octets of the addresses of nodes and of control replicas. */
const FIRST_OCTET: Readonly<Record<ProcessRole, number>> = { node: 1, control: 150 }

/** A machine with one process. */
export interface HistoryMachine {
  readonly vm: VmAddress
  readonly role: ProcessRole
  readonly process: SoakProcess
  readonly record: ProcessRecord
  readonly settings: string
  /** Data folder of a replica. */
  readonly folder: string
  readonly zone: string
  /** True while a fault affects the process; others are skipped meanwhile. */
  isBusy: boolean
  startedAtMs: number
  /** When its process was killed or stopped last. */
  awaySinceMs: number
}

/** The processes of a run, each on a loopback address of its own, with the instances beside nodes. */
export class HistoryDeployment {
  public readonly nodes: HistoryMachine[] = []
  /** Machines of the control group at present. */
  public controls: HistoryMachine[] = []
  private readonly _retired: HistoryMachine[] = []
  private readonly _instances: HistoryInstance[] = []
  private _isFormed = false
  private _controlCount = 0

  /**
   * @param _recorder Records processes and what disturbs them.
   * @param _folder Empty folder for settings, disks and logs.
   * @param _network First three octets of the loopback addresses.
   * @param _services Services of the instances, in turn.
   * @param _programs Paths of the programs.
   */
  public constructor (
    private readonly _recorder: HistoryRecorder,
    private readonly _folder: string,
    private readonly _network: string,
    private readonly _services: readonly string[],
    private readonly _programs: Readonly<Record<ProcessRole, string>>
  ) {}

  /** Starts the control group, the instances and the nodes. */
  public async start (controlCount: number, nodeCount: number): Promise<void> {
    for (let index = 0; index < controlCount; index++) this.controls.push(this._addMachine('control', this._controlCount++))
    for (let index = 0; index < nodeCount; index++) this.nodes.push(this._addMachine('node', index))
    this._writeSettings()
    for (const machine of this.controls) this._run(machine)
    for (const [index, { vm, process }] of this.nodes.entries()) {
      const service = this._services[index % this._services.length] as string
      const instance = new HistoryInstance(`i-${vm.name}`, service, vm.host, id => this._recorder.recordRun(id, service))
      this._instances.push(instance)
      await instance.listen()
      process.start()
    }
  }

  /** Called once the first configuration is acknowledged: later starts join the group. */
  public setFormed (): void {
    this._isFormed = true
    this._writeSettings()
  }

  /** Processes that callers know: also those that are away, until the lag of their list is over. */
  public targets (): CallTarget[] {
    const nowMs = this._recorder.nowMs()
    const isKnown = ({ process, awaySinceMs }: HistoryMachine): boolean =>
      process.isRunning || nowMs < awaySinceMs + SEED_LAG_MS
    const machines = [...this.controls, ...this.nodes]
    const known = machines.filter(isKnown)
    return (known.length > 0 ? known : machines).map(machine => this.targetOf(machine))
  }

  /** A machine as callers see it. */
  public targetOf ({ vm, process }: HistoryMachine): CallTarget {
    return { ...vm, incarnation: process.incarnation }
  }

  /**
   * Takes processes away at the same moment, and starts them again after a time.
   * @param wiped Machines that lose their disks meanwhile.
   */
  public async crash (
    machines: readonly HistoryMachine[], forMs: number, wiped: readonly HistoryMachine[] = []
  ): Promise<void> {
    await this._disturb(machines, wiped.length === 0 ? 'kill' : 'disk-lost', async () => {
      await Promise.all(machines.map(async ({ process }) => await process.kill()))
      for (const { folder } of wiped) this._wipe(folder)
      await this._sleep(forMs)
    })
  }

  /** Stops a process in order and starts it again. */
  public async restart (machine: HistoryMachine): Promise<void> {
    await this._disturb([machine], 'stop', async () => await this._stop(machine))
  }

  /** Freezes a process for a time. */
  public async pause (machine: HistoryMachine, forMs: number): Promise<void> {
    await this._disturb([machine], 'pause', async () => {
      machine.process.signal('SIGSTOP')
      await this._sleep(forMs)
      machine.process.signal('SIGCONT')
    })
  }

  /** Sends SIGHUP to a process that has run for some time, in milliseconds. */
  public hangUp (machine: HistoryMachine, ranMs: number): void {
    if (!machine.isBusy && this._recorder.nowMs() > machine.startedAtMs + ranMs) machine.process.signal('SIGHUP')
  }

  /** Adds a control machine with a new address and an empty disk. */
  public addControl (): HistoryMachine {
    const machine = this._addMachine('control', this._controlCount++)
    this.controls = [...this.controls, machine]
    this._writeSettings()
    this._run(machine)
    this._recorder.disturb(machine.vm.name, 'start')()
    return machine
  }

  /** Takes a control machine away for good, in order or at once. */
  public async removeControl (machine: HistoryMachine, isPlanned: boolean): Promise<void> {
    machine.isBusy = true
    this.controls = this.controls.filter(other => other !== machine)
    this._retired.push(machine)
    const end = this._recorder.disturb(machine.vm.name, isPlanned ? 'leave' : 'machine-lost')
    await (isPlanned ? this._stop(machine) : machine.process.kill())
    end()
    machine.record.goneAtMs = this._recorder.nowMs()
    this._wipe(machine.folder)
    this._writeSettings()
  }

  /** Records processes that have ended by themselves, and starts them again. */
  public restartEnded (): void {
    for (const machine of [...this.controls, ...this.nodes]) {
      if (machine.isBusy || machine.process.isRunning) continue
      this._recorder.history.ends.push({ process: machine.vm.name, atMs: this._recorder.nowMs() })
      this._run(machine)
      this._recorder.disturb(machine.vm.name, 'own-end')()
    }
  }

  /** Kills all processes and closes the instances. */
  public async dispose (): Promise<void> {
    const machines = [...this.controls, ...this.nodes, ...this._retired]
    await Promise.all(machines.map(async ({ process }) => await process.kill()))
    for (const instance of this._instances) instance.dispose()
  }

  /** Kills all processes without waiting for their exit. */
  public abort (): void {
    for (const { process } of [...this.controls, ...this.nodes, ...this._retired]) process.signal('SIGKILL')
  }

  private async _disturb (
    machines: readonly HistoryMachine[], kind: string, play: () => Promise<void>
  ): Promise<void> {
    const ends = machines.map(({ vm }) => this._recorder.disturb(vm.name, kind))
    for (const machine of machines) Object.assign(machine, { isBusy: true, awaySinceMs: this._recorder.nowMs() })
    await play()
    for (const machine of machines) {
      this._run(machine)
      machine.isBusy = false
    }
    for (const end of ends) end()
  }

  private _run (machine: HistoryMachine): void {
    if (!machine.process.isRunning) machine.startedAtMs = this._recorder.nowMs()
    machine.process.start()
  }

  private async _stop ({ process }: HistoryMachine): Promise<void> {
    process.signal('SIGTERM')
    const timer = setTimeout(() => process.signal('SIGKILL'), STOP_TIMEOUT_MS + STOP_SLACK_MS)
    await process.waitForExit()
    clearTimeout(timer)
  }

  private _wipe (folder: string): void {
    rmSync(folder, { recursive: true, force: true })
    mkdirSync(folder)
  }

  private _addMachine (role: ProcessRole, index: number): HistoryMachine {
    const vm = { name: `${role}-${index}`, host: `${this._network}.${FIRST_OCTET[role] + index}` }
    const settings = join(this._folder, `${vm.name}.toml`)
    const folder = join(this._folder, `${vm.name}-disk`)
    if (role === 'control') mkdirSync(folder)
    const record = { name: vm.name, role, fromMs: this._recorder.nowMs() }
    this._recorder.history.processes.push(record)
    const process = new SoakProcess(vm.name, this._programs[role], settings, join(this._folder, `${vm.name}.log`))
    const zone = ZONES[index % ZONES.length] as string
    return { vm, role, process, record, settings, folder, zone, isBusy: false, startedAtMs: 0, awaySinceMs: 0 }
  }

  /** The seeds are the machines of the group at present, as the platform renders them. */
  private _writeSettings (): void {
    const seeds = this.controls.map(({ vm }) => vm)
    for (const { vm, settings, folder } of this.controls) {
      replaceFile(settings, controlSettings(vm, seeds, folder, !this._isFormed))
    }
    for (const { vm, settings, zone } of this.nodes) replaceFile(settings, nodeSettings(vm, zone, seeds))
  }

  private async _sleep (ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms))
  }
}

/** Time for which callers still know a process that is away, in milliseconds. Set by the platform. */
const SEED_LAG_MS = 3000

/** Replaces a file as a whole, so that no reader sees a part of it. */
function replaceFile (path: string, text: string): void {
  writeFileSync(`${path}.new`, text)
  renameSync(`${path}.new`, path)
}
