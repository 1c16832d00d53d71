import fc from 'fast-check'
import { GroupClock } from '../../src/parts/records/GroupClock.js'
import { IdempotencyLedger } from '../../src/parts/records/IdempotencyLedger.js'
import { ExecutionPermit } from '../../src/parts/records/ExecutionPermit.js'
import type {
  LedgerSnapshot, PermitAction, PermitEvent, PermitRequest, RecordCommand, RecordReply, StoredAnswer
} from '../../src/parts/records/Types.js'

const STEPS = 70
const HORIZON_MS = 20_000
const RUN_FOR_MS = 900
const NODES = ['a', 'b', 'c']
const KEYS = ['k1', 'k2']

/** Mechanisms that a fault takes away. */
export interface PermitMechanisms {
  ledger (): IdempotencyLedger
  permit (request: PermitRequest): { step (event: PermitEvent, nowMs: number): PermitAction[] }
  snapshot (snapshot: LedgerSnapshot): LedgerSnapshot
  stamp (clock: GroupClock, localMs: number): number
}

export const SOUND_PERMITS: PermitMechanisms = {
  ledger: () => new IdempotencyLedger({ horizonMs: HORIZON_MS }),
  permit: (request) => new ExecutionPermit(request, { outcomeTimeoutMs: 10_000 }),
  snapshot: (snapshot) => snapshot,
  stamp: (clock, localMs) => clock.stamp(localMs)
}

type Message =
  | { readonly type: 'command', readonly call: Call, readonly sequence: number, readonly command: RecordCommand }
  | { readonly type: 'reply', readonly call: Call, readonly sequence: number, readonly reply: RecordReply }

interface Call {
  readonly permit: ReturnType<PermitMechanisms['permit']>
  readonly node: string
  readonly key: string
  told: PermitAction | undefined
  plan: 'answers' | 'loses' | 'sheds' | undefined
  atUpstream: boolean
  ran: boolean
  gone: boolean
  done: boolean
}

export type PermitStep = readonly [number, number]

/** Three nodes, one ledger with changing leaders, and a network that delays, loses, repeats and reorders. */
export class PermitWorld {
  private readonly _mechanisms: PermitMechanisms
  private _nowMs = 0
  private _offsetMs = 0
  private _clock = new GroupClock()
  private _ledger: IdempotencyLedger
  private _log: Array<{ readonly command: RecordCommand, readonly atMs: number }> = []
  private _network: Message[] = []
  private _calls: Call[] = []
  private _incarnations = new Map(NODES.map((node) => [node, 1]))
  private _runs = new Map<string, { readonly atMs: number, readonly answer: StoredAnswer }>()
  private _serial = 0
  private _crashes = 0
  private _doubtful = new Set<string>()

