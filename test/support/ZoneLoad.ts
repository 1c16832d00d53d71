import { InstanceGate } from '../../src/parts/gate/InstanceGate.js'
import type { GateAction, GateCall, GateEvent, GateLoad } from '../../src/parts/gate/Types.js'
import { InstanceChooser } from '../../src/parts/placement/InstanceChooser.js'
import type { PlacementOutcome } from '../../src/parts/placement/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { EventHeap } from './WorkspaceLoad.js'

/** How nodes see instances: as they are, only those of their own zone, or all as if they were in one zone. */
export type ZoneView = 'asIs' | 'zoneOnly' | 'allAlike'

/** A load whose demand moves between zones, in virtual time. */
export interface ZonePlan {
  readonly seed: number
  readonly view: ZoneView
  /** Mean demand as a share of what all instances serve up to their knee. */
  readonly load: number
  /** Bytes of a call and its answer. */
  readonly bytes: number
  readonly durationMs: number
  /** Factor of the run time of a call that starts above the knee. */
  readonly slowdown: number
}

/** What callers got. */
export interface ZoneOutcome {
  requests: number
  inTime: number
  late: number
  refused: number
  /** Calls that an instance in another zone ran. */
  crossed: number
  /** Declined attempts; each costs a round trip. */
  declines: number
  readonly latenciesMs: number[]
}

const ZONES = 4
const NODES_PER_ZONE = 5
const SLOTS = 6
const KNEE = 4
const WORK_MS = 100
const WAVE_SHARE = 0.55
const WAVE_PERIOD_MS = 13_000
const NEAR_ROUND_TRIP_MS = 0.5
const FAR_ROUND_TRIP_MS = 3
const OBJECTIVE_MS = 400
const DEADLINE_MS = 1000
const MAX_DECLINES = 3
/** Requests of the first seconds find no reports and are not counted. */
const SETTLE_MS = 3000

interface ZoneCall {
  readonly from: number
  readonly arrivedAtMs: number
  readonly excluded: string[]
  to: number
  moveMs: number | undefined
  hasQueuedAtTried: boolean
}

/** Plays a load and returns what callers got. */
export function playZones (plan: ZonePlan): ZoneOutcome {
  return new ZonePlayer(plan).play()
}

class ZonePlayer {
  private readonly _random: SeededRandom
  private readonly _gates = Array.from({ length: ZONES * NODES_PER_ZONE }, () => new InstanceGate())
  private readonly _choosers: InstanceChooser[]
  private readonly _running = this._gates.map(() => 0)
  private readonly _wakeAtMs = this._gates.map(() => Infinity)
  private readonly _events = new EventHeap()
  private readonly _calls = new Map<number, ZoneCall>()
  private readonly _outcome: ZoneOutcome = {
    requests: 0, inTime: 0, late: 0, refused: 0, crossed: 0, declines: 0, latenciesMs: []
  }

  private _lastId = 0

  public constructor (private readonly _plan: ZonePlan) {
    this._random = new SeededRandom(_plan.seed)
    this._choosers = this._gates.map((_, self) => this._makeChooser(self))
  }

  public play (): ZoneOutcome {
    this._gates.forEach((_, node) => this._step(node, { type: 'slots', slots: SLOTS }, 0))
    this._gates.forEach((_, node) => this._scheduleArrival(node, 0))
    for (let event = this._events.take(); event !== undefined; event = this._events.take()) event.run(event.atMs)
    return this._outcome
  }

  private _makeChooser (self: number): InstanceChooser {
    const chooser = new InstanceChooser(`n${self}`, this._random)
    this._gates.forEach((_, node) => {
      const isFar = zoneOf(node) !== zoneOf(self)
      if (isFar && this._plan.view === 'zoneOnly') return
      const crossesZones = isFar && this._plan.view === 'asIs'
      const roundTripMs = crossesZones ? FAR_ROUND_TRIP_MS : NEAR_ROUND_TRIP_MS
      chooser.setCandidate({ node: `n${node}`, incarnation: '1', roundTripMs, slots: SLOTS, crossesZones })
    })
    return chooser
  }

  /** Draws arrivals at the highest rate of the wave and keeps those of the present rate. */
  private _scheduleArrival (node: number, nowMs: number): void {
    const meanPerMs = this._plan.load * KNEE / WORK_MS
    const atMs = nowMs - Math.log(1 - this._random.next()) / (meanPerMs * (1 + WAVE_SHARE))
    if (atMs >= this._plan.durationMs) return
    this._events.add(atMs, () => {
      const phase = 2 * Math.PI * (atMs / WAVE_PERIOD_MS + zoneOf(node) / ZONES)
      const share = (1 + WAVE_SHARE * Math.sin(phase)) / (1 + WAVE_SHARE)
      if (this._random.next() < share) this._arrive(node, atMs)
      this._scheduleArrival(node, atMs)
    })
  }

  private _arrive (from: number, nowMs: number): void {
    if (nowMs >= SETTLE_MS) this._outcome.requests++
    const call = { from, arrivedAtMs: nowMs, excluded: [], to: from, moveMs: undefined, hasQueuedAtTried: false }
    this._attempt(call, nowMs)
  }

