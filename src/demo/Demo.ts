import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { CtlProgram } from '../ctl/CtlProgram.js'
import { LoadRun } from '../load/LoadRun.js'
import { loadPlan } from '../load/LoadPlan.js'
import type { LoadPlan } from '../load/LoadPlan.js'
import type { LoadSummary } from '../load/LoadSummary.js'
import { ProcessGroup } from './ProcessGroup.js'
import type { ProcessEnd } from './ProcessGroup.js'
import { SettingsWriter } from './SettingsWriter.js'
import type { DemoLayout, DemoPlan } from './Types.js'

/** What a demonstration has shown. */
export interface DemoSummary {
  readonly processes: number
  /** Version of the configuration that a quorum accepted. */
  readonly version: number
  readonly startedInMs: number
  /** The upstream that was stopped while calls ran, and how it ended. */
  readonly stopped: { readonly upstream: string, readonly end: ProcessEnd }
  readonly load: LoadSummary
  /** How each process ended when the demonstration stopped it. */
  readonly ends: Readonly<Record<string, ProcessEnd>>
  /** True when each caller got its own whole answer, and nothing was lost or doubled. */
  readonly whole: boolean
}

const READY_TIMEOUT_MS = 20_000
const POLL_MS = 50
const LOAD_MS = 10_000
const STOP_AT_MS = 4000
const DOWNLOAD_BYTES = 2_000_000
const DOWNLOAD_BYTES_PER_S = 1_000_000

/** Runs a small mesh as separate processes on loopback and drives calls through it. */
export class Demo {
  private readonly plan: DemoPlan
  private readonly folder: string
  private readonly configurationFile: string
  private readonly group: ProcessGroup

  /**
   * @param plan Services and instances.
   * @param folder Empty folder for settings, logs, journals and data.
   * @param configurationFile Inventory and rules to hand over.
   */
  public constructor (plan: DemoPlan, folder: string, configurationFile: string) {
    this.plan = plan
    this.folder = folder
    this.configurationFile = configurationFile
    this.group = new ProcessGroup(folder)
  }

  /**
   * Runs the demonstration to its end; its processes have ended when this returns or throws.
   * @param tell Called with a line on each step.
   */
  public async run (tell: (line: string) => void): Promise<DemoSummary> {
    try {
      return await this.runSteps(tell)
    } finally {
      this.group.kill()
    }
  }

  private async runSteps (tell: (line: string) => void): Promise<DemoSummary> {
    const startedAtMs = performance.now()
    const layout = await new SettingsWriter(this.plan, this.folder).write()
    const processes = this.startAll(layout)
    tell(`started ${processes} processes; settings and logs are in ${this.folder}`)
    await this.waitForHealth(layout.replicas.map(replica => replica.admin))
    const version = await this.apply()
    tell(`a quorum accepted version ${version}`)
    await this.waitForHealth(layout.pairs.map(pair => pair.admin))
    await this.waitForAnswers(layout)
    const startedInMs = Math.round(performance.now() - startedAtMs)
    tell(`every node reaches every service after ${startedInMs} ms; sending calls for ${LOAD_MS / 1000} s`)
    const run = new LoadRun(planOf(layout), `demo-${process.pid}`)
    const [load, stopped] = await Promise.all([run.run(), this.stopOne(layout, tell)])
    const ends = await this.group.stopAll()
    tell('stopped all processes')
    return { processes, version, startedInMs, stopped, load, ends, whole: isWhole(load) }
  }

  private startAll (layout: DemoLayout): number {
    for (const { id } of layout.replicas) this.group.start('sassafras-control', id)
    for (const { id } of layout.pairs) {
      this.group.start('sassafras-node', `node-${id}`)
      this.group.start('sassafras-upstream', `upstream-${id}`)
    }
    return layout.replicas.length + 2 * layout.pairs.length
  }

  private async apply (): Promise<number> {
    const settings = join(this.folder, 'sassafrasctl.toml')
    const args = ['apply', this.configurationFile, '--base', '0', '--operation', 'demo-1', '--settings', settings, '--json']
    const stdout = new PassThrough()
    const exit = await new CtlProgram().run(args, { stdout })
    const report = String(stdout.read())
    if (exit !== 0) throw new Error(`the configuration was not accepted: ${report}`)
    return (JSON.parse(report) as { readonly version: number }).version
  }

  private async waitForHealth (addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map(async address => {
      await this.waitUntil(`${address} is healthy`, async () => await statusOf(`http://${address}/health`, {}) === 200)
    }))
  }

  /** Waits until each node has reached each service, so that the calls that count meet a complete mesh. */
  private async waitForAnswers (layout: DemoLayout): Promise<void> {
    const services = Object.keys(this.plan.services)
    await Promise.all(layout.pairs.flatMap(pair => services.map(async service => {
      const url = `http://${pair.caller}/lookups/warm`
      await this.waitUntil(`${pair.id} reaches ${service}`, async () => await statusOf(url, { host: `${service}.mesh` }) === 200)
    })))
  }

  private async waitUntil (what: string, holds: () => Promise<boolean>): Promise<void> {
    const endAtMs = performance.now() + READY_TIMEOUT_MS
    while (!await holds()) {
      const ended = this.group.ended()
      if (ended.length > 0) throw new Error(`${ended.join(', ')} ended; see the logs in ${this.folder}`)
      if (performance.now() > endAtMs) throw new Error(`not within ${READY_TIMEOUT_MS} ms: ${what}`)
      await delay(POLL_MS)
    }
  }

  /** Stops one upstream as an operator does, while calls run. */
  private async stopOne (layout: DemoLayout, tell: (line: string) => void): Promise<DemoSummary['stopped']> {
    const [first] = layout.pairs
    if (first === undefined) throw new Error('no instances')
    await delay(STOP_AT_MS)
    tell(`stopping upstream ${first.id} with SIGTERM while calls run`)
    return { upstream: first.id, end: await this.group.stop(`upstream-${first.id}`) }
  }
}

function planOf (layout: DemoLayout): LoadPlan {
  return loadPlan.parse({
    targets: layout.pairs.map(pair => pair.caller),
    journals: layout.pairs.map(pair => pair.journal),
    durationMs: LOAD_MS,
    streams: [
      { kind: 'lookup', service: 'catalogue', rate: 100 },
      { kind: 'guarded', service: 'custody', rate: 20, repeatShare: 0.2, deadlineMs: 5000 },
      {
        kind: 'download',
        service: 'vault',
        rate: 1,
        bytes: DOWNLOAD_BYTES,
        bytesPerSecond: DOWNLOAD_BYTES_PER_S,
        deadlineMs: 15_000
      }
    ]
  })
}

function isWhole ({ all, streams, unsent, audit }: LoadSummary): boolean {
  if (streams.some(stream => stream.sent === 0)) return false
  const faults = audit === undefined ? Number.NaN : audit.lost + audit.doubled + audit.falseNotRun
  return all.ends.ok === all.sent && unsent === 0 && faults === 0
}

async function statusOf (url: string, headers: Record<string, string>): Promise<number> {
  try {
    const answer = await request(url, { headers })
    await answer.body.dump()
    return answer.statusCode
  } catch {
    return 0
  }
}
