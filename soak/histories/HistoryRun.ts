import { type ChildProcess, spawn } from 'node:child_process'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { CATCH_UP_MS, RECOVER_MS, STABLE_WINDOW_MS } from './Constants.js'
import { HistoryDeployment, type HistoryMachine } from './HistoryDeployment.js'
import { HistoryOperator } from './HistoryOperator.js'
import { HistoryRecorder } from './HistoryRecorder.js'
import type { HistoryFault, HistoryFaultKind, HistoryPlan } from './HistorySchedule.js'
import { HOSTS, KNOWN_ORDER_KINDS, OrderGenerator } from './OrderGenerator.js'
import type { History, ProcessRole } from './Types.js'

/** Programs as they are deployed. */
const BUNDLED_PROGRAMS = { node: 'target/node.cjs', control: 'target/control.cjs' } as const

/** Services of the instances. */
const SERVICES = ['svc-a', 'svc-b', 'svc-c'] as const

/** Time within which the first configuration is acknowledged, in milliseconds. */
const FIRST_ORDER_LIMIT_MS = 60_000

/** Pause between two probes of a node and between two reads, in milliseconds; both grow with the number of nodes. */
const PROBE_PAUSE_MS = 100
const READ_PAUSE_MS = 120
const FEW_NODES = 6

/** Newest orders whose routes are probed; the older ones of these have been in force for longer than the deadline. */
const PROBED_ORDERS = 60

/** Interval at which processes that ended by themselves are found, in milliseconds. */
const END_CHECK_INTERVAL_MS = 100

/** Time from the start of a new control machine until the machine that it replaces is taken away, in milliseconds. */
const SUCCESSOR_RUNS_MS = CATCH_UP_MS + 500

/**
 * Time without any disturbance of the control group before another disk is lost or machine replaced, in milliseconds.
 * The shorter one is what the platform sets; replacements so close to each other are a known fault.
 */
const CALM_BEFORE_LOSS_MS = { quick: CATCH_UP_MS + 100, slow: 7000 } as const

/** Name of the known fault of replacements and lost disks that follow each other within `CALM_BEFORE_LOSS_MS.slow`. */
export const QUICK_REPLACEMENTS = 'quick-replacements'

/** Name of the known fault that SIGHUP ends a process that is still starting, which takes long on a busy machine. */
export const EARLY_HANG_UP = 'early-hang-up'

/** Time after the start of a process from which it gets SIGHUP, in milliseconds. */
const HANG_UP_AFTER_MS = { early: 200, late: 5000 } as const

/** Names of all known faults that can be left out. */
export const KNOWN_FAULTS = [...KNOWN_ORDER_KINDS, QUICK_REPLACEMENTS, EARLY_HANG_UP] as const

type FaultHandlers = { readonly [Kind in HistoryFaultKind]: (fault: HistoryFault) => Promise<void> }

/** Plays a plan against real processes and records the history. */
export class HistoryRun {
  private readonly _random: SeededRandom
  private readonly _recorder: HistoryRecorder
  private readonly _deployment: HistoryDeployment
  private readonly _operator: HistoryOperator
  private readonly _busy: ChildProcess[] = []
  private _isStopped = false
  private _lossEndedAtMs = 0
  private _isLosing = false

