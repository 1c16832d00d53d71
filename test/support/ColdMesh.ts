import { InstanceGate } from '../../src/parts/gate/InstanceGate.js'
import { InstanceBreaker } from '../../src/parts/gate/InstanceBreaker.js'
import type { GateAction, GateCall, GateEvent } from '../../src/parts/gate/Types.js'
import type { PlacementCandidate } from '../../src/parts/placement/Types.js'
import { InstanceChooser } from '../../src/parts/placement/InstanceChooser.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'

/** Time from one node to another, in milliseconds, and time of a health check. */
const WAY_MS = 1
const CHECK_MS = 2

/** Slots of each instance. */
export const SLOTS = 6

/** Mean duration of a run, and for how long callers wait, in milliseconds. */
const RUN_MS = 40
const DEADLINE_MS = 2000

/** Expected size of a request and its answer, in bytes. */
const BYTES = 200

/** What became of one request. */
export interface MeshOutcome {
  readonly outcome: 'answered' | 'refused' | 'lost'
  readonly arrivedAtMs: number
  readonly endedAtMs: number
  readonly declines: number
  /** Time to come back that a refused caller is told, in milliseconds. */
  readonly retryAfterMs: number
}

/** A request and how far it has come. */
interface MeshRequest {
  readonly chooser: InstanceChooser
  readonly arrivedAtMs: number
  readonly tried: string[]
  declines: number
}

/** An instance with the gate of its node. */
export class MeshInstance {
  public readonly gate = new InstanceGate()
  public readonly breaker = new InstanceBreaker()
  /** When requests reached the instance, health checks included. */
  public readonly arrivalsMs: number[] = []
  /** When its gate declined calls. */
  public readonly declinesMs: number[] = []
  /** When calls were started. */
  public readonly startsMs: number[] = []
  /** Most calls that ran at once. */
  public mostRunning = 0
  public isDown = false
  public coldUntilMs = -Infinity
  public incarnation = 1
  public readonly running = new Map<number, () => void>()

  public constructor (public readonly node: string, public readonly zone: number) {}
}

/**
 * Many nodes that send requests to the instances of one service, with the choosers and the gates of the real nodes, in
 * virtual time. It stands in for `GatewayCall` in a simple form: a declined call goes to the next instance that its
 * chooser names, and is refused when there is none.
 */
export class ColdMesh {
  public readonly instances: MeshInstance[] = []
  public readonly outcomes: MeshOutcome[] = []
  public nowMs = 0
  private readonly _choosers: InstanceChooser[] = []
  private readonly _random: SeededRandom
  private readonly _due = new Map<number, Array<() => void>>()
  private readonly _requests = new Map<number, MeshRequest>()
  private _lastId = 0

  /**
   * @param zones Instances in each availability zone.
   * @param callerZones Zones in which a node sends requests for each instance. All zones count as equally near, so that
   * nothing but load keeps a caller's node from an instance.
   * @param _coldPerS Limit of a cold instance in requests a second; undefined without one.
   */
  public constructor (
    seed: number,
    zones: readonly number[],
    callerZones: readonly number[],
    private readonly _coldPerS: number | undefined
  ) {
    this._random = new SeededRandom(seed)
    zones.forEach((count, zone) => {
      for (let i = 0; i < count; i++) this.instances.push(new MeshInstance(`z${zone}-${i}`, zone))
    })
    for (const { zone, node } of this.instances) {
      if (!callerZones.includes(zone)) continue
      const chooser = new InstanceChooser(`caller-${node}`, this._random)
      for (const other of this.instances) chooser.setCandidate(describe(other))
      this._choosers.push(chooser)
    }
    for (const instance of this.instances) {
      this._step(instance, { type: 'slots', slots: SLOTS })
      this._applyCold(instance)
    }
  }

