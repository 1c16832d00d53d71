import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import {
  CALLERS_PER_NODE, COLD_AGAIN_MS, COLD_PAUSE_MS, DRAIN_GRACE_MS, LIMIT_MS, STOP_TIMEOUT_MS, STOP_SLACK_MS, NODE_COUNT,
  POISON_MS, POISON_PATH, POISON_PAUSE_MS, PORTS, MIN_RECOVERED_SHARE, RECOVERY_TIMEOUT_MS, REPLICA_COUNT,
  FAULT_SETTLE_MS, ZONES
} from './Constants.js'
import { type CallOutcome, SoakCaller } from './SoakCaller.js'
import { SoakEvacuations } from './SoakEvacuations.js'
import { SoakInstance } from './SoakInstance.js'
import { SoakLedger } from './SoakLedger.js'
import { SoakOperator } from './SoakOperator.js'
import { SoakProcess } from './SoakProcess.js'
import { controlSettings, nodeSettings } from './SoakSettings.js'
import { TcpRelay } from './TcpRelay.js'
import type { Fault, FaultKind, SoakOutcome, VmAddress } from './Types.js'

/** A VM with a node, its instance and its callers. */
interface NodeVm {
  readonly vm: VmAddress
  /** Its availability zone. */
  readonly zone: string
  readonly process: SoakProcess
  /** Relay between the node and its instance. */
  readonly instanceRelay: TcpRelay
  /** Relay between the callers and the node. */
  readonly callerRelay: TcpRelay
  readonly callers: SoakCaller[]
  instance: SoakInstance
  /** True during a planned stop of the node. */
  stopping: boolean
  /** True while a fault affects the node or its instance; other such faults are skipped meanwhile. */
  busy: boolean
  /** True while the instance leaves, during which faults may affect the node but not replace the instance. */
  isInstanceLeaving: boolean
  /** Newest configuration version whose route this incarnation of the node has served. */
  served: { incarnation: number, version: number }
}

/** A VM with a control replica. */
interface ControlVm {
  readonly vm: VmAddress
  readonly process: SoakProcess
  readonly settings: string
  /** Data folder of the replica, its disk. */
  readonly folder: string
  /** True while a fault affects the replica; other faults of it are skipped meanwhile. */
  busy: boolean
}

/** Time after the acknowledgement of a version by which every node knows it, in milliseconds; includes 1 s of slack. */
const PROPAGATION_TIMEOUT_MS = 3000

/** Attempts of the first change, five a second: the control replicas form their group meanwhile. */
const BOOTSTRAP_ATTEMPTS = 150

/** Control replicas that may be out of work at the same time; `Machines` in the settings. */
const TOLERATED_LOSSES = 1

/** Time for which a node has no instance while its instance is replaced, in milliseconds. */
const INSTANCE_REPLACEMENT_MS = 500

/** Time for which an instance that has deregistered serves on, and for which all processes are killed then, in ms. */
const DEPARTED_MS = 3 * DRAIN_GRACE_MS
const KILL_ALL_MS = 300

/** Pause between two probes of whether a node serves, in milliseconds. */
const PROBE_INTERVAL_MS = 100

/** Delay of each chunk on a slowed connection, in milliseconds. */
const DELAY_MS = 100

/** Requests that each caller sends after the faults to check the recovery. */
const RECOVERY_REQUESTS_PER_CALLER = 10

type FaultHandlers = { readonly [Kind in FaultKind]: (fault: Fault) => Promise<void> }

/**
 * Runs the programs as processes on loopback addresses, injects the faults of a schedule, and checks the programs'
 * guarantees meanwhile.
 */
export class Soak {
  private readonly _startMs = performance.now()
  private readonly _ledger = new SoakLedger(() => this._nowMs())
  private readonly _random: SeededRandom
  private readonly _nodes: NodeVm[] = []
  private readonly _controls: ControlVm[] = []
  private readonly _operator: SoakOperator
  private readonly _evacuations: SoakEvacuations
  private readonly _outcomeCounts: Record<CallOutcome, number> = {
    answered: 0, refused: 0, failed: 0, cut: 0, timeout: 0
  }

