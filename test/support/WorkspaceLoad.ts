import { InstanceGate } from '../../src/parts/gate/InstanceGate.js'
import type { DeclineReason, GateAction, GateCall, GateEvent } from '../../src/parts/gate/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { WorkspaceUsage } from '../../src/parts/workspaces/WorkspaceUsage.js'

/** Whether refused callers repeat their request: never, when Retry-After is over, or after `EAGER_MS` in any case. */
export type Repeats = 'never' | 'patient' | 'eager'

/** One workspace of a played load. */
export interface LoadWorkspace {
  readonly name: string
  /** Requests a second during the measured time. */
  readonly perS: number
  /** Requests a second before; the quota is for these. */
  readonly usualPerS: number
  readonly repeats: Repeats
  readonly workspacePriority: number
  /** Quota in requests a second, to which `QUOTA_BURST` is added; undefined without one. */
  readonly quotaPerS: number | undefined
  /** Route of the requests beyond the usual ones; undefined where they are like the others. */
  readonly surgeRoute?: number
}

/** A load on gates in virtual time. */
export interface LoadPlan {
  readonly seed: number
  readonly gates: number
  /** Nodes to which the callers of each workspace connect at random. */
  readonly nodes: number
  readonly workspaces: readonly LoadWorkspace[]
  /** With `today`, calls carry nothing of their workspaces. */
  readonly order: 'today' | 'shares'
  readonly warmUpMs: number
  readonly measuredMs: number
  /** Limit that each instance names. */
  readonly requestLimitPerS?: number
  /** Routes with the share of the requests, priority and work time of each. */
  readonly routes: ReadonlyArray<{ readonly share: number, readonly priority: number, readonly workMs: number }>
}

/** What the callers of one workspace got in the measured time. */
export interface LoadOutcome {
  requests: number
  attempts: number
  /** Requests that were answered, also those of repeated attempts. */
  answered: number
  /** Requests that were answered within their objective. */
  inTime: number
  /** For each refused attempt, how long it had waited. */
  readonly refusedAfterMs: number[]
  readonly refusals: Partial<Record<DeclineReason, number>>
}

export const SLOTS = 6
export const MEAN_WORK_MS = 100
export const OBJECTIVE_MS = 400
const DEADLINE_MS = 1000
/** Delay of callers that do not wait for Retry-After. */
const EAGER_MS = 20
const MAX_DECLINES = 3
const QUOTA_WINDOW_MS = 5000
const QUOTA_BURST = 2

interface Attempt {
  readonly workspace: number
  readonly node: number
  readonly route: number
  readonly firstAtMs: number
  readonly startedAtMs: number
  readonly isMeasured: boolean
  readonly shareUsed: number | undefined
  readonly untried: number[]
  declines: number
}

/** Requests a second that a gate serves. */
export const CAPACITY_PER_S = SLOTS * 1000 / MEAN_WORK_MS

/** Plays a load and returns what the callers of each workspace got. */
export function playLoad (plan: LoadPlan): LoadOutcome[] {
  return new LoadPlayer(plan).play()
}

/** Requests that a workspace may still run in its window, as the leader of the control group counts them. */
class QuotaModel {
  private readonly _takenMs: number[] = []

  public constructor (private readonly _perS: number) {}

  public share (nowMs: number): number {
    while ((this._takenMs[0] ?? Infinity) <= nowMs - QUOTA_WINDOW_MS) this._takenMs.shift()
    const limit = this._perS * QUOTA_WINDOW_MS / 1000 + QUOTA_BURST
    return Math.min(8, Math.round(8 * this._takenMs.length / limit)) / 8
  }

  public take (nowMs: number): void {
    this._takenMs.push(nowMs)
  }

  public giveBack (takenAtMs: number): void {
    const index = this._takenMs.lastIndexOf(takenAtMs)
    if (index >= 0) this._takenMs.splice(index, 1)
  }
}

class LoadPlayer {
  private readonly _random: SeededRandom
  private readonly _gates: InstanceGate[]
  private readonly _wakeAtMs: number[]
  private readonly _usages: WorkspaceUsage[]
  private readonly _quotas: ReadonlyArray<QuotaModel | undefined>
  private readonly _events = new EventHeap()
  private readonly _calls = new Map<number, Attempt>()
  private readonly _outcomes: LoadOutcome[]
  private _lastId = 0

