import fc from 'fast-check'
import { GroupClock } from '../../src/parts/records/GroupClock.js'
import { IdempotencyLedger } from '../../src/parts/records/IdempotencyLedger.js'
import { RunPermit } from '../../src/parts/records/RunPermit.js'
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
  permit: (request) => new RunPermit(request, { recordForMs: 10_000 }),
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
  private readonly mechanisms: PermitMechanisms
  private nowMs = 0
  private offsetMs = 0
  private clock = new GroupClock()
  private ledger: IdempotencyLedger
  private log: Array<{ readonly command: RecordCommand, readonly atMs: number }> = []
  private network: Message[] = []
  private calls: Call[] = []
  private incarnations = new Map(NODES.map((node) => [node, 1]))
  private runs = new Map<string, { readonly atMs: number, readonly answer: StoredAnswer }>()
  private serial = 0
  private crashes = 0
  private doubtful = new Set<string>()

  private readonly kinds: ReadonlyArray<(pick: number) => void> = [
    (pick) => this.call(pick, KEYS[pick % KEYS.length] as string),
    (pick) => this.call(pick, KEYS[0] as string),
    (pick) => this.deliver(pick, false),
    (pick) => this.deliver(pick, false),
    (pick) => this.deliver(pick, false),
    (pick) => this.deliver(pick, true),
    (pick) => { this.network.splice(pick % (this.network.length || 1), 1) },
    (pick) => this.upstream(pick),
    (pick) => this.upstream(pick),
    (pick) => this.pass(pick % 400),
    (pick) => this.pass(pick % 20 === 0 ? HORIZON_MS / 4 : 50),
    (pick) => this.crash(pick),
    (pick) => this.changeLeader(pick),
    (pick) => this.leave(pick)
  ]

  /**
   * @param mechanisms The parts, or parts without a mechanism.
   */
  public constructor (mechanisms: PermitMechanisms) {
    this.mechanisms = mechanisms
    this.ledger = mechanisms.ledger()
  }

  /**
   * Runs a schedule, settles and throws at the first broken promise.
   * @param steps Kind and choice of each step.
   */
  public run (steps: readonly PermitStep[]): void {
    for (const [kind, pick] of steps) {
      const act = this.kinds[kind % this.kinds.length] as (pick: number) => void
      act(pick)
    }
    this.settle()
    this.checkFreeKeys()
  }

  private call (pick: number, key: string): Call {
    const node = NODES[Math.floor(pick / 7) % NODES.length] as string
    this.serial += 1
    const permit = this.mechanisms.permit({
      record: { service: 's', key },
      fingerprint: key,
      holder: { node, incarnation: this.incarnations.get(node) as number, call: this.serial },
      deadlineAtMs: this.nowMs + 150 + pick % 700,
      runForMs: RUN_FOR_MS
    })
    const started = { told: undefined, plan: undefined, atUpstream: false, ran: false, gone: false, done: false }
    const call: Call = { permit, node, key, ...started }
    this.calls.push(call)
    this.feed(call, { type: 'start' })
    return call
  }

  private feed (call: Call, event: PermitEvent): void {
    for (const action of call.permit.step(event, this.nowMs)) {
      this.act(call, action)
    }
    if (call.told?.type === 'refuse' && call.told.disposition === 'not-run' && call.ran) {
      throw new Error('not-run was said of a call that ran')
    }
  }

  private act (call: Call, action: PermitAction): void {
    if (action.type === 'send') {
      if (action.command.type === 'lose') {
        this.doubtful.add(call.key)
      }
      this.network.push({ type: 'command', call, sequence: action.sequence, command: action.command })
    } else if (action.type === 'dispatch') {
      this.dispatch(call)
    } else if (action.type === 'answer' || action.type === 'refuse') {
      this.tell(call, action)
    } else if (action.type === 'done') {
      call.done = true
    }
  }

  private dispatch (call: Call): void {
    if (call.plan !== undefined) {
      throw new Error('dispatched twice')
    }
    call.plan = (['answers', 'answers', 'loses', 'sheds'] as const)[(this.serial + this.nowMs) % 4] ?? 'answers'
    call.atUpstream = true
    if (call.plan === 'sheds') {
      return
    }
    const earlier = this.runs.get(call.key)
    if (earlier !== undefined && this.nowMs - earlier.atMs < HORIZON_MS) {
      throw new Error('a key ran twice')
    }
    call.ran = true
    const body = new TextEncoder().encode(`${call.key} at ${this.nowMs}`)
    this.runs.set(call.key, { atMs: this.nowMs, answer: { status: 200, headers: [], body, truncated: false } })
  }

  private tell (call: Call, action: PermitAction): void {
    if (call.told !== undefined) {
      throw new Error('told twice')
    }
    call.told = action
    if (action.type === 'answer' && action.repeated) {
      const first = this.runs.get(call.key)?.answer.body.toString()
      if (first !== action.answer.body.toString()) {
        throw new Error('a repeat got another answer')
      }
    }
  }

  private deliver (pick: number, keep: boolean): void {
    const index = pick % (this.network.length || 1)
    const message = this.network[index]
    if (message === undefined) {
      return
    }
    if (!keep) {
      this.network.splice(index, 1)
    }
    if (message.type === 'reply') {
      if (this.calls.includes(message.call)) {
        this.feed(message.call, { type: 'reply', sequence: message.sequence, reply: message.reply })
      }
      return
    }
    const atMs = this.mechanisms.stamp(this.clock, this.nowMs + this.offsetMs)
    this.log.push({ command: message.command, atMs })
    const reply = this.ledger.apply(message.command, atMs)
    this.clock.observe(atMs, this.nowMs + this.offsetMs)
    this.network.push({ type: 'reply', call: message.call, sequence: message.sequence, reply })
  }

  private upstream (pick: number): void {
    const busy = this.calls.filter((call) => call.atUpstream)
    const call = busy[pick % (busy.length || 1)]
    if (call === undefined) {
      return
    }
    call.atUpstream = false
    if (call.plan === 'answers') {
      const run = this.runs.get(call.key)
      this.feed(call, { type: 'answered', answer: run?.answer as StoredAnswer })
    } else if (call.plan === 'loses') {
      this.feed(call, { type: 'upstreamLost' })
    } else {
      this.feed(call, { type: 'notRun', reason: 'shedding', retryAfterMs: 10 })
    }
  }

  private pass (ms: number): void {
    this.nowMs += ms
    for (const call of this.calls) {
      this.feed(call, { type: 'tick' })
    }
  }

  private leave (pick: number): void {
    const call = this.calls[pick % (this.calls.length || 1)]
    if (call !== undefined) {
      call.gone = true
      this.feed(call, { type: 'callerGone' })
    }
  }

  private crash (pick: number): void {
    const node = NODES[pick % NODES.length] as string
    this.crashes += 1
    this.calls = this.calls.filter((call) => call.node !== node)
    this.incarnations.set(node, (this.incarnations.get(node) as number) + 1)
  }

  /** The next leader starts from a snapshot in the middle of the log, with another monotonic clock. */
  private changeLeader (pick: number): void {
    const cut = pick % (this.log.length + 1)
    const earlier = this.mechanisms.ledger()
    this.log.slice(0, cut).forEach((entry) => earlier.apply(entry.command, entry.atMs))
    const next = this.mechanisms.ledger()
    next.restore(structuredClone(this.mechanisms.snapshot(earlier.snapshot())))
    this.log.slice(cut).forEach((entry) => next.apply(entry.command, entry.atMs))
    this.ledger = next
    this.offsetMs = (pick * 7_919) % 1_000_000
    this.clock = new GroupClock()
    this.clock.observe(this.log.at(-1)?.atMs ?? 0, this.nowMs + this.offsetMs)
  }

  private settle (): void {
    for (let round = 0; round < 40; round += 1) {
      while (this.network.length > 0) {
        this.deliver(0, false)
      }
      while (this.calls.some((call) => call.atUpstream)) {
        this.upstream(0)
      }
      this.pass(100)
    }
    if (this.calls.some((call) => !call.done)) {
      throw new Error('a call is never done')
    }
    if (this.calls.some((call) => call.ran && !call.gone && call.told === undefined)) {
      throw new Error('a caller was told nothing')
    }
  }

  /** A key that nobody ran and nobody may still run can be run by the next caller. */
  private checkFreeKeys (): void {
    for (const key of KEYS) {
      if (this.runs.has(key) || this.doubtful.has(key) || this.crashes > 0) {
        continue
      }
      const call = this.call(0, key)
      this.deliver(0, false)
      this.deliver(0, false)
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