  /** Until then lost answers and failed stops may be the effect of an unplanned fault; since the start of the soak. */
  private _unplannedUntilMs = 0
  private _instanceCount = 0
  private _poisonCount = 0
  /** Replica whose disk was wiped, until it is a voter again. */
  private _recoveringReplica: ControlVm | undefined
  private readonly _activeFaults: Array<Promise<void>> = []

  private readonly _handlers: FaultHandlers = {
    killNode: fault => this._runOutage(this._pickNode(fault), fault, async process => await process.kill()),
    pauseNode: fault => this._pause(this._pickNode(fault), fault),
    stopNode: fault => this._stopNode(this._pickNode(fault)),
    killControl: fault => this._runOutage(this._pickControl(fault), fault, async process => await process.kill()),
    pauseControl: fault => this._pause(this._pickControl(fault), fault),
    stopControl: fault => this._stopControl(this._pickControl(fault)),
    wipeControl: fault => this._wipeDisk(this._pickControl(fault), fault),
    killAll: fault => this._killAllAfterDeparture(this._pickNode(fault), fault),
    crashInstance: fault => this._replaceInstance(this._pickNode(fault), async instance => await instance.crash()),
    drainInstance: fault => this._replaceInstance(this._pickNode(fault), async instance => await instance.drain()),
    limitInstance: async fault => await this._pickNode(fault).instance.limit(LIMIT_MS + fault.forMs),
    leaveInstance: fault => this._leaveInstance(this._pickNode(fault), fault),
    silenceInstance: fault => this._impair(fault, this._pickNode(fault).instanceRelay, relay => relay.silenceAll()),
    muteInstance: fault => this._impair(fault, this._pickNode(fault).instanceRelay, relay => relay.blockResponses()),
    resetInstance: fault => this._impair(fault, this._pickNode(fault).instanceRelay, relay => relay.resetAll()),
    delayInstance: fault => this._impair(fault, this._pickNode(fault).instanceRelay, relay => relay.delay(DELAY_MS)),
    silenceCallers: fault => this._impair(fault, this._pickNode(fault).callerRelay, relay => relay.silenceAll()),
    resetCallers: fault => this._impair(fault, this._pickNode(fault).callerRelay, relay => relay.resetAll()),
    delayCallers: fault => this._impair(fault, this._pickNode(fault).callerRelay, relay => relay.delay(DELAY_MS)),
    poisonRequest: fault => this._sendPoison(fault),
    hangUp: async fault => this._pickNode(fault).process.signal('SIGHUP'),
    change: async () => { await this._operator.change() },
    evacuate: async fault => await this._evacuations.run(fault)
  }

  /**
   * @param _seed Seed of the schedule and of all other random choices.
   * @param _faults Schedule, in the order of time.
   * @param _folder Empty folder for settings, disks and logs.
   * @param _network Second octet of the loopback addresses; concurrent soaks need different ones.
   */
  public constructor (
    private readonly _seed: number,
    private readonly _faults: readonly Fault[],
    private readonly _folder: string,
    private readonly _network: number
  ) {
    this._random = new SeededRandom(_seed)
    const replicas = Array.from({ length: REPLICA_COUNT }, (_, index) => this._vmAddress('control', index, 200))
    const nodes = Array.from({ length: NODE_COUNT }, (_, index) => this._vmAddress('node', index, 1))
    this._operator = new SoakOperator([...replicas, ...nodes], this._ledger, () => this._nowMs())
    this._evacuations = new SoakEvacuations(this._operator, this._ledger, async ms => await this._sleep(ms))
    for (const vm of replicas) this._controls.push(this._makeControl(vm, replicas))
  }