  public constructor (private readonly _plan: LoadPlan) {
    this._random = new SeededRandom(_plan.seed)
    this._gates = Array.from({ length: _plan.gates }, () => new InstanceGate())
    this._wakeAtMs = this._gates.map(() => Infinity)
    this._usages = Array.from({ length: _plan.nodes }, () => new WorkspaceUsage())
    this._quotas = _plan.workspaces.map(({ quotaPerS: perS }) => perS === undefined ? undefined : new QuotaModel(perS))
    this._outcomes = _plan.workspaces.map(() => {
      return { requests: 0, attempts: 0, answered: 0, inTime: 0, refusedAfterMs: [], refusals: {} }
    })
  }

  public play (): LoadOutcome[] {
    this._gates.forEach((_, gate) => {
      this._step(gate, { type: 'slots', slots: SLOTS }, 0)
      this._step(gate, { type: 'requestLimit', perS: this._plan.requestLimitPerS }, 0)
    })
    this._plan.workspaces.forEach((_, workspace) => this._scheduleArrival(workspace, 0))
    const { warmUpMs, measuredMs } = this._plan
    let event = this._events.take()
    while (event !== undefined && event.atMs < warmUpMs + measuredMs + DEADLINE_MS) {
      event.run(event.atMs)
      event = this._events.take()
    }
    return this._outcomes
  }

  private _scheduleArrival (workspace: number, nowMs: number): void {
    const { perS, usualPerS } = this._plan.workspaces[workspace]!
    const { warmUpMs, measuredMs } = this._plan
    const rate = nowMs < warmUpMs ? usualPerS : perS
    const atMs = nowMs - Math.log(1 - this._random.next()) * 1000 / rate
    // The rate changes at the end of the warm-up; without memory, the process may start anew there.
    if (nowMs < warmUpMs && atMs >= warmUpMs) {
      this._events.add(warmUpMs, () => this._scheduleArrival(workspace, warmUpMs))
    } else if (atMs < warmUpMs + measuredMs) {
      this._events.add(atMs, () => {
        this._arrive(workspace, atMs)
        this._scheduleArrival(workspace, atMs)
      })
    }
  }

  private _arrive (workspace: number, nowMs: number): void {
    const isMeasured = nowMs >= this._plan.warmUpMs
    if (isMeasured) this._outcomes[workspace]!.requests++
    this._attempt(workspace, this._pickRoute(workspace, isMeasured), nowMs, nowMs, isMeasured)
  }

  private _pickRoute (workspace: number, isMeasured: boolean): number {
    const { surgeRoute, usualPerS, perS } = this._plan.workspaces[workspace]!
    if (isMeasured && surgeRoute !== undefined && this._random.next() > usualPerS / perS) return surgeRoute
    let left = this._random.next()
    return Math.max(0, this._plan.routes.findIndex(({ share }) => (left -= share) < 0))
  }

  private _attempt (workspace: number, route: number, firstAtMs: number, nowMs: number, isMeasured: boolean): void {
    if (isMeasured) this._outcomes[workspace]!.attempts++
    const node = Math.floor(this._random.next() * this._plan.nodes)
    const untried = shuffle(this._gates.map((_, gate) => gate), this._random)
    const shareUsed = this._takeShare(workspace, node, nowMs)
    const times = { firstAtMs, startedAtMs: nowMs }
    this._send({ workspace, node, route, ...times, isMeasured, shareUsed, untried, declines: 0 }, nowMs)
  }

  private _takeShare (workspace: number, node: number, nowMs: number): number | undefined {
    if (this._plan.order === 'today') return undefined
    const quotaShare = this._quotas[workspace]?.share(nowMs)
    this._quotas[workspace]?.take(nowMs)
    return this._usages[node]!.take(this._plan.workspaces[workspace]!.name, quotaShare, nowMs)
  }

  private _send (attempt: Attempt, nowMs: number): void {
    const gate = attempt.untried.pop()!
    const { priority, workMs } = this._plan.routes[attempt.route]!
    const { workspacePriority } = this._plan.workspaces[attempt.workspace]!
    const id = ++this._lastId
    this._calls.set(id, attempt)
    const call: GateCall = {
      id,
      work: `r${attempt.route}-${workMs}`,
      nested: false,
      requestRank: 0.5,
      priority,
      objectiveAtMs: attempt.firstAtMs + OBJECTIVE_MS,
      deadlineAtMs: attempt.firstAtMs + DEADLINE_MS,
      moveMs: attempt.declines < MAX_DECLINES && attempt.untried.length > 0 ? 2 : undefined,
      isHedge: false,
      ...(attempt.shareUsed === undefined ? {} : { workspacePriority, shareUsed: attempt.shareUsed })
    }
    this._step(gate, { type: 'offer', call }, nowMs)
  }