  /** As `GatewayCall` does: each instance once, then the best one again, which must queue the call or refuse it. */
  private _attempt (call: ZoneCall, nowMs: number): void {
    const chooser = this._choosers[call.from]!
    const query = { bytes: this._plan.bytes, allowsTrial: true, excluded: call.excluded }
    let node = chooser.choose(query, nowMs)
    call.moveMs = undefined
    if (node !== undefined && call.excluded.length < MAX_DECLINES) call.moveMs = chooser.moveCostMs(node, query, nowMs)
    if (node === undefined && !call.hasQueuedAtTried) {
      call.hasQueuedAtTried = true
      node = chooser.choose({ ...query, excluded: [] }, nowMs)
    }
    if (node === undefined) return this._refuse(call)
    call.to = Number(node.slice(1))
    chooser.recordSent(node)
    const id = ++this._lastId
    this._calls.set(id, call)
    this._events.add(nowMs + this._oneWayMs(call), atMs => this._offer(id, call, atMs))
  }

  private _offer (id: number, { to, arrivedAtMs, moveMs }: ZoneCall, nowMs: number): void {
    const gateCall: GateCall = {
      id,
      work: 'r',
      nested: false,
      requestRank: 0.5,
      priority: 1,
      objectiveAtMs: arrivedAtMs + OBJECTIVE_MS,
      deadlineAtMs: arrivedAtMs + DEADLINE_MS,
      moveMs,
      isHedge: false
    }
    this._step(to, { type: 'offer', call: gateCall }, nowMs)
  }

  private _step (node: number, event: GateEvent, nowMs: number): void {
    for (const action of this._gates[node]!.step(event, nowMs)) this._handle(node, action, nowMs)
  }

  private _handle (node: number, action: GateAction, nowMs: number): void {
    if (action.type === 'measure') this._step(node, { type: 'measured', slowness: 1 }, nowMs)
    if (action.type === 'wake' && action.atMs < this._wakeAtMs[node]!) this._wakeAt(node, action.atMs)
    if (action.type === 'start') this._run(node, action.call.id, nowMs)
    if (action.type === 'decline') this._onDecline(node, action.call.id, nowMs)
  }

  private _wakeAt (node: number, wakeAtMs: number): void {
    this._wakeAtMs[node] = wakeAtMs
    this._events.add(wakeAtMs, atMs => {
      if (this._wakeAtMs[node] !== wakeAtMs) return
      this._wakeAtMs[node] = Infinity
      this._step(node, { type: 'tick' }, atMs)
    })
  }

  private _run (node: number, id: number, nowMs: number): void {
    const call = this._calls.get(id)!
    this._running[node]!++
    const factor = this._running[node]! > KNEE ? this._plan.slowdown : 1
    const workMs = WORK_MS * (0.6 + 0.8 * this._random.next()) * factor
    this._events.add(nowMs + workMs, endMs => {
      this._running[node]!--
      this._step(node, { type: 'finished', id, workMs }, endMs)
      const load = this._gates[node]!.load(endMs)
      this._events.add(endMs + this._oneWayMs(call), atMs => this._onAnswer(id, call, load, atMs))
    })
  }

  private _onAnswer (id: number, call: ZoneCall, load: GateLoad, nowMs: number): void {
    this._end(id, call, 'answered', load, nowMs)
    if (call.arrivedAtMs < SETTLE_MS) return
    const tookMs = nowMs - call.arrivedAtMs
    this._outcome.latenciesMs.push(tookMs)
    if (tookMs <= OBJECTIVE_MS) this._outcome.inTime++
    else this._outcome.late++
    if (zoneOf(call.to) !== zoneOf(call.from)) this._outcome.crossed++
  }

  private _onDecline (node: number, id: number, nowMs: number): void {
    const call = this._calls.get(id)!
    const isFinal = call.moveMs === undefined
    const load = this._gates[node]!.load(nowMs)
    this._events.add(nowMs + this._oneWayMs(call), atMs => {
      this._end(id, call, 'declined', load, atMs)
      if (call.arrivedAtMs >= SETTLE_MS) this._outcome.declines++
      call.excluded.push(`n${node}`)
      if (isFinal) this._refuse(call)
      else this._attempt(call, atMs)
    })
  }

  private _end (id: number, { from, to }: ZoneCall, outcome: PlacementOutcome, load: GateLoad, nowMs: number): void {
    this._calls.delete(id)
    this._choosers[from]!.recordEnd(`n${to}`, outcome, load, nowMs)
  }

  private _refuse ({ arrivedAtMs }: ZoneCall): void {
    if (arrivedAtMs >= SETTLE_MS) this._outcome.refused++
  }

  private _oneWayMs ({ from, to }: ZoneCall): number {
    return (zoneOf(from) === zoneOf(to) ? NEAR_ROUND_TRIP_MS : FAR_ROUND_TRIP_MS) / 2
  }
}

function zoneOf (node: number): number {
  return Math.floor(node / NODES_PER_ZONE)
}
