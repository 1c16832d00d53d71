import fc from 'fast-check'
import { GroupClock } from '../../src/parts/records/GroupClock.js'
import { IdempotencyLedger } from '../../src/parts/records/IdempotencyLedger.js'
import { ExecutionPermit } from '../../src/parts/records/ExecutionPermit.js'
import type {
  LedgerSnapshot, PermitAction, PermitEvent, PermitRequest, RecordCommand, RecordReply, StoredAnswer
} from '../../src/parts/records/Types.js'

const MAX_STEPS = 70
const HORIZON_MS = 20_000
const RUN_FOR_MS = 900
const NODES = ['a', 'b', 'c']
const KEYS = ['k1', 'k2']

/** How a simulation creates ledgers, permits, snapshots and times; tests replace a hook with a faulty one. */
export interface PermitHooks {
  ledger (): IdempotencyLedger
  permit (request: PermitRequest): { step (event: PermitEvent, nowMs: number): PermitAction[] }
  snapshot (snapshot: LedgerSnapshot): LedgerSnapshot
  stamp (clock: GroupClock, localMs: number): number
}

/** Hooks without a fault. */
export const DEFAULT_PERMIT_HOOKS: PermitHooks = {
  ledger: () => new IdempotencyLedger({ horizonMs: HORIZON_MS }),
  permit: (request) => new ExecutionPermit(request, { outcomeTimeoutMs: 10_000 }),
  snapshot: (snapshot) => snapshot,
  stamp: (clock, localMs) => clock.stamp(localMs)
}

type Message =
  | { readonly type: 'command', readonly call: Call, readonly sequence: number, readonly command: RecordCommand }
  | { readonly type: 'reply', readonly call: Call, readonly sequence: number, readonly reply: RecordReply }

interface Call {
  readonly permit: ReturnType<PermitHooks['permit']>
  readonly node: string
  readonly key: string
  result: PermitAction | undefined
  /** What the upstream does with the call once it is dispatched. */
  upstreamPlan: 'answers' | 'loses' | 'sheds' | undefined
  atUpstream: boolean
  ran: boolean
  /** True when the caller has disconnected. */
  gone: boolean
  done: boolean
}

/** Kind and choice of a step; each is taken modulo the number of options. */
export type PermitStep = readonly [number, number]

/** Simulates three nodes and a ledger with changing leaders; messages are delayed, lost, duplicated and reordered. */
export class PermitSimulation {
  private readonly _hooks: PermitHooks
  private _nowMs = 0
  private _offsetMs = 0
  private _clock = new GroupClock()
  private _ledger: IdempotencyLedger
  private _log: Array<{ readonly command: RecordCommand, readonly atMs: number }> = []
  private _network: Message[] = []
  private _calls: Call[] = []
  private _incarnations = new Map(NODES.map((node) => [node, 1]))
  private _executions = new Map<string, { readonly atMs: number, readonly answer: StoredAnswer }>()
  private _callCount = 0
  private _crashCount = 0
  private _uncertainKeys = new Set<string>()