  private _step (gate: number, event: GateEvent, nowMs: number): void {
    for (const action of this._gates[gate]!.step(event, nowMs)) this._handle(gate, action, nowMs)
  }

  private _handle (gate: number, action: GateAction, nowMs: number): void {
    if (action.type === 'measure') this._step(gate, { type: 'measured', slowness: 1 }, nowMs)
    if (action.type === 'wake' && action.atMs < this._wakeAtMs[gate]!) {
      this._wakeAtMs[gate] = action.atMs
      this._events.add(action.atMs, atMs => {
        if (this._wakeAtMs[gate] !== action.atMs) return
        this._wakeAtMs[gate] = Infinity
        this._step(gate, { type: 'tick' }, atMs)
      })
    }
    if (action.type === 'start') this._run(gate, action.call, nowMs)
    if (action.type === 'decline') this._onDecline(action.call, action.reason, action.retryAfterMs, nowMs)
  }

  private _run (gate: number, { id }: GateCall, nowMs: number): void {
    const { route } = this._calls.get(id)!
    const workMs = this._plan.routes[route]!.workMs * (0.6 + 0.8 * this._random.next())
    this._events.add(nowMs + workMs, endMs => {
      const { workspace, firstAtMs, isMeasured } = this._calls.get(id)!
      this._calls.delete(id)
      const outcome = this._outcomes[workspace]!
      if (isMeasured) outcome.answered++
      if (isMeasured && endMs - firstAtMs <= OBJECTIVE_MS) outcome.inTime++
      this._step(gate, { type: 'finished', id, workMs }, endMs)
    })
  }

  private _onDecline ({ id, moveMs }: GateCall, reason: DeclineReason, retryAfterMs: number, nowMs: number): void {
    const attempt = this._calls.get(id)!
    this._calls.delete(id)
    attempt.declines++
    if (moveMs !== undefined) return this._send(attempt, nowMs)
    const { workspace, node, startedAtMs, isMeasured } = attempt
    const { name, repeats } = this._plan.workspaces[workspace]!
    this._usages[node]!.giveBack(name, startedAtMs, nowMs)
    this._quotas[workspace]?.giveBack(startedAtMs)
    const outcome = this._outcomes[workspace]!
    if (isMeasured) {
      outcome.refusedAfterMs.push(nowMs - startedAtMs)
      outcome.refusals[reason] = (outcome.refusals[reason] ?? 0) + 1
    }
    if (repeats !== 'never') this._repeat(attempt, repeats === 'eager' ? EAGER_MS : retryAfterMs, nowMs)
  }

  private _repeat ({ workspace, route, firstAtMs, isMeasured }: Attempt, delayMs: number, nowMs: number): void {
    // The node adds the same jitter and keeps Retry-After within the deadline.
    const jitterMs = delayMs === EAGER_MS ? 0 : 0.5 * OBJECTIVE_MS * this._random.next()
    const atMs = nowMs + Math.min(delayMs + jitterMs, (firstAtMs + DEADLINE_MS - nowMs) / 3)
    if (firstAtMs + DEADLINE_MS - atMs < MEAN_WORK_MS) return
    this._events.add(atMs, () => this._attempt(workspace, route, firstAtMs, atMs, isMeasured))
  }
}

interface TimedEvent {
  readonly atMs: number
  readonly sequence: number
  readonly run: (atMs: number) => void
}

/** Binary heap of events by time; those of the same time stay first in, first out. */
export class EventHeap {
  private readonly _heap: TimedEvent[] = []
  private _sequence = 0

  public add (atMs: number, run: (atMs: number) => void): void {
    const heap = this._heap
    let index = heap.push({ atMs, sequence: this._sequence++, run }) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index]!, heap[parent]!)) return
      swap(heap, index, parent)
      index = parent
    }
  }

  public take (): TimedEvent | undefined {
    const heap = this._heap
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let index = 0; ;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child]!, heap[least]!)) least = child
      }
      if (least === index) return first
      swap(heap, index, least)
      index = least
    }
  }
}

function isBefore (a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence)
}

function swap (heap: TimedEvent[], a: number, b: number): void {
  const event = heap[a]!
  heap[a] = heap[b]!
  heap[b] = event
}

function shuffle (values: number[], random: SeededRandom): number[] {
  for (let index = values.length - 1; index > 0; index--) {
    const other = Math.floor(random.next() * (index + 1))
    const value = values[index]!
    values[index] = values[other]!
    values[other] = value
  }
  return values
}
