import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { LoadRun } from '../load/LoadRun.js'
import type { LoadSummary } from '../load/LoadSummary.js'
import { buildDemoLoad } from './DemoLoad.js'
import type { LocalMesh } from './LocalMesh.js'
import type { DemoLayout, DemoPlan, PairLayout } from './Types.js'

/** Faults that are brought about, in this order. */
export type FaultName =
  | 'upstream-slow'
  | 'connections-silent'
  | 'upstream-killed'
  | 'node-killed'
  | 'control-killed'
  | 'crashing-request'

/** What callers got while a fault was there. */
export interface FaultSummary {
  readonly fault: FaultName
  readonly load: LoadSummary
  /** True when no answer was wrong, and nothing was lost, doubled or falsely called not run. */
  readonly kept: boolean
  /** What the fault itself showed. */
  readonly notes: readonly string[]
}

/** Brings a fault about and returns what takes it away again. */
type FaultHandler = (notes: string[]) => Promise<() => Promise<void>>

const LOAD_MS = 4000
const FAULT_AT_MS = 1500
const SLOW_FACTOR = 50
const ALL_CONNECTIONS = 1000
const CRASH_REPEATS = 5
const CRASH_PAUSE_MS = 300

/** Brings faults about in a mesh while callers use it, and counts what they got. */
export class FaultRunner {
  private readonly _plan: DemoPlan
  private readonly _layout: DemoLayout
  private readonly _mesh: LocalMesh

  private readonly _handlers: Readonly<Record<FaultName, FaultHandler>> = {
    'upstream-slow': async () => await this._slowDown(),
    'connections-silent': async notes => await this._silence(notes),
    'upstream-killed': async () => await this._killUpstream(),
    'node-killed': async () => await this._killNode(),
    'control-killed': async notes => await this._killLeader(notes),
    'crashing-request': async notes => await this._sendCrashing(notes)
  }

  /**
   * @param plan Services to call.
   * @param layout The mesh.
   * @param mesh Its processes.
   */
  public constructor (plan: DemoPlan, layout: DemoLayout, mesh: LocalMesh) {
    this._plan = plan
    this._layout = layout
    this._mesh = mesh
  }

  /**
   * Brings all faults about, one after the other.
   * @param tell Called with a line on each fault.
   */
  public async run (tell: (line: string) => void): Promise<FaultSummary[]> {
    const summaries: FaultSummary[] = []
    for (const fault of Object.keys(this._handlers) as FaultName[]) {
      tell(`fault: ${fault}`)
      summaries.push(await this._runFault(fault))
    }
    return summaries
  }

  private async _runFault (fault: FaultName): Promise<FaultSummary> {
    const notes: string[] = []
    // Callers of a node that dies have no way to tell what it did; they are not what is counted here.
    const targets = fault === 'node-killed' ? this._layout.pairs.filter(pair => pair !== this._guardedPair()) : undefined
    const run = new LoadRun(buildDemoLoad(this._plan, this._layout, LOAD_MS, targets), `${fault}-${process.pid}`)
    const running = run.run()
    await delay(FAULT_AT_MS)
    const mend = await this._handlers[fault](notes)
    const load = await running
    await mend()
    return { fault, load, kept: isKept(load), notes }
  }

  private async _slowDown (): Promise<() => Promise<void>> {
    const { upstreamAdmin } = this._lookupPair()
    await behave(upstreamAdmin, { slowFactor: SLOW_FACTOR })
    return async () => { await behave(upstreamAdmin, { slowFactor: 1 }) }
  }

  private async _silence (notes: string[]): Promise<() => Promise<void>> {
    for (const { id, upstreamAdmin } of [this._lookupPair(), this._guardedPair()]) {
      notes.push(`${id}: ${await behave(upstreamAdmin, { silence: ALL_CONNECTIONS })}`)
    }
    return async () => {}
  }

  private async _killUpstream (): Promise<() => Promise<void>> {
    const { id } = this._guardedPair()
    await this._mesh.group.stop(`upstream-${id}`, 'SIGKILL')
    return async () => { await this._mesh.restartUpstream(this._layout, id) }
  }

  private async _killNode (): Promise<() => Promise<void>> {
    const { id } = this._guardedPair()
    await this._mesh.group.stop(`node-${id}`, 'SIGKILL')
    return async () => { await this._mesh.restartNode(this._layout, id) }
  }

  private async _killLeader (notes: string[]): Promise<() => Promise<void>> {
    const leader = await this._mesh.findLeader(this._layout)
    notes.push(`${leader} led`)
    await this._mesh.group.stop(leader, 'SIGKILL')
    return async () => { await this._mesh.restartReplica(this._layout, leader) }
  }

  /** One caller sends a request that crashes each upstream that runs it, again and again. */
  private async _sendCrashing (notes: string[]): Promise<() => Promise<void>> {
    const { service, path } = this._plan.lookup
    const url = `http://${this._guardedPair().caller}${path}/crash`
    const crashed = new Set<string>()
    for (let repeat = 0; repeat < CRASH_REPEATS; repeat++) {
      const answer = await request(url, { headers: { host: `${service}.mesh`, 'x-crash': '1' } })
      await answer.body.dump()
      await delay(CRASH_PAUSE_MS)
      for (const name of this._mesh.group.ended()) crashed.add(name)
      notes.push(`answer ${answer.statusCode} ${String(answer.headers['sassafras-disposition'])}, ${crashed.size} crashed`)
      await Promise.all(this._mesh.group.ended().map(async name => await this._startAgain(name)))
    }
    return async () => {}
  }

  private async _startAgain (name: string): Promise<void> {
    await this._mesh.group.stop(name)
    await this._mesh.restartUpstream(this._layout, name.replace('upstream-', ''))
  }

  private _lookupPair (): PairLayout {
    return this._pairOf(this._plan.lookup.service)
  }

  private _guardedPair (): PairLayout {
    return this._pairOf(this._plan.guarded.service)
  }

  private _pairOf (service: string): PairLayout {
    return this._layout.pairs.find(pair => pair.service === service) as PairLayout
  }
}

function isKept ({ all, audit }: LoadSummary): boolean {
  const faults = audit === undefined ? Number.NaN : audit.lost + audit.doubled + audit.falseNotRun
  return all.ends.wrong === 0 && faults === 0
}

async function behave (admin: string, change: object): Promise<string> {
  const headers = { 'content-type': 'application/json' }
  const answer = await request(`http://${admin}/behaviour`, { method: 'POST', headers, body: JSON.stringify(change) })
  return await answer.body.text()
}
