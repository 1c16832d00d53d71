import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { PORTS } from '../../soak/Constants.js'
import { SoakProcess } from '../../soak/SoakProcess.js'
import { controlSettings, nodeSettings } from '../../soak/SoakSettings.js'

/** What a group consists of. */
export interface GroupPlan {
  /** Empty or missing folder for settings, disks and logs. */
  readonly folder: string
  /** Folder with the programs `control.js` and `node.js`. */
  readonly programs: string
  /** Second octet of the loopback addresses; concurrent groups need different ones. */
  readonly network: number
  readonly replicas: number
  readonly nodes: number
}

/** A process on a loopback host of its own. */
interface Vm {
  readonly host: string
  readonly log: string
  readonly process: SoakProcess
}

/** Control replicas and nodes as processes of the platform's programs, each on a loopback host of its own. */
export class OperatedGroup {
  /** Port on which all hosts serve operators. */
  public readonly port = PORTS.control
  private readonly _replicas: Vm[] = []
  private readonly _nodes: Vm[] = []
  private _version = 0

  /** Starts the processes; the first changes fail until the group has formed. */
  public constructor ({ folder, programs, network, replicas, nodes }: GroupPlan) {
    rmSync(folder, { recursive: true, force: true })
    mkdirSync(folder, { recursive: true })
    const seeds = Array.from({ length: replicas }, (_, index) => ({ name: `control-${index}`, host: `127.${network}.0.${200 + index}` }))
    for (const vm of seeds) {
      const disk = join(folder, vm.name)
      mkdirSync(disk)
      const settings = controlSettings(vm, seeds, disk, true)
      this._replicas.push(startVm(vm, join(programs, 'control.js'), folder, settings))
    }
    for (let index = 0; index < nodes; index++) {
      const vm = { name: `node-${index}`, host: `127.${network}.0.${1 + index}` }
      this._nodes.push(startVm(vm, join(programs, 'node.js'), folder, nodeSettings(vm, 'zone-0', seeds)))
    }
  }

  /** Hosts of the control replicas. */
  public get replicaHosts (): string[] {
    return this._replicas.map(({ host }) => host)
  }

  /** Hosts of the nodes. */
  public get nodeHosts (): string[] {
    return this._nodes.map(({ host }) => host)
  }

  /** Host of the replica that was elected last according to the logs; undefined before the first election. */
  public get leaderHost (): string | undefined {
    let newest: { readonly host: string, readonly term: number } | undefined
    for (const { host, log } of this._replicas) {
      for (const [, term] of readFileSync(log, 'utf8').matchAll(/"role":"leader","term":(\d+)/g)) {
        if (newest === undefined || Number(term) > newest.term) newest = { host, term: Number(term) }
      }
    }
    return newest?.host
  }

  /** Stops a process until it is thawed; its kernel keeps accepting connections. */
  public freeze (host: string): void {
    this._find(host).process.signal('SIGSTOP')
  }

  /** Lets a stopped process run again. */
  public thaw (host: string): void {
    this._find(host).process.signal('SIGCONT')
  }

  /** Returns the body of the next change; each builds on the one before. */
  public nextChange (): string {
    const base = this._version
    this._version += 2
    return formatChange(this._version, base)
  }

  /** Returns the body of a change on the current version that `nextChange` does not count. */
  public changeOnCurrent (): string {
    return formatChange(this._version + 1, this._version)
  }

  /** Kills all processes. */
  public async dispose (): Promise<void> {
    await Promise.all([...this._replicas, ...this._nodes].map(async ({ process }) => await process.kill()))
  }

  private _find (host: string): Vm {
    const vm = [...this._replicas, ...this._nodes].find(item => item.host === host)
    if (vm === undefined) throw new Error(`no process has the host ${host}`)
    return vm
  }
}

function formatChange (version: number, base: number): string {
  return JSON.stringify({
    Version: `r${version}`,
    BaseVersion: base === 0 ? 0 : `r${base}`,
    Routes: [],
    Services: [],
    Limits: { MaxHeaderBytes: 16384 + version, MaxBodyBytes: 1000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
  })
}

function startVm (
  vm: { readonly name: string, readonly host: string }, program: string, folder: string, settings: string
): Vm {
  const settingsPath = join(folder, `${vm.name}.toml`)
  const log = join(folder, `${vm.name}.log`)
  writeFileSync(settingsPath, settings)
  const process = new SoakProcess(vm.name, program, settingsPath, log)
  process.start()
  return { host: vm.host, log, process }
}