  /** Plays requests that arrive at random at all callers' nodes together, for some time. */
  public play (perS: number, forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs++) {
      const due = this._due.get(this.nowMs)
      this._due.delete(this.nowMs)
      due?.forEach(action => action())
      for (let expected = perS / 1000; this._random.next() < expected; expected--) this._arrive()
    }
  }

  /** Starts an instance anew that has crashed, cold for some time; its node and then all others learn of it. */
  public restart (instance: MeshInstance, coldForMs: number): void {
    instance.isDown = false
    instance.incarnation++
    instance.coldUntilMs = this.nowMs + coldForMs
    instance.breaker.recordSuccess()
    this._applyCold(instance)
    if (!instance.breaker.isFlapping(this.nowMs)) this._step(instance, { type: 'restarted' })
    this._step(instance, { type: 'slots', slots: SLOTS })
    this._after(WAY_MS, () => this._choosers.forEach(chooser => chooser.setCandidate(describe(instance))))
  }

  /** An instance that could not be reached answers a health check; it gets one call at a time until one is answered. */
  public resume (instance: MeshInstance): void {
    instance.isDown = false
    instance.breaker.startTrial()
    this._step(instance, { type: 'slots', slots: 1 })
  }

  /** Ends an instance; its running requests have no answer, and it accepts no connection. */
  public crash (instance: MeshInstance): void {
    instance.isDown = true
    const lost = [...instance.running.values()]
    instance.running.clear()
    lost.forEach(end => end())
  }

  private _after (ms: number, action: () => void): void {
    const atMs = Math.ceil(this.nowMs + Math.max(1, ms))
    this._due.set(atMs, [...this._due.get(atMs) ?? [], action])
  }

  private _arrive (): void {
    const chooser = this._choosers[Math.floor(this._random.next() * this._choosers.length)]!
    this._send({ chooser, arrivedAtMs: this.nowMs, tried: [], declines: 0 })
  }

  private _send (request: MeshRequest): void {
    const { chooser, tried, arrivedAtMs } = request
    const node = chooser.choose({ excluded: tried, allowsTrial: true, bytes: BYTES }, this.nowMs)
    const instance = this.instances.find(other => other.node === node)
    if (instance === undefined) return this._end(request, 'refused', chooser.untilOpenMs(this.nowMs) ?? 0)
    tried.push(instance.node)
    chooser.recordSent(instance.node)
    const call: GateCall = {
      id: ++this._lastId,
      work: 'w',
      nested: false,
      requestRank: 0,
      priority: 1,
      objectiveAtMs: arrivedAtMs + 300,
      deadlineAtMs: arrivedAtMs + DEADLINE_MS,
      moveMs: 0,
      isHedge: false
    }
    this._requests.set(call.id, request)
    this._after(WAY_MS, () => this._step(instance, { type: 'offer', call }))
  }

  private _step (instance: MeshInstance, event: GateEvent): void {
    for (const action of instance.gate.step(event, this.nowMs)) this._handle(instance, action)
  }

  private _handle (instance: MeshInstance, action: GateAction): void {
    if (action.type === 'start') this._run(instance, action.call.id)
    if (action.type === 'wake') this._after(action.atMs - this.nowMs, () => this._step(instance, { type: 'tick' }))
    if (action.type === 'checkCold') this._check(instance, action.ticket)
    if (action.type === 'measure') this._step(instance, { type: 'measured', slowness: undefined })
    if (action.type !== 'decline') return
    instance.declinesMs.push(this.nowMs)
    this._reply(instance, action.call.id, action.reason === 'no-slots' ? 'unreachable' : 'declined', request => {
      request.declines++
      this._send(request)
    })
  }

  private _run (instance: MeshInstance, id: number): void {
    if (instance.isDown) return this._fail(instance, id, true)
    instance.arrivalsMs.push(this.nowMs)
    instance.startsMs.push(this.nowMs)
    instance.running.set(id, () => this._fail(instance, id, false))
    instance.mostRunning = Math.max(instance.mostRunning, instance.running.size)
    this._after(RUN_MS * (0.5 + this._random.next()), () => {
      if (!instance.running.delete(id)) return
      if (instance.breaker.state === 'trial') this._step(instance, { type: 'slots', slots: SLOTS })
      instance.breaker.recordSuccess()
      this._step(instance, { type: 'finished', id, workMs: RUN_MS })
      this._reply(instance, id, 'answered', request => this._end(request, 'answered', 0))
    })
  }

  /** The connection was refused, and the call goes on to another instance, or it was lost in the middle of the run. */
  private _fail (instance: MeshInstance, id: number, isUnsent: boolean): void {
    instance.breaker.open(this.nowMs)
    this._after(1, () => {
      this._step(instance, { type: 'slots', slots: 0 })
      this._step(instance, { type: 'finished', id, workMs: undefined })
      this._reply(instance, id, isUnsent ? 'unreachable' : 'failed', request => {
        if (isUnsent) this._send(request)
        else this._end(request, 'lost', 0)
      })
    })
  }

  private _reply (
    instance: MeshInstance, id: number, outcome: 'answered' | 'failed' | 'unreachable' | 'declined', then: (request: MeshRequest) => void
  ): void {
    const request = this._requests.get(id)
    if (request === undefined) return
    this._requests.delete(id)
    const load = instance.gate.load(this.nowMs)
    this._after(WAY_MS, () => {
      request.chooser.recordEnd(instance.node, outcome, load, this.nowMs)
      then(request)
    })
  }

  private _end ({ arrivedAtMs, declines }: MeshRequest, outcome: MeshOutcome['outcome'], retryAfterMs: number): void {
    this.outcomes.push({ outcome, arrivedAtMs, endedAtMs: this.nowMs, declines, retryAfterMs })
  }

  private _check (instance: MeshInstance, ticket: number): void {
    instance.arrivalsMs.push(this.nowMs)
    const isWarm = instance.coldUntilMs <= this.nowMs
    this._after(CHECK_MS, () => {
      this._applyCold(instance)
      this._step(instance, { type: 'probed', ticket, isWarm })
    })
  }

  private _applyCold (instance: MeshInstance): void {
    if (this._coldPerS === undefined) return
    this._step(instance, { type: 'coldLimit', perS: this._coldPerS, coldUntilMs: instance.coldUntilMs })
  }
}

function describe ({ node, incarnation }: MeshInstance): PlacementCandidate {
  return { node, incarnation: String(incarnation), roundTripMs: 2 * WAY_MS, slots: SLOTS, crossesZones: false }
}