  private readonly _handlers: FaultHandlers = {
    killControl: async fault => await this._crash([this._control(fault)], fault),
    killAllControls: async fault => await this._crash(this._deployment.controls, fault),
    killEverything: async fault => await this._crash([...this._deployment.controls, ...this._deployment.nodes], fault),
    killAfterAcknowledgement: async fault => {
      await this._operator.nextAcknowledgement(fault.forMs)
      await this._crash([this._control(fault)], fault)
    },
    killAllAfterAcknowledgement: async fault => {
      await this._operator.nextAcknowledgement(fault.forMs)
      await this._crash(this._deployment.controls, fault)
    },
    stopControl: async fault => await this._restart(this._control(fault)),
    pauseControl: async fault => await this._pause(this._control(fault), fault),
    pauseMajority: async fault => {
      const majority = this._deployment.controls.slice(0, Math.floor(this._deployment.controls.length / 2) + 1)
      await Promise.all(majority.map(async machine => await this._pause(machine, fault)))
    },
    wipeControl: async fault => await this._lose(async () => {
      const machine = this._control(fault)
      if (!machine.isBusy) await this._deployment.crash([machine], fault.forMs, [machine])
    }),
    wipeAndKillAll: async fault => await this._lose(async () => {
      const machine = this._control(fault)
      const others = this._deployment.controls.filter(other => other !== machine && !other.isBusy)
      if (!machine.isBusy) await this._deployment.crash([machine, ...others], fault.forMs, [machine])
    }),
    replacePlanned: async fault => await this._lose(async () => {
      const machine = this._control(fault)
      this._deployment.addControl()
      await this._sleep(SUCCESSOR_RUNS_MS)
      await this._whenFree(machine)
      await this._deployment.removeControl(machine, true)
    }),
    replaceLost: async fault => await this._lose(async () => {
      const machine = this._control(fault)
      if (machine.isBusy) return
      await this._deployment.removeControl(machine, false)
      await this._sleep(fault.forMs)
      this._deployment.addControl()
    }),
    killNode: async fault => await this._crash([this._node(fault)], fault),
    stopNode: async fault => await this._restart(this._node(fault)),
    pauseNode: async fault => await this._pause(this._node(fault), fault),
    hangUp: async fault => {
      const machines = [...this._deployment.nodes, ...this._deployment.controls]
      const ranMs = HANG_UP_AFTER_MS[this._without.includes(EARLY_HANG_UP) ? 'late' : 'early']
      this._deployment.hangUp(machines[Math.floor(fault.pick * machines.length)] as HistoryMachine, ranMs)
    }
  }

  /**
   * @param _plan What is played.
   * @param folder Empty folder for settings, disks and logs.
   * @param network First three octets of the loopback addresses; concurrent runs need different ones.
   * @param _without Names of known faults that are left out.
   * @param programs Paths of the programs.
   */
  public constructor (
    private readonly _plan: HistoryPlan,
    folder: string,
    network: string,
    private readonly _without: readonly string[],
    programs: Readonly<Record<ProcessRole, string>> = BUNDLED_PROGRAMS
  ) {
    this._random = new SeededRandom(_plan.seed)
    this._recorder = new HistoryRecorder(_plan.seed)
    this._deployment = new HistoryDeployment(this._recorder, folder, network, SERVICES, programs)
    const generator = new OrderGenerator(this._random, SERVICES, _without)
    this._operator = new HistoryOperator(this._recorder, generator, this._random, () => this._deployment.targets())
  }

  /**
   * Plays the plan and returns the history after all processes have ended.
   * @throws Error when no first configuration is acknowledged.
   */
  public async run (): Promise<History> {
    try {
      await this._deployment.start(this._plan.controls, this._plan.nodes)
      if (!await this._operator.start(FIRST_ORDER_LIMIT_MS)) throw new Error('no first configuration was acknowledged')
      this._deployment.setFormed()
      for (let i = 0; i < this._plan.busyProcesses; i++) this._busy.push(spawn(process.execPath, ['-e', 'for (;;) ;']))
      await this._play()
    } finally {
      this._isStopped = true
      for (const child of this._busy) child.kill('SIGKILL')
      await this._deployment.dispose()
      this._recorder.dispose()
    }
    return this._recorder.history
  }

  /** Kills all processes of the run without waiting for their exit. */
  public abort (): void {
    for (const child of this._busy) child.kill('SIGKILL')
    this._deployment.abort()
  }

  private async _play (): Promise<void> {
    const checks = setInterval(() => this._deployment.restartEnded(), END_CHECK_INTERVAL_MS)
    try {
      const probing = this._deployment.nodes.map(async node => await this._probe(node))
      const reading = this._readAnywhere()
      const operators = Array.from({ length: this._plan.operators }, async () => await this._operator.run())
      const startMs = this._recorder.nowMs()
      const faults: Array<Promise<void>> = []
      for (const fault of this._plan.faults) {
        await this._sleep(startMs + fault.atMs - this._recorder.nowMs())
        faults.push(this._handlers[fault.kind](fault))
      }
      await Promise.all(faults)
      // After the last fault, orders go on until the bounds of a stable group hold again, and are judged by them.
      await this._sleep(3 * STABLE_WINDOW_MS)
      this._operator.stop()
      await Promise.all(operators)
      await this._operator.change()
      await this._readAtTheEnd()
      this._isStopped = true
      await Promise.all([...probing, reading])
    } finally {
      clearInterval(checks)
    }
  }

