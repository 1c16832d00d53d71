import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import type { CallId, CallKind, Part, Random } from '../Types.js'
import { AdmissionController } from './AdmissionController.js'
import { ADMISSION_DEFAULTS } from './Constants.js'
import type { AdmissionAction, AdmissionEvent, AdmissionOptions, AdmissionView, RunOutcome } from './Types.js'

type Controller = Part<AdmissionEvent, AdmissionAction> & AdmissionView

/** Short enough that many calls of a random run wait this long. */
const QUEUE_DELAY_MS = 20

/** One step of a random run. `pick` selects one of the calls in question by its remainder. */
type Command =
  | { readonly do: 'arrive', readonly kind: CallKind, readonly deadlineMs: number }
  | { readonly do: 'finish', readonly pick: number, readonly outcome: RunOutcome }
  | { readonly do: 'cancel', readonly pick: number }
  | { readonly do: 'drain' | 'resume' }
  | { readonly do: 'capacity', readonly slots: number }
  | { readonly do: 'advance', readonly byMs: number }

interface HostCall {
  readonly kind: CallKind
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  state: 'queued' | 'running' | 'refused' | 'finished'
  startedAtMs: number
}

const commandArbitrary: fc.Arbitrary<Command> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ do: fc.constant('arrive' as const), kind: fc.constantFrom<CallKind>('lookup', 'lookup', 'guarded', 'download'), deadlineMs: fc.integer({ min: 0, max: 600 }) }) },
  { weight: 5, arbitrary: fc.record({ do: fc.constant('finish' as const), pick: fc.nat(99), outcome: fc.constantFrom<RunOutcome>('ok', 'ok', 'ok', 'error', 'shed', 'lost') }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cancel' as const), pick: fc.nat(99) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constantFrom('drain' as const, 'resume' as const, 'resume' as const) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('capacity' as const), slots: fc.integer({ min: 0, max: 9 }) }) },
  { weight: 6, arbitrary: fc.record({ do: fc.constant('advance' as const), byMs: fc.double({ min: 0, max: 40, noNaN: true }) }) }
)

/** Drives a controller as a node does and checks the invariants after each step. */
class CheckedHost {
  public readonly calls = new Map<CallId, HostCall>()
  private readonly _part: Controller
  private _nowMs = 0
  private _slots: number
  private _isDraining = false
  private _drainedCount = 0
  private readonly _wakeTimesMs: number[] = []

  public constructor (part: Controller, slots: number) {
    this._part = part
    this._slots = slots
  }

  public run (commands: readonly Command[]): void {
    for (const next of commands) {
      this._runCommand(next)
    }
    this._finishAll()
  }

  private _runCommand (next: Command): void {
    const idsInState = (state: HostCall['state']): CallId[] =>
      [...this.calls].filter(([, call]) => call.state === state).map(([id]) => id)
    if (next.do === 'arrive') {
      this._arrive(next.kind, next.deadlineMs)
    } else if (next.do === 'finish') {
      const running = idsInState('running')
      this._finish(running[next.pick % running.length], next.outcome)
    } else if (next.do === 'cancel') {
      this._cancel(next.pick)
    } else if (next.do === 'capacity') {
      this._slots = next.slots
      this._step({ type: 'capacity', slots: next.slots })
    } else if (next.do === 'advance') {
      this._advance(next.byMs)
    } else {
      this._setDraining(next.do === 'drain')
    }
  }

  private _setDraining (draining: boolean): void {
    this._isDraining = draining
    this._drainedCount = 0
    this._step({ type: draining ? 'drain' : 'resume' })
  }

  private _arrive (kind: CallKind, deadlineMs: number): void {
    const call = this.calls.size
    const deadlineAtMs = this._nowMs + deadlineMs
    this.calls.set(call, { kind, arrivedAtMs: this._nowMs, deadlineAtMs, state: 'queued', startedAtMs: 0 })
    this._step({ type: 'arrive', call, kind, deadlineAtMs })
  }

  private _finish (id: CallId | undefined, outcome: RunOutcome): void {
    const call = id === undefined ? undefined : this.calls.get(id)
    if (id !== undefined && call !== undefined) {
      call.state = 'finished'
      this._step({ type: 'finish', call: id, outcome, serviceMs: this._nowMs - call.startedAtMs })
    }
  }

  private _cancel (pick: number): void {
    if (this.calls.size > 0) {
      this._step({ type: 'cancel', call: pick % this.calls.size })
    }
  }

  private _advance (byMs: number): void {
    const untilMs = this._nowMs + byMs
    let wake = this._earliestWake()
    while (wake !== undefined && wake <= untilMs) {
      this._wakeTimesMs.splice(this._wakeTimesMs.indexOf(wake), 1)
      this._nowMs = Math.max(this._nowMs, wake)
      this._step({ type: 'tick' })
      wake = this._earliestWake()
    }
    this._nowMs = untilMs
  }

  private _earliestWake (): number | undefined {
    return this._wakeTimesMs.length === 0 ? undefined : Math.min(...this._wakeTimesMs)
  }

  private _finishAll (): void {
    this._setDraining(true)
    for (const [id, call] of this.calls) {
      if (call.state === 'running') {
        this._finish(id, 'ok')
      }
    }
    expect(this._count('queued') + this._count('running'), 'every call ended').toBe(0)
    expect(this._drainedCount, 'drained reported').toBe(1)
  }

  private _count (state: HostCall['state'], kind?: CallKind): number {
    return [...this.calls.values()].filter(call => call.state === state && (kind ?? call.kind) === call.kind).length
  }

  private _step (event: AdmissionEvent): void {
    for (const action of this._part.step(event, this._nowMs)) {
      this._apply(action)
    }
    const isOverdue = [...this.calls.values()].some(call => call.state === 'queued' && call.deadlineAtMs < this._nowMs)
    expect(isOverdue && event.type === 'tick', 'overdue call refused by the tick').toBe(false)
    expect(this._isDraining && this._count('queued') > 0, 'no queued call in a drain').toBe(false)
    const { inFlight, queued, limit } = this._part.evidence()
    expect({ inFlight, queued }, 'evidence').toEqual({ inFlight: this._count('running'), queued: this._count('queued') })
    const isSlotUnused = limit > inFlight && this._count('queued') > this._count('queued', 'download')
    expect(isSlotUnused, 'no unused slot beside queued lookups').toBe(false)
    expect(this._count('queued'), 'queue bounded').toBeLessThanOrEqual(ADMISSION_DEFAULTS.maxQueued)
  }

  private _apply (action: AdmissionAction): void {
    if (action.type === 'wake') {
      this._wakeTimesMs.push(action.atMs)
    } else if (action.type === 'drained') {
      this._drainedCount++
      expect(this._isDraining && this._count('running') === 0 && this._drainedCount === 1, 'drained reported once').toBe(true)
    } else if (action.type === 'start') {
      this._onStart(action.call)
    } else {
      const call = this.calls.get(action.call) as HostCall
      expect(call.state, 'refused calls were not run').toBe('queued')
      call.state = 'refused'
    }
  }

  private _onStart (id: CallId): void {
    const call = this.calls.get(id) as HostCall
    expect(call.state, 'started once').toBe('queued')
    expect(this._isDraining, 'no start in a drain').toBe(false)
    call.state = 'running'
    call.startedAtMs = this._nowMs
    expect(this._count('running'), 'within slots').toBeLessThanOrEqual(this._slots)
    expect(this._nowMs, 'started before its deadline').toBeLessThan(call.deadlineAtMs)
    const allowedMs = call.kind === 'download' ? ADMISSION_DEFAULTS.maxDownloadQueueDelayMs : QUEUE_DELAY_MS
    expect(this._nowMs - call.arrivedAtMs, 'queue delay').toBeLessThanOrEqual(allowedMs)
    if (call.kind === 'download' && this._slots > 1) {
      expect(this._count('running', 'download'), 'slot kept for lookups').toBeLessThan(this._slots)
    }
  }
}

/** Wraps a controller so that one of its mechanisms fails. */
type Fault = (inner: Controller) => Controller

/** Changes events before the controller receives them, which disables the mechanism that depends on them. */
function withChangedEvents (change: (event: AdmissionEvent) => AdmissionEvent): Fault {
  return inner => ({ step: (event, nowMs) => inner.step(change(event), nowMs), evidence: () => inner.evidence() })
}

function assertInvariants (fault: Fault, options: Partial<AdmissionOptions> = {}): void {
  fc.assert(fc.property(
    fc.array(commandArbitrary, { minLength: 20, maxLength: 120 }), fc.integer(), (commands, seed) => {
      const testOptions = { slots: 4, maxQueueDelayMs: QUEUE_DELAY_MS, ...options }
      const part = fault(new AdmissionController(new SeededRandom(seed), testOptions))
      new CheckedHost(part, 4).run(commands)
    }
  ), { seed: 5011, numRuns: 150, endOnFailure: true })
}

interface FaultCase {
  readonly fault: Fault
  readonly options?: Partial<AdmissionOptions>
  /** Text of the check that must fail. */
  readonly expectedFailure: string
}

const FAULTS: Readonly<Record<string, FaultCase>> = {
  'one slot too many': {
    fault: withChangedEvents(event => event.type === 'capacity' ? { ...event, slots: event.slots + 1 } : event),
    expectedFailure: 'within slots'
  },
  'deadline ignored': {
    fault: withChangedEvents(event => event.type === 'arrive' ? { ...event, deadlineAtMs: Infinity } : event),
    expectedFailure: 'before its deadline'
  },
  'downloads treated as lookups': {
    fault: withChangedEvents(event => event.type === 'arrive' ? { ...event, kind: 'lookup' } : event),
    expectedFailure: 'slot kept for lookups'
  },
  'drain ignored': {
    fault: withChangedEvents(event => event.type === 'drain' ? { type: 'tick' } : event),
    expectedFailure: 'drain'
  },
  'slot of a lost call not released': {
    fault: withChangedEvents(event => event.type === 'finish' && event.outcome === 'lost' ? { type: 'tick' } : event),
    expectedFailure: 'evidence'
  },
  'running call refused': {
    fault: inner => ({
      step: (event, nowMs) => event.type === 'cancel'
        ? [{ type: 'refuse', call: event.call, reason: 'cancelled', retryAfterMs: 0 }]
        : inner.step(event, nowMs),
      evidence: () => inner.evidence()
    }),
    expectedFailure: 'refused calls were not run'
  },
  'start not reported': {
    fault: inner => ({
      step: (event, nowMs) => inner.step(event, nowMs).filter(({ type }) => type !== 'start' || event.type !== 'finish'),
      evidence: () => inner.evidence()
    }),
    expectedFailure: 'evidence'
  },
  'released slot not used': {
    fault: inner => Object.assign(inner, { _startQueued: () => {} }),
    expectedFailure: 'no unused slot beside queued lookups'
  },
  'queue delay not bounded': {
    fault: inner => inner,
    options: { queueDelayServiceTimes: 1000, maxQueueDelayMs: 10_000 },
    expectedFailure: 'queue delay'
  }
}

test('every call ends exactly once, within slots, queue delay, deadline and drain', () => {
  assertInvariants(inner => inner)
})

// Each fault disables one mechanism, which shows that the invariants would catch its loss.
test.each(Object.entries(FAULTS))('the invariants catch the fault: %s', (_name, { fault, options, expectedFailure }) => {
  expect(findFailure(() => assertInvariants(fault, options))).toContain(expectedFailure)
})

function findFailure (check: () => void): string {
  try {
    check()
    return 'held'
  } catch (error) {
    return String((error as Error).cause)
  }
}

function controller (slots: number): AdmissionController {
  return new AdmissionController(new SeededRandom(1), { slots })
}

function arrive (call: CallId, kind: CallKind, deadlineAtMs = 10_000): AdmissionEvent {
  return { type: 'arrive', call, kind, deadlineAtMs }
}

test('a lookup starts while downloads hold all slots that they may use', () => {
  const part = controller(6)
  for (let call = 1; call <= 20; call++) {
    part.step(arrive(call, 'download'), 0)
  }
  expect(part.evidence().inFlight).toBe(3)
  expect(part.step(arrive(21, 'lookup'), 1)).toEqual([{ type: 'start', call: 21 }])
})

test('lookups do not starve a download', () => {
  const part = controller(2)
  part.step(arrive(1, 'lookup'), 0)
  part.step(arrive(2, 'lookup'), 0)
  part.step(arrive(3, 'download'), 1)
  part.step(arrive(4, 'lookup'), 2)
  const actions = part.step({ type: 'finish', call: 1, outcome: 'ok', serviceMs: 3 }, 3)
  expect(actions).toContainEqual({ type: 'start', call: 3 })
})

test('shed calls lower the limit and successful calls raise it again', () => {
  const part = controller(6)
  for (let call = 1; call <= 6; call++) {
    part.step(arrive(call, 'lookup'), 0)
  }
  part.step({ type: 'finish', call: 1, outcome: 'shed', serviceMs: 1 }, 1)
  part.step({ type: 'finish', call: 2, outcome: 'shed', serviceMs: 1 }, 1)
  expect(part.evidence().limit).toBe(4)
  for (let call = 3; call <= 40; call++) {
    part.step(arrive(call + 4, 'lookup'), call)
    part.step({ type: 'finish', call, outcome: 'ok', serviceMs: 1 }, call)
  }
  expect(part.evidence().limit).toBe(6)
})

/** Sends 600 lookups at once and returns the largest number of callers that retry within the same 10 ms. */
function maxRetriesPerTenMs (random: Random): number {
  const part = new AdmissionController(random, { slots: 6 })
  const retriesPerTenMs = new Map<number, number>()
  for (let call = 1; call <= 600; call++) {
    for (const action of part.step(arrive(call, 'lookup'), 0)) {
      const bucket = action.type === 'refuse' ? Math.floor(action.retryAfterMs / 10) : -1
      retriesPerTenMs.set(bucket, (retriesPerTenMs.get(bucket) ?? 0) + 1)
    }
  }
  retriesPerTenMs.delete(-1)
  return Math.max(...retriesPerTenMs.values())
}

test('callers refused at the same time retry at different times', () => {
  // 6 slots at 5 ms serve 12 calls in 10 ms; no more than 5 times that may retry together.
  expect(maxRetriesPerTenMs(new SeededRandom(1))).toBeLessThanOrEqual(60)
  expect(maxRetriesPerTenMs({ next: () => 0 })).toBeGreaterThan(60)
})
