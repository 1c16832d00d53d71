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
  private readonly plan: DemoPlan
  private readonly layout: DemoLayout
  private readonly mesh: LocalMesh

  private readonly handlers: Readonly<Record<FaultName, FaultHandler>> = {
    'upstream-slow': async () => await this.slowDown(),
    'connections-silent': async notes => await this.silence(notes),
    'upstream-killed': async () => await this.killUpstream(),
    'node-killed': async () => await this.killNode(),
    'control-killed': async notes => await this.killLeader(notes),
    'crashing-request': async notes => await this.sendCrashing(notes)
  }

  /**
   * @param plan Services to call.
   * @param layout The mesh.
   * @param mesh Its processes.
   */
  public constructor (plan: DemoPlan, layout: DemoLayout, mesh: LocalMesh) {
    this.plan = plan
    this.layout = layout
    this.mesh = mesh
  }

  /**
   * Brings all faults about, one after the other.
   * @param tell Called with a line on each fault.
   */
  public async run (tell: (line: string) => void): Promise<FaultSummary[]> {
    const summaries: FaultSummary[] = []
    for (const fault of Object.keys(this.handlers) as FaultName[]) {
      tell(`fault: ${fault}`)
      summaries.push(await this.runFault(fault))
    }
    return summaries
  }

  private async runFault (fault: FaultName): Promise<FaultSummary> {
    const notes: string[] = []
    // Callers of a node that dies have no way to tell what it did; they are not what is counted here.
    const targets = fault === 'node-killed' ? this.layout.pairs.filter(pair => pair !== this.guardedPair()) : undefined
    const run = new LoadRun(buildDemoLoad(this.plan, this.layout, LOAD_MS, targets), `${fault}-${process.pid}`)
    const running = run.run()
    await delay(FAULT_AT_MS)
    const mend = await this.handlers[fault](notes)
    const load = await running
    await mend()
    return { fault, load, kept: isKept(load), notes }
  }

  private async slowDown (): Promise<() => Promise<void>> {
    const { upstreamAdmin } = this.lookupPair()
    await behave(upstreamAdmin, { slowFactor: SLOW_FACTOR })
    return async () => { await behave(upstreamAdmin, { slowFactor: 1 }) }
  }

  private async silence (notes: string[]): Promise<() => Promise<void>> {
    for (const { id, upstreamAdmin } of [this.lookupPair(), this.guardedPair()]) {
      notes.push(`${id}: ${await behave(upstreamAdmin, { silence: ALL_CONNECTIONS })}`)
    }
    return async () => {}
  }

  private async killUpstream (): Promise<() => Promise<void>> {
    const { id } = this.guardedPair()
    await this.mesh.group.stop(`upstream-${id}`, 'SIGKILL')
    return async () => { await this.mesh.restartUpstream(this.layout, id) }
  }

  private async killNode (): Promise<() => Promise<void>> {
    const { id } = this.guardedPair()
    await this.mesh.group.stop(`node-${id}`, 'SIGKILL')
    return async () => { await this.mesh.restartNode(this.layout, id) }
  }

  private async killLeader (notes: string[]): Promise<() => Promise<void>> {
    const leader = await this.mesh.findLeader(this.layout)
    notes.push(`${leader} led`)
    await this.mesh.group.stop(leader, 'SIGKILL')
    return async () => { await this.mesh.restartReplica(this.layout, leader) }
  }

  /** One caller sends a request that crashes each upstream that runs it, again and again. */
  private async sendCrashing (notes: string[]): Promise<() => Promise<void>> {
    const { service, path } = this.plan.lookup
    const url = `http://${this.guardedPair().caller}${path}/crash`
    const crashed = new Set<string>()
    for (let repeat = 0; repeat < CRASH_REPEATS; repeat++) {
      const answer = await request(url, { headers: { host: `${service}.mesh`, 'x-crash': '1' } })
      await answer.body.dump()
      await delay(CRASH_PAUSE_MS)
      for (const name of this.mesh.group.ended()) crashed.add(name)
      notes.push(`answer ${answer.statusCode} ${String(answer.headers['sassafras-disposition'])}, ${crashed.size} crashed`)
      await Promise.all(this.mesh.group.ended().map(async name => await this.startAgain(name)))
    }
    return async () => {}
  }

  private async startAgain (name: string): Promise<void> {
    await this.mesh.group.stop(name)
    await this.mesh.restartUpstream(this.layout, name.replace('upstream-', ''))
  }

  private lookupPair (): PairLayout {
    return this.pairOf(this.plan.lookup.service)
  }

  private guardedPair (): PairLayout {
    return this.pairOf(this.plan.guarded.service)
  }

  private pairOf (service: string): PairLayout {
    return this.layout.pairs.find(pair => pair.service === service) as PairLayout
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
