import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { LoadRun } from '../load/LoadRun.js'
import type { LoadSummary } from '../load/LoadSummary.js'
import { buildDemoLoad } from './DemoLoad.js'
import type { LocalMesh } from './LocalMesh.js'
import type { MeshLayout, DemoPlan, PairLayout } from './Types.js'

/** Faults that are injected, in this order. */
export type FaultName =
  | 'upstream-slow'
  | 'connections-silent'
  | 'upstream-killed'
  | 'node-killed'
  | 'control-killed'
  | 'crashing-request'

/** Result of the calls that were sent while a fault was present. */
export interface FaultSummary {
  readonly fault: FaultName
  readonly load: LoadSummary
  /** Whether no answer was wrong and no run was lost, duplicate or falsely reported as not run. */
  readonly kept: boolean
  /** Observations of the fault itself. */
  readonly notes: readonly string[]
}

/** Injects a fault and resolves to the function that reverts it. Appends observations to `notes`. */
type FaultInjection = (notes: string[]) => Promise<() => Promise<void>>

const LOAD_DURATION_MS = 4000
const FAULT_AT_MS = 1500
const SLOW_FACTOR = 50
/** More connections than an upstream has open, so that all of them go silent. */
const ALL_CONNECTIONS = 1000
const CRASH_REQUESTS = 5
const CRASH_PAUSE_MS = 300

/** Injects faults into a mesh while calls run, and summarizes what the callers received. */
export class FaultInjector {
  private readonly _plan: DemoPlan
  private readonly _layout: MeshLayout
  private readonly _mesh: LocalMesh

  private readonly _injections: Readonly<Record<FaultName, FaultInjection>> = {
    'upstream-slow': async () => await this._slowUpstream(),
    'connections-silent': async notes => await this._silenceConnections(notes),
    'upstream-killed': async () => await this._killUpstream(),
    'node-killed': async () => await this._killNode(),
    'control-killed': async notes => await this._killLeader(notes),
    'crashing-request': async notes => await this._sendCrashingRequests(notes)
  }

  /**
   * @param plan Services to call.
   * @param layout Addresses and journals of the mesh.
   * @param mesh Processes of the mesh.
   */
  public constructor (plan: DemoPlan, layout: MeshLayout, mesh: LocalMesh) {
    this._plan = plan
    this._layout = layout
    this._mesh = mesh
  }

  /**
   * Injects all faults, one after the other, with a load run for each.
   * @param onProgress Called with a line of text at each fault.
   */
  public async run (onProgress: (line: string) => void): Promise<FaultSummary[]> {
    const summaries: FaultSummary[] = []
    for (const fault of Object.keys(this._injections) as FaultName[]) {
      onProgress(`fault: ${fault}`)
      summaries.push(await this._runFault(fault))
    }
    return summaries
  }

  private async _runFault (fault: FaultName): Promise<FaultSummary> {
    const notes: string[] = []
    // A caller can't find out what a killed node did with its call, so no calls are sent to that node.
    const targets = fault === 'node-killed' ? this._layout.pairs.filter(pair => pair !== this._guardedPair()) : undefined
    const run = new LoadRun(buildDemoLoad(this._plan, this._layout, LOAD_DURATION_MS, targets), `${fault}-${process.pid}`)
    const running = run.run()
    await delay(FAULT_AT_MS)
    const revert = await this._injections[fault](notes)
    const load = await running
    await revert()
    return { fault, load, kept: areGuaranteesKept(load), notes }
  }

  private async _slowUpstream (): Promise<() => Promise<void>> {
    const { upstreamAdmin } = this._lookupPair()
    await changeBehaviour(upstreamAdmin, { slowFactor: SLOW_FACTOR })
    return async () => { await changeBehaviour(upstreamAdmin, { slowFactor: 1 }) }
  }

  private async _silenceConnections (notes: string[]): Promise<() => Promise<void>> {
    for (const { id, upstreamAdmin } of [this._lookupPair(), this._guardedPair()]) {
      notes.push(`${id}: ${await changeBehaviour(upstreamAdmin, { silence: ALL_CONNECTIONS })}`)
    }
    return async () => {}
  }

  private async _killUpstream (): Promise<() => Promise<void>> {
    const { id } = this._guardedPair()
    await this._mesh.processGroup.stop(`upstream-${id}`, 'SIGKILL')
    return async () => { await this._mesh.restartUpstream(this._layout, id) }
  }

  private async _killNode (): Promise<() => Promise<void>> {
    const { id } = this._guardedPair()
    await this._mesh.processGroup.stop(`node-${id}`, 'SIGKILL')
    return async () => { await this._mesh.restartNode(this._layout, id) }
  }

  private async _killLeader (notes: string[]): Promise<() => Promise<void>> {
    const leader = await this._mesh.findLeader(this._layout)
    notes.push(`${leader} was the leader`)
    await this._mesh.processGroup.stop(leader, 'SIGKILL')
    return async () => { await this._mesh.restartReplica(this._layout, leader) }
  }

  /** Sends a poison request several times from one caller and restarts the upstreams that it crashed after each. */
  private async _sendCrashingRequests (notes: string[]): Promise<() => Promise<void>> {
    const { service, path } = this._plan.lookup
    const url = `http://${this._guardedPair().caller}${path}/crash`
    const crashed = new Set<string>()
    for (let sent = 0; sent < CRASH_REQUESTS; sent++) {
      const answer = await request(url, { headers: { host: `${service}.mesh`, 'x-crash': '1' } })
      await answer.body.dump()
      await delay(CRASH_PAUSE_MS)
      for (const name of this._mesh.processGroup.exitedNames()) crashed.add(name)
      notes.push(`answer ${answer.statusCode} ${String(answer.headers['sassafras-disposition'])}, ${crashed.size} crashed`)
      await Promise.all(this._mesh.processGroup.exitedNames().map(async name => await this._restart(name)))
    }
    return async () => {}
  }

  private async _restart (name: string): Promise<void> {
    await this._mesh.processGroup.stop(name)
    await this._mesh.restartUpstream(this._layout, name.replace('upstream-', ''))
  }

  private _lookupPair (): PairLayout {
    return this._findPair(this._plan.lookup.service)
  }

  private _guardedPair (): PairLayout {
    return this._findPair(this._plan.guarded.service)
  }

  private _findPair (service: string): PairLayout {
    return this._layout.pairs.find(pair => pair.service === service) as PairLayout
  }
}

function areGuaranteesKept ({ all, audit }: LoadSummary): boolean {
  const faults = audit === undefined ? Number.NaN : audit.lost + audit.doubled + audit.falseNotRun
  return all.ends.wrong === 0 && faults === 0
}

async function changeBehaviour (admin: string, change: object): Promise<string> {
  const headers = { 'content-type': 'application/json' }
  const answer = await request(`http://${admin}/behaviour`, { method: 'POST', headers, body: JSON.stringify(change) })
  return await answer.body.text()
}
