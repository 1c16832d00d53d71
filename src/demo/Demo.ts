import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { LoadRun } from '../load/LoadRun.js'
import type { LoadSummary } from '../load/LoadSummary.js'
import { buildDemoLoad } from './DemoLoad.js'
import { FaultInjector } from './FaultInjector.js'
import type { FaultSummary } from './FaultInjector.js'
import { LocalMesh } from './LocalMesh.js'
import type { StartedMesh } from './LocalMesh.js'
import type { ProcessExit } from './ProcessGroup.js'
import type { MeshLayout, DemoPlan } from './Types.js'

/** Result of a demonstration, which is printed as JSON. */
export interface DemoSummary extends Omit<StartedMesh, 'layout'> {
  /** The upstream that was shut down while calls ran, and its exit. */
  readonly stopped: { readonly upstream: string, readonly end: ProcessExit }
  readonly load: LoadSummary
  /** Exits of the processes at the end of the demonstration, by name. */
  readonly ends: Readonly<Record<string, ProcessExit>>
  /** Whether every call got its own complete answer and no run was lost, duplicate or falsely reported as not run. */
  readonly whole: boolean
}

const LOAD_DURATION_MS = 10_000
const STOP_AT_MS = 4000

/** Starts a small mesh of local processes and sends calls through it. */
export class Demo {
  private readonly _mesh: LocalMesh
  private readonly _plan: DemoPlan
  private readonly _folder: string

  /**
   * @param plan Services, instances and calls.
   * @param folder Empty folder for settings, logs, journals and data.
   */
  public constructor (plan: DemoPlan, folder: string) {
    this._mesh = new LocalMesh(plan, folder)
    this._plan = plan
    this._folder = folder
  }

  /**
   * Runs the plain demonstration. Its processes are stopped before it returns; when it throws they are killed.
   * @param onProgress Called with a line of text at each step.
   */
  public async run (onProgress: (line: string) => void): Promise<DemoSummary> {
    try {
      const { layout, ...started } = await this._mesh.start(this._plan.configurationFile, onProgress)
      onProgress(`sending calls for ${LOAD_DURATION_MS / 1000} s`)
      const run = new LoadRun(buildDemoLoad(this._plan, layout, LOAD_DURATION_MS), `demo-${process.pid}`)
      const [load, stopped] = await Promise.all([run.run(), this._stopFirstUpstream(layout, onProgress)])
      const ends = await this._mesh.processGroup.stopAll()
      onProgress('stopped all processes')
      return { ...started, stopped, load, ends, whole: hasNoFaults(load) }
    } finally {
      this._mesh.dispose()
    }
  }

  /**
   * Injects faults one after the other while calls run.
   * @param onProgress Called with a line of text at each step.
   */
  public async runFaults (onProgress: (line: string) => void): Promise<FaultSummary[]> {
    try {
      const { layout } = await this._mesh.start(this._plan.configurationFile, onProgress)
      const summaries = await new FaultInjector(this._plan, layout, this._mesh).run(onProgress)
      await this._mesh.processGroup.stopAll()
      return summaries
    } finally {
      this._mesh.dispose()
    }
  }

  /**
   * Starts the mesh and keeps it running, so that commands can be tried by hand.
   * @param onProgress Called with a line of text at each step.
   * @param stopRequested Resolves when the mesh is to be stopped.
   */
  public async keepRunning (onProgress: (line: string) => void, stopRequested: Promise<void>): Promise<void> {
    try {
      const { layout } = await this._mesh.start(this._plan.configurationFile, onProgress)
      for (const { id, caller } of layout.pairs) onProgress(`${id} takes calls at http://${caller}`)
      onProgress(`try: sassafrasctl get --settings ${join(this._folder, 'sassafrasctl.toml')}`)
      await stopRequested
      await this._mesh.processGroup.stopAll()
    } finally {
      this._mesh.dispose()
    }
  }

  /** Shuts one upstream down gracefully while calls run, as an operator would. */
  private async _stopFirstUpstream (layout: MeshLayout, onProgress: (line: string) => void): Promise<DemoSummary['stopped']> {
    const [first] = layout.pairs
    if (first === undefined) throw new Error('the plan of the demonstration has no instances')
    await delay(STOP_AT_MS)
    onProgress(`stopping upstream ${first.id} with SIGTERM while calls run`)
    return { upstream: first.id, end: await this._mesh.processGroup.stop(`upstream-${first.id}`) }
  }
}

function hasNoFaults ({ all, streams, unsent, audit }: LoadSummary): boolean {
  if (streams.some(stream => stream.sent === 0)) return false
  const faults = audit === undefined ? Number.NaN : audit.lost + audit.doubled + audit.falseNotRun
  return all.ends.ok === all.sent && unsent === 0 && faults === 0
}