  /** Runs the schedule and returns the result after all processes have ended. */
  public async run (): Promise<SoakOutcome> {
    try {
      await this._startAll()
      const startMs = this._nowMs()
      const callers = this._nodes.flatMap(node => node.callers).map(async caller => await caller.run())
      const cooling = setInterval(() => this._coolInstance(), COLD_PAUSE_MS)
      for (const fault of this._faults) {
        await this._sleep(startMs + fault.atMs - this._nowMs())
        this._activeFaults.push(this._handlers[fault.kind](fault))
      }
      clearInterval(cooling)
      // A fault may add others, such as crashes of instances.
      for (let ended = 0; ended < this._activeFaults.length;) ended = (await Promise.all(this._activeFaults)).length
      this._nodes.flatMap(node => node.callers).forEach(caller => caller.stop())
      await Promise.all(callers)
      await this._checkRecovery()
      await this._operator.checkAcknowledgedKept()
      this._ledger.checkRetryBudget()
      await this._stopAll()
    } finally {
      await this._killAll()
    }
    return this._buildOutcome()
  }

  /** Kills all processes of this soak without waiting for their exit. */
  public abort (): void {
    for (const { process } of [...this._nodes, ...this._controls]) process.signal('SIGKILL')
  }

  private async _startAll (): Promise<void> {
    for (const control of this._controls) control.process.start()
    for (let index = 0; index < NODE_COUNT; index++) this._nodes.push(await this._makeNode(index))
    for (const { process } of this._nodes) process.start()
    if (!await this._operator.change(BOOTSTRAP_ATTEMPTS)) throw new Error('the control replicas accepted no first change, so no group has formed')
    for (const { vm, settings, folder } of this._controls) {
      writeFileSync(settings, controlSettings(vm, this._controlAddresses(), folder, false))
    }
    for (const node of this._nodes) while (await this._probe(node) !== 'answered') await this._sleep(PROBE_INTERVAL_MS)
  }

  private async _probe (node: NodeVm): Promise<CallOutcome> {
    return await (node.callers[0] as SoakCaller).call('/read/x')
  }

  private _controlAddresses (): VmAddress[] {
    return this._controls.map(({ vm }) => vm)
  }

  private _vmAddress (kind: string, index: number, offset: number): VmAddress {
    return { name: `${kind}-${index}`, host: `127.${this._network}.1.${offset + index}` }
  }

  private _makeControl (vm: VmAddress, seeds: readonly VmAddress[]): ControlVm {
    const folder = join(this._folder, `${vm.name}-disk`)
    const settings = join(this._folder, `${vm.name}.toml`)
    mkdirSync(folder, { recursive: true })
    writeFileSync(settings, controlSettings(vm, seeds, folder, true))
    return { vm, process: this._makeProcess(vm, 'control', settings), settings, folder, busy: false }
  }

  private async _makeNode (index: number): Promise<NodeVm> {
    const vm = this._vmAddress('node', index, 1)
    const settings = join(this._folder, `${vm.name}.toml`)
    const zone = ZONES[index % ZONES.length] as string
    writeFileSync(settings, nodeSettings(vm, zone, this._controlAddresses()))
    const instanceRelay = new TcpRelay(`${vm.host}:${PORTS.instance}`)
    const callerRelay = new TcpRelay(`${vm.host}:${PORTS.callers}`)
    await instanceRelay.listen(vm.host, PORTS.instanceEntry)
    await callerRelay.listen(vm.host, PORTS.entry)
    const node: NodeVm = {
      vm,
      zone,
      process: this._makeProcess(vm, 'node', settings),
      instanceRelay,
      callerRelay,
      callers: [],
      instance: await this._makeInstance(vm, zone),
      stopping: false,
      busy: false,
      isInstanceLeaving: false,
      served: { incarnation: 0, version: 0 }
    }
    for (let i = 0; i < CALLERS_PER_NODE; i++) node.callers.push(this._makeCaller(node, `c${i}`))
    return node
  }

