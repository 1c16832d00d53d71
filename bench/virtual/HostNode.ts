import { AdmissionController } from '../../src/parts/admission/AdmissionController.js'
import type { AdmissionAction } from '../../src/parts/admission/Types.js'
import type { AttemptOutcome, Candidate, CandidateState } from '../../src/parts/choice/Types.js'
import type { CallId, LoadEvidence, Place, Random, Reason } from '../../src/parts/Types.js'
import { FakeUpstream } from './FakeUpstream.js'
import type { VirtualClock } from './VirtualClock.js'
import { Wakeup } from './Wakeup.js'

/** What the upstream's node answers to an attempt. */
export interface AttemptReply {
  readonly outcome: AttemptOutcome
  readonly evidence: LoadEvidence
  readonly reason: Reason
  readonly retryAfterMs: number
}

type Reply = (reply: AttemptReply) => void

/** The upstream side of a node: admission in front of the fake upstream, and nothing else. */
export class HostNode {
  public readonly upstream: FakeUpstream
  public state: CandidateState = 'serving'
  /** Attempts on their way here, which only the oracle may see. */
  public inTransit = 0
  private readonly _admission: AdmissionController
  private readonly _wakeup: Wakeup
  private readonly _replies = new Map<CallId, Reply>()

  public constructor (
    private readonly _clock: VirtualClock,
    random: Random,
    public readonly index: number,
    public readonly place: Place,
    slots: number,
    /** Slots that the upstream announces; more than it has when it lies. */
    private readonly _announcedSlots: number
  ) {
    this.upstream = new FakeUpstream(_clock, random, slots)
    this._wakeup = new Wakeup(_clock, () => this._tick())
    this._admission = new AdmissionController(random)
    this._admission.step({ type: 'capacity', slots: _announcedSlots }, _clock.nowMs)
  }

  /** Entry of this instance in the list that choosers get. */
  public candidate (): Candidate {
    return { instance: String(this.index), place: this.place, state: this.state, slots: this._announcedSlots }
  }

  /** What the node knows of its load. */
  public evidence (): LoadEvidence {
    return this._admission.evidence()
  }

  /**
   * @param call Names the attempt.
   * @param deadlineAtMs When its caller gives up.
   * @param reply Called once, unless the instance is lost.
   */
  public receive (call: CallId, deadlineAtMs: number, reply: Reply): void {
    if (this.upstream.behaviour === 'lost') {
      return
    }
    this._replies.set(call, reply)
    this._apply(this._admission.step({ type: 'arrive', call, kind: 'lookup', deadlineAtMs }, this._clock.nowMs))
  }

  /** @param call Attempt that nobody waits for any more. */
  public cancel (call: CallId): void {
    this._apply(this._admission.step({ type: 'cancel', call }, this._clock.nowMs))
  }

  private _apply (actions: readonly AdmissionAction[]): void {
    for (const action of actions) {
      if (action.type === 'start') {
        this.upstream.start((ok, serviceMs) => this._onFinished(action.call, ok, serviceMs))
      } else if (action.type === 'refuse') {
        const outcome = action.reason === 'cancelled' ? 'cancelled' : 'refused'
        this._reply(action.call, outcome, action.reason, action.retryAfterMs)
      } else if (action.type === 'wake') {
        this._wakeup.schedule(action.atMs)
      }
    }
  }

  private _tick (): void {
    this._apply(this._admission.step({ type: 'tick' }, this._clock.nowMs))
  }

  private _onFinished (call: CallId, ok: boolean, serviceMs: number): void {
    const outcome = ok ? 'ok' : 'error'
    const actions = this._admission.step({ type: 'finish', call, outcome, serviceMs }, this._clock.nowMs)
    this._reply(call, outcome, 'upstream-failed', 0)
    this._apply(actions)
  }

  private _reply (call: CallId, outcome: AttemptOutcome, reason: Reason, retryAfterMs: number): void {
    const reply = this._replies.get(call)
    this._replies.delete(call)
    if (this.upstream.behaviour !== 'lost') {
      reply?.({ outcome, evidence: this.evidence(), reason, retryAfterMs })
    }
  }
}