  /** Reads at every process until one answers and the stable window is over. */
  private async _readAtTheEnd (): Promise<void> {
    const fromMs = this._recorder.nowMs()
    this._recorder.history.finalFromMs = fromMs
    let hasRead = false
    while (this._recorder.nowMs() < fromMs + (hasRead ? STABLE_WINDOW_MS : RECOVER_MS)) {
      const targets = this._deployment.targets()
      const answers = await Promise.all(targets.map(async target => await this._operator.read(target)))
      hasRead ||= answers.includes(true)
      await this._sleep(READ_PAUSE_MS)
    }
  }

  private async _readAnywhere (): Promise<void> {
    while (!this._isStopped) {
      const targets = this._deployment.targets()
      await this._operator.read(targets[Math.floor(targets.length * this._random.next())] as typeof targets[number])
      await this._sleep(READ_PAUSE_MS)
    }
  }

  private async _probe (node: HistoryMachine): Promise<void> {
    const pauseMs = PROBE_PAUSE_MS * Math.max(1, this._deployment.nodes.length / FEW_NODES)
    while (!this._isStopped) {
      const { host, path } = this._drawRequest()
      await this._recorder.probe(this._deployment.targetOf(node), host, path, this._random.next() < 0.5)
      await this._sleep(2 * pauseMs * this._random.next())
    }
  }

  /** Draws a request on a first route, one that was added or removed lately, or one that never existed. */
  private _drawRequest (): { readonly host: string, readonly path: string } {
    const { orders } = this._recorder.history
    const share = this._random.next()
    const host = HOSTS[Math.floor(HOSTS.length * this._random.next())] as string
    if (share < 0.05) return { host, path: '/never/x' }
    if (share < 0.4) return { host, path: `/moving-${Math.floor(4 * this._random.next())}/x` }
    const order = orders[Math.max(0, orders.length - 1 - Math.floor(PROBED_ORDERS * this._random.next()))]
    const { content } = order as NonNullable<typeof order>
    const routes = content.type === 'put' ? content.document.Routes : content.patch.Upsert?.Routes ?? []
    const added = routes.filter(({ Name }) => Name.startsWith('added-'))
    const route = added[Math.floor(added.length * this._random.next())]
    return route === undefined ? { host, path: '/never/x' } : { host: route.Host || host, path: `${route.PathPrefix}x` }
  }

  private _control ({ pick }: HistoryFault): HistoryMachine {
    return this._deployment.controls[Math.floor(pick * this._deployment.controls.length)] as HistoryMachine
  }

  private _node ({ pick }: HistoryFault): HistoryMachine {
    return this._deployment.nodes[Math.floor(pick * this._deployment.nodes.length)] as HistoryMachine
  }

  private async _crash (machines: readonly HistoryMachine[], { forMs }: HistoryFault): Promise<void> {
    const free = machines.filter(({ isBusy }) => !isBusy)
    if (free.length > 0) await this._deployment.crash(free, forMs)
  }

  private async _restart (machine: HistoryMachine): Promise<void> {
    if (!machine.isBusy) await this._deployment.restart(machine)
  }

  private async _pause (machine: HistoryMachine, { forMs }: HistoryFault): Promise<void> {
    if (!machine.isBusy) await this._deployment.pause(machine, forMs)
  }

  /** Loses one disk or machine at a time, as tolerated: the group must have had time to make up for the one before. */
  private async _lose (play: () => Promise<void>): Promise<void> {
    const pace = this._without.includes(QUICK_REPLACEMENTS) ? 'slow' : 'quick'
    if (this._isLosing || this._calmMs() < CALM_BEFORE_LOSS_MS[pace]) return
    this._isLosing = true
    await play()
    this._lossEndedAtMs = this._recorder.nowMs()
    this._isLosing = false
  }

  /** Time since the control group was disturbed last after a loss; any time will do when there was none. */
  private _calmMs (): number {
    const nowMs = this._recorder.nowMs()
    if (this._lossEndedAtMs === 0) return Infinity
    const controls = new Set(this._deployment.controls.map(({ vm }) => vm.name))
    const disturbances = this._recorder.history.disturbances.filter(({ process }) => controls.has(process))
    const ends = disturbances.map(({ toMs }) => toMs ?? nowMs)
    return nowMs - Math.max(this._lossEndedAtMs, ...ends)
  }

  private async _whenFree (machine: HistoryMachine): Promise<void> {
    while (machine.isBusy) await this._sleep(END_CHECK_INTERVAL_MS)
  }

  private async _sleep (ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, Math.max(0, ms)))
  }
}