  private _makeProcess (vm: VmAddress, program: 'node' | 'control', settings: string): SoakProcess {
    return new SoakProcess(vm.name, join('target', `${program}.cjs`), settings, join(this._folder, `${vm.name}.log`))
  }

  private async _makeInstance (vm: VmAddress, zone: string): Promise<SoakInstance> {
    const instance = new SoakInstance(
      `i-${++this._instanceCount}`, vm.host, this._ledger, this._random, crashing => this._onPoison(crashing)
    )
    this._ledger.evacuations.recordInstance(instance.id, zone)
    await instance.listen()
    return instance
  }

  private _makeCaller (node: NodeVm, name: string): SoakCaller {
    return new SoakCaller(`s${this._seed}-${node.vm.name}-${name}`, {
      host: node.vm.host,
      port: PORTS.entry,
      node: node.vm.name,
      ledger: this._ledger,
      random: this._random,
      expectedVersion: () => this._operator.versionAcknowledgedFor(PROPAGATION_TIMEOUT_MS),
      onEnd: (end, status, path, localPort) => this._onCallEnd(node, end, status, path, localPort)
    })
  }

  private _onCallEnd (
    node: NodeVm, outcome: CallOutcome, status: number | undefined, path: string, localPort: number | undefined
  ): void {
    this._outcomeCounts[outcome]++
    const isPlannedOnly = node.stopping && this._nowMs() > this._unplannedUntilMs
    // The node has not read what came after it had closed its listener.
    const isCut = outcome === 'cut' && !node.callerRelay.hasRefused(localPort)
    if (isCut && isPlannedOnly) this._ledger.recordViolation('planned-stop-cuts-nothing', `${node.vm.name} ${path}`)
    const version = Number(/^\/gen-(\d+)\//.exec(path)?.[1] ?? 0)
    const { incarnation } = node.process
    if (version === 0) return
    if (outcome === 'answered') node.served = { incarnation, version: Math.max(node.served.version, version) }
    if (status === 404 && node.served.incarnation === incarnation && node.served.version >= version) {
      const detail = `${node.vm.name} served version ${node.served.version} and then answered 404 for a route of version ${version}`
      this._ledger.recordViolation('no-version-back', detail)
    }
  }

  private _coolInstance (): void {
    const node = this._nodes[Math.floor(this._random.next() * this._nodes.length)] as NodeVm
    node.instance.becomeCold(COLD_AGAIN_MS)
  }

  private _pickNode ({ pick }: Fault): NodeVm {
    return this._nodes[Math.floor(pick * this._nodes.length)] as NodeVm
  }

  private _pickControl ({ pick }: Fault): ControlVm {
    return this._controls[Math.floor(pick * this._controls.length)] as ControlVm
  }

  private async _runOutage (
    target: NodeVm | ControlVm, { forMs }: Fault, stop: (process: SoakProcess) => Promise<void>
  ): Promise<void> {
    if (target.busy) return
    target.busy = true
    this._checkQuorum()
    this._recordUnplannedFault(forMs)
    await stop(target.process)
    this._ledger.notices.excuse(target.vm.name)
    await this._sleep(forMs)
    target.process.start()
    this._checkQuorum()
    target.busy = false
  }

  private async _pause (target: NodeVm | ControlVm, { forMs }: Fault): Promise<void> {
    if (target.busy) return
    target.busy = true
    this._checkQuorum()
    this._recordUnplannedFault(forMs)
    target.process.signal('SIGSTOP')
    await this._sleep(forMs)
    this._ledger.notices.excuse(target.vm.name)
    target.process.signal('SIGCONT')
    this._checkQuorum()
    target.busy = false
  }

  private async _stopNode (node: NodeVm): Promise<void> {
    if (node.busy) return
    node.busy = true
    node.stopping = true
    await this._stopProcess(node.process)
    this._ledger.notices.excuse(node.vm.name)
    node.stopping = false
    node.process.start()
    node.busy = false
  }

  private async _stopControl (control: ControlVm): Promise<void> {
    if (control.busy) return
    control.busy = true
    this._checkQuorum()
    await this._stopProcess(control.process)
    control.process.start()
    this._checkQuorum()
    control.busy = false
  }

  /** A planned stop must exit with 0 in time, unless an unplanned fault interferes. */
  private async _stopProcess (process: SoakProcess): Promise<void> {
    const startMs = this._nowMs()
    process.signal('SIGTERM')
    const code = await Promise.race([process.waitForExit(), this._sleep(STOP_TIMEOUT_MS + STOP_SLACK_MS).then(() => 'late' as const)])
    if (code === 'late') await process.kill()
    if (code !== 0 && startMs > this._unplannedUntilMs) this._ledger.recordViolation('exit', `${process.name} exited with ${String(code)} after SIGTERM, expected 0`)
  }

  /** With more replicas out of work than are tolerated, nodes may hear late of an order that was acknowledged. */
  private _checkQuorum (): void {
    const lost = this._controls.filter(control => control.busy || control === this._recoveringReplica)
    if (lost.length > TOLERATED_LOSSES) this._ledger.evacuations.recordQuorumLoss(FAULT_SETTLE_MS)
  }

  /** Wipes one disk at a time, and only while the other replicas hold a quorum. */
  private async _wipeDisk (control: ControlVm, fault: Fault): Promise<void> {
    if (this._controls.some(({ busy }) => busy) || this._recoveringReplica !== undefined) return
    this._recoveringReplica = control
    await this._runOutage(control, fault, async process => {
      await process.kill()
      rmSync(control.folder, { recursive: true })
      mkdirSync(control.folder)
    })
    // Until the new replica is a voter, the loss of a second disk would exceed the tolerated losses.
    await this._sleep(RECOVERY_TIMEOUT_MS)
    this._recoveringReplica = undefined
  }

  /** An instance deregisters and serves on; the acknowledgement binds although no process that gave it is left. */
  private async _killAllAfterDeparture (node: NodeVm, fault: Fault): Promise<void> {
    if ([...this._nodes, ...this._controls].some(({ busy }) => busy) || this._recoveringReplica !== undefined) return
    if (node.isInstanceLeaving) return
    await this._replaceInstance(node, async instance => await instance.deregister(DEPARTED_MS, () => {
      node.isInstanceLeaving = true
      const outages = [...this._nodes, ...this._controls].map(async target => {
        target.busy = false
        await this._runOutage(target, { ...fault, forMs: KILL_ALL_MS }, async process => await process.kill())
      })
      this._activeFaults.push(...outages)
    }))
    node.isInstanceLeaving = false
  }

  private async _replaceInstance (node: NodeVm, stop: (instance: SoakInstance) => Promise<void>): Promise<void> {
    if (node.busy || node.isInstanceLeaving) return
    node.busy = true
    this._recordUnplannedFault(INSTANCE_REPLACEMENT_MS)
    await stop(node.instance)
    node.instance = await this._makeInstance(node.vm, node.zone)
    node.busy = false
  }

  /** Asks for a path that crashes instances, at one node after the other, each time on a new connection. */
  private async _sendPoison ({ forMs }: Fault): Promise<void> {
    const path = `${POISON_PATH}${++this._poisonCount}`
    const untilMs = this._nowMs() + POISON_MS + forMs
    for (let index = 0; this._nowMs() < untilMs; index++) {
      const node = this._nodes[index % this._nodes.length] as NodeVm
      const caller = this._makeCaller(node, `p${path.slice(POISON_PATH.length)}-${index}`)
      await Promise.all([caller.call(path), this._sleep(POISON_PAUSE_MS)])
      caller.dispose()
    }
  }

  private _onPoison (instance: SoakInstance): void {
    const node = this._nodes.find(other => other.instance === instance)
    if (node !== undefined) this._activeFaults.push(this._crashByPoison(node, instance))
  }

  /** The instance crashes whatever else happens to its node; other faults that replace it go first. */
  private async _crashByPoison (node: NodeVm, instance: SoakInstance): Promise<void> {
    this._recordUnplannedFault(INSTANCE_REPLACEMENT_MS)
    await instance.crash()
    while (node.busy || node.isInstanceLeaving) await this._sleep(PROBE_INTERVAL_MS)
    if (node.instance !== instance) return
    await this._replaceInstance(node, async () => await this._sleep(INSTANCE_REPLACEMENT_MS))
  }

  /** The instance says that it leaves until after the grace, and drains only then. */
  private async _leaveInstance (node: NodeVm, { forMs }: Fault): Promise<void> {
    if (node.busy || node.isInstanceLeaving) return
    node.isInstanceLeaving = true
    node.instance.announceLeaving()
    await this._sleep(DRAIN_GRACE_MS + forMs)
    while (node.busy) await this._sleep(PROBE_INTERVAL_MS)
    node.isInstanceLeaving = false
    await this._replaceInstance(node, async instance => await instance.drain())
  }

  private async _impair ({ forMs }: Fault, relay: TcpRelay, applyFault: (relay: TcpRelay) => void): Promise<void> {
    this._recordUnplannedFault(forMs)
    applyFault(relay)
    await this._sleep(forMs)
    relay.delay(0)
    relay.heal()
  }

  private _recordUnplannedFault (forMs: number): void {
    this._unplannedUntilMs = Math.max(this._unplannedUntilMs, this._nowMs() + forMs + FAULT_SETTLE_MS)
  }

  /** After the last fault requests must be served again within the recovery timeout. */
  private async _checkRecovery (): Promise<void> {
    const deadlineMs = this._nowMs() + RECOVERY_TIMEOUT_MS
    for (const node of this._nodes) {
      while (await this._probe(node) !== 'answered' && this._nowMs() < deadlineMs) await this._sleep(PROBE_INTERVAL_MS)
    }
    const calls = this._nodes.flatMap(({ callers }) => callers).map(async caller => {
      let answered = 0
      for (let i = 0; i < RECOVERY_REQUESTS_PER_CALLER; i++) answered += Number(await caller.call('/read/x') === 'answered')
      return answered
    })
    const counts = await Promise.all(calls)
    const share = counts.reduce((sum, count) => sum + count, 0) / (counts.length * RECOVERY_REQUESTS_PER_CALLER)
    if (share < MIN_RECOVERED_SHARE) this._ledger.recordViolation('recovery', `${Math.round(100 * share)} % of the requests were answered after the faults`)
  }

  private async _stopAll (): Promise<void> {
    this._unplannedUntilMs = 0
    await Promise.all([...this._nodes, ...this._controls].map(async ({ process }) => await this._stopProcess(process)))
  }

  private async _killAll (): Promise<void> {
    await Promise.all([...this._nodes, ...this._controls].map(async ({ process }) => await process.kill()))
    for (const { instance, instanceRelay, callerRelay } of this._nodes) {
      await instance.crash()
      await instanceRelay.dispose()
      await callerRelay.dispose()
    }
  }

  private _buildOutcome (): SoakOutcome {
    const { answered, refused, failed, cut, timeout } = this._outcomeCounts
    return {
      seed: this._seed,
      folder: this._folder,
      requestCount: answered + refused + failed + cut + timeout,
      answered,
      refused,
      failed: failed + cut + timeout,
      runs: this._ledger.runCount,
      faults: this._faults,
      violations: this._ledger.violations
    }
  }

  private _nowMs (): number {
    return performance.now() - this._startMs
  }

  private async _sleep (ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, Math.max(0, ms)))
  }
}