  private readonly _kinds: ReadonlyArray<(pick: number) => void> = [
    (pick) => this._call(pick, KEYS[pick % KEYS.length] as string),
    (pick) => this._call(pick, KEYS[0] as string),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, false),
    (pick) => this._deliver(pick, true),
    (pick) => { this._network.splice(pick % (this._network.length || 1), 1) },
    (pick) => this._upstream(pick),
    (pick) => this._upstream(pick),
    (pick) => this._pass(pick % 400),
    (pick) => this._pass(pick % 20 === 0 ? HORIZON_MS / 4 : 50),
    (pick) => this._crash(pick),
    (pick) => this._changeLeader(pick),
    (pick) => this._leave(pick)
  ]

  /**
   * @param mechanisms The parts, or parts without a mechanism.
   */
  public constructor (mechanisms: PermitMechanisms) {
    this._mechanisms = mechanisms
    this._ledger = mechanisms.ledger()
  }

  /**
   * Runs a schedule, settles and throws at the first broken promise.
   * @param steps Kind and choice of each step.
   */
  public run (steps: readonly PermitStep[]): void {
    for (const [kind, pick] of steps) {
      const act = this._kinds[kind % this._kinds.length] as (pick: number) => void
      act(pick)
    }
    this._settle()
    this._checkFreeKeys()
  }

  private _call (pick: number, key: string): Call {
    const node = NODES[Math.floor(pick / 7) % NODES.length] as string
    this._serial += 1
    const permit = this._mechanisms.permit({
      record: { service: 's', key },
      fingerprint: key,
      holder: { node, incarnation: this._incarnations.get(node) as number, call: this._serial },
      deadlineAtMs: this._nowMs + 150 + pick % 700,
      runForMs: RUN_FOR_MS
    })
    const started = { told: undefined, plan: undefined, atUpstream: false, ran: false, gone: false, done: false }
    const call: Call = { permit, node, key, ...started }
    this._calls.push(call)
    this._feed(call, { type: 'start' })
    return call
  }

  private _feed (call: Call, event: PermitEvent): void {
    for (const action of call.permit.step(event, this._nowMs)) {
      this._act(call, action)
    }
    if (call.told?.type === 'refuse' && call.told.disposition === 'not-run' && call.ran) {
      throw new Error('not-run was said of a call that ran')
    }
  }

  private _act (call: Call, action: PermitAction): void {
    if (action.type === 'send') {
      if (action.command.type === 'lose') {
        this._doubtful.add(call.key)
      }
      this._network.push({ type: 'command', call, sequence: action.sequence, command: action.command })
    } else if (action.type === 'dispatch') {
      this._dispatch(call)
    } else if (action.type === 'answer' || action.type === 'refuse') {
      this._tell(call, action)
    } else if (action.type === 'done') {
      call.done = true
    }
  }

  private _dispatch (call: Call): void {
    if (call.plan !== undefined) {
      throw new Error('dispatched twice')
    }
    call.plan = (['answers', 'answers', 'loses', 'sheds'] as const)[(this._serial + this._nowMs) % 4] ?? 'answers'
    call.atUpstream = true
    if (call.plan === 'sheds') {
      return
    }
    const earlier = this._runs.get(call.key)
    if (earlier !== undefined && this._nowMs - earlier.atMs < HORIZON_MS) {
      throw new Error('a key ran twice')
    }
    call.ran = true
    const body = new TextEncoder().encode(`${call.key} at ${this._nowMs}`)
    this._runs.set(call.key, { atMs: this._nowMs, answer: { status: 200, headers: [], body, truncated: false } })
  }

  private _tell (call: Call, action: PermitAction): void {
    if (call.told !== undefined) {
      throw new Error('told twice')
    }
    call.told = action
    if (action.type === 'answer' && action.isReplayed) {
      const first = this._runs.get(call.key)?.answer.body.toString()
      if (first !== action.answer.body.toString()) {
        throw new Error('a repeat got another answer')
      }
    }
  }

  private _deliver (pick: number, keep: boolean): void {
    const index = pick % (this._network.length || 1)
    const message = this._network[index]
    if (message === undefined) {
      return
    }
    if (!keep) {
      this._network.splice(index, 1)
    }
    if (message.type === 'reply') {
      if (this._calls.includes(message.call)) {
        this._feed(message.call, { type: 'reply', sequence: message.sequence, reply: message.reply })
      }
      return
    }
    const atMs = this._mechanisms.stamp(this._clock, this._nowMs + this._offsetMs)
    this._log.push({ command: message.command, atMs })
    const reply = this._ledger.apply(message.command, atMs)
    this._clock.observe(atMs, this._nowMs + this._offsetMs)
    this._network.push({ type: 'reply', call: message.call, sequence: message.sequence, reply })
  }

  private _upstream (pick: number): void {
    const busy = this._calls.filter((call) => call.atUpstream)
    const call = busy[pick % (busy.length || 1)]
    if (call === undefined) {
      return
    }
    call.atUpstream = false
    if (call.plan === 'answers') {
      const run = this._runs.get(call.key)
      this._feed(call, { type: 'answered', answer: run?.answer as StoredAnswer })
    } else if (call.plan === 'loses') {
      this._feed(call, { type: 'upstreamLost' })
    } else {
      this._feed(call, { type: 'notRun', reason: 'shedding', retryAfterMs: 10 })
    }
  }

  private _pass (ms: number): void {
    this._nowMs += ms
    for (const call of this._calls) {
      this._feed(call, { type: 'tick' })
    }
  }

  private _leave (pick: number): void {
    const call = this._calls[pick % (this._calls.length || 1)]
    if (call !== undefined) {
      call.gone = true
      this._feed(call, { type: 'callerGone' })
    }
  }

  private _crash (pick: number): void {
    const node = NODES[pick % NODES.length] as string
    this._crashes += 1
    this._calls = this._calls.filter((call) => call.node !== node)
    this._incarnations.set(node, (this._incarnations.get(node) as number) + 1)
  }

  /** The next leader starts from a snapshot in the middle of the log, with another monotonic clock. */
  private _changeLeader (pick: number): void {
    const cut = pick % (this._log.length + 1)
    const earlier = this._mechanisms.ledger()
    this._log.slice(0, cut).forEach((entry) => earlier.apply(entry.command, entry.atMs))
    const next = this._mechanisms.ledger()
    next.restore(structuredClone(this._mechanisms.snapshot(earlier.snapshot())))
    this._log.slice(cut).forEach((entry) => next.apply(entry.command, entry.atMs))
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
        this._upstream(0)
      }
      this._pass(100)
    }
    if (this._calls.some((call) => !call.done)) {
      throw new Error('a call is never done')
    }
    if (this._calls.some((call) => call.ran && !call.gone && call.told === undefined)) {
      throw new Error('a caller was told nothing')
    }
  }

  /** A key that nobody ran and nobody may still run can be run by the next caller. */
  private _checkFreeKeys (): void {
    for (const key of KEYS) {
      if (this._runs.has(key) || this._doubtful.has(key) || this._crashes > 0) {
        continue
      }
      const call = this._call(0, key)
      this._deliver(0, false)
      this._deliver(0, false)
      if (call.plan === undefined) {
        throw new Error('a free key was refused')
      }
    }
  }
}

const steps = fc.array(fc.tuple(fc.nat(13), fc.nat(9_999)), { maxLength: STEPS, size: 'max' })

/**
 * Returns the property that no schedule breaks a promise.
 * @param mechanisms The parts, or parts without a mechanism.
 */
export function permitsHold (mechanisms: PermitMechanisms = SOUND_PERMITS) {
  return fc.property(steps, (schedule) => new PermitWorld(mechanisms).run(schedule))
}