  private readonly _stepHandlers: ReadonlyArray<(pick: number) => void> = [
    (pick) => this._startCall(pick, KEYS[pick % KEYS.length] as string),
    (pick) => this._startCall(pick, KEYS[0] as string),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, true),
    (pick) => { this._network.splice(pick % (this._network.length || 1), 1) },
    (pick) => this._completeAtUpstream(pick),
    (pick) => this._completeAtUpstream(pick),
    (pick) => this._advanceTime(pick % 400),
    (pick) => this._advanceTime(pick % 20 === 0 ? HORIZON_MS / 4 : 50),
    (pick) => this._crashNode(pick),
    (pick) => this._changeLeader(pick),
    (pick) => this._disconnectCaller(pick)
  ]

  /**
   * @param hooks How ledgers and permits are created.
   */
  public constructor (hooks: PermitHooks) {
    this._hooks = hooks
    this._ledger = hooks.ledger()
  }

  /**
   * Runs a schedule, then checks that every call ends and that keys that never ran can be used.
   * @param steps Steps to run.
   * @throws Error when a property is violated.
   */
  public run (steps: readonly PermitStep[]): void {
    for (const [kind, pick] of steps) {
      const handler = this._stepHandlers[kind % this._stepHandlers.length] as (pick: number) => void
      handler(pick)
    }
    this._settle()
    this._checkFreeKeys()
  }

  private _startCall (pick: number, key: string): Call {
    const node = NODES[Math.floor(pick / 7) % NODES.length] as string
    this._callCount += 1
    const permit = this._hooks.permit({
      record: { service: 's', key },
      fingerprint: key,
      holder: { node, incarnation: this._incarnations.get(node) as number, call: this._callCount },
      deadlineAtMs: this._nowMs + 150 + pick % 700,
      runForMs: RUN_FOR_MS
    })
    const initial = {
      result: undefined, upstreamPlan: undefined, atUpstream: false, ran: false, gone: false, done: false
    }
    const call: Call = { permit, node, key, ...initial }
    this._calls.push(call)
    this._step(call, { type: 'start' })
    return call
  }

  private _step (call: Call, event: PermitEvent): void {
    for (const action of call.permit.step(event, this._nowMs)) {
      this._handleAction(call, action)
    }
    if (call.result?.type === 'refuse' && call.result.disposition === 'not-run' && call.ran) {
      throw new Error('not-run was reported for a call that ran')
    }
  }

  private _handleAction (call: Call, action: PermitAction): void {
    if (action.type === 'send') {
      if (action.command.type === 'lose') {
        this._uncertainKeys.add(call.key)
      }
      this._network.push({ type: 'command', call, sequence: action.sequence, command: action.command })
    } else if (action.type === 'dispatch') {
      this._dispatch(call)
    } else if (action.type === 'answer' || action.type === 'refuse') {
      this._recordResult(call, action)
    } else if (action.type === 'done') {
      call.done = true
    }
  }

  private _dispatch (call: Call): void {
    if (call.upstreamPlan !== undefined) {
      throw new Error('a call was dispatched twice')
    }
    call.upstreamPlan = (['answers', 'answers', 'loses', 'sheds'] as const)[(this._callCount + this._nowMs) % 4] ?? 'answers'
    call.atUpstream = true
    if (call.upstreamPlan === 'sheds') {
      return
    }
    const earlierRun = this._executions.get(call.key)
    if (earlierRun !== undefined && this._nowMs - earlierRun.atMs < HORIZON_MS) {
      throw new Error('a key ran twice')
    }
    call.ran = true
    const body = new TextEncoder().encode(`${call.key} at ${this._nowMs}`)
    this._executions.set(call.key, { atMs: this._nowMs, answer: { status: 200, headers: [], body, truncated: false } })
  }

  private _recordResult (call: Call, action: PermitAction): void {
    if (call.result !== undefined) {
      throw new Error('a call received two results')
    }
    call.result = action
    if (action.type === 'answer' && action.isReplayed) {
      const first = this._executions.get(call.key)?.answer.body.toString()
      if (first !== action.answer.body.toString()) {
        throw new Error('a replay returned another answer')
      }
    }
  }

  private _deliver (pick: number, duplicate: boolean): void {
    const index = pick % (this._network.length || 1)
    const message = this._network[index]
    if (message === undefined) {
      return
    }
    if (!duplicate) {
      this._network.splice(index, 1)
    }
    if (message.type === 'reply') {
      if (this._calls.includes(message.call)) {
        this._step(message.call, { type: 'reply', sequence: message.sequence, reply: message.reply })
      }
      return
    }
    const atMs = this._hooks.stamp(this._clock, this._nowMs + this._offsetMs)
    this._log.push({ command: message.command, atMs })
    const reply = this._ledger.apply(message.command, atMs)
    this._clock.observe(atMs, this._nowMs + this._offsetMs)
    this._network.push({ type: 'reply', call: message.call, sequence: message.sequence, reply })
  }

  private _completeAtUpstream (pick: number): void {
    const busy = this._calls.filter((call) => call.atUpstream)
    const call = busy[pick % (busy.length || 1)]
    if (call === undefined) {
      return
    }
    call.atUpstream = false
    if (call.upstreamPlan === 'answers') {
      const run = this._executions.get(call.key)
      this._step(call, { type: 'answered', answer: run?.answer as StoredAnswer })
    } else if (call.upstreamPlan === 'loses') {
      this._step(call, { type: 'upstreamLost' })
    } else {
      this._step(call, { type: 'notRun', reason: 'shedding', retryAfterMs: 10 })
    }
  }

  private _advanceTime (ms: number): void {
    this._nowMs += ms
    for (const call of this._calls) {
      this._step(call, { type: 'tick' })
    }
  }

  private _disconnectCaller (pick: number): void {
    const call = this._calls[pick % (this._calls.length || 1)]
    if (call !== undefined) {
      call.gone = true
      this._step(call, { type: 'callerGone' })
    }
  }

  private _crashNode (pick: number): void {
    const node = NODES[pick % NODES.length] as string
    this._crashCount += 1
    this._calls = this._calls.filter((call) => call.node !== node)
    this._incarnations.set(node, (this._incarnations.get(node) as number) + 1)
  }

  /** Restores the next leader from a snapshot within the log and the entries after it, with another monotonic clock. */
  private _changeLeader (pick: number): void {
    const snapshotLength = pick % (this._log.length + 1)
    const earlier = this._hooks.ledger()
    this._log.slice(0, snapshotLength).forEach((entry) => earlier.apply(entry.command, entry.atMs))
    const next = this._hooks.ledger()
    next.restore(structuredClone(this._hooks.snapshot(earlier.snapshot())))
    this._log.slice(snapshotLength).forEach((entry) => next.apply(entry.command, entry.atMs))
    this._ledger = next
    this._offsetMs = (pick * 7_919) % 1_000_000
    this._clock = new GroupClock()
    this._clock.observe(this._log.at(-1)?.atMs ?? 0, this._nowMs + this._offsetMs)
  }

  private _settle (): void {
    for (let round = 0; round < 40; round += 1) {
      while (this._network.length > 0) {
        this._deliver(0, false)
      }
      while (this._calls.some((call) => call.atUpstream)) {
        this._completeAtUpstream(0)
      }
      this._advanceTime(100)
    }
    if (this._calls.some((call) => !call.done)) {
      throw new Error('a permit never finished')
    }
    if (this._calls.some((call) => call.ran && !call.gone && call.result === undefined)) {
      throw new Error('a caller received no result')
    }
  }

  /** Checks that the next caller may run a key that has not run and for which no call may still run. */
  private _checkFreeKeys (): void {
    for (const key of KEYS) {
      if (this._executions.has(key) || this._uncertainKeys.has(key) || this._crashCount > 0) {
        continue
      }
      const call = this._startCall(0, key)
      this._deliver(0, false)
      this._deliver(0, false)
      if (call.upstreamPlan === undefined) {
        throw new Error('a free key was refused')
      }
    }
  }
}

const steps = fc.array(fc.tuple(fc.nat(13), fc.nat(9_999)), { maxLength: MAX_STEPS, size: 'max' })

/**
 * Returns the property that no key runs twice within the horizon and that results and replays are correct.
 * @param hooks How ledgers and permits are created.
 */
export function permitProperty (hooks: PermitHooks = DEFAULT_PERMIT_HOOKS) {
  return fc.property(steps, (schedule) => new PermitSimulation(hooks).run(schedule))
}
