import { AdmissionController } from '../../src/parts/admission/AdmissionController.js'
import type { AdmissionAction } from '../../src/parts/admission/Types.js'
import type { AttemptOutcome, Candidate, CandidateState } from '../../src/parts/choice/Types.js'
import type { CallId, LoadEvidence, ProcessLocation, Random, Reason } from '../../src/parts/Types.js'
import { FakeUpstream } from './FakeUpstream.js'
import type { VirtualClock } from './VirtualClock.js'
import { Wakeup } from './Wakeup.js'

/** Reply of an upstream's node to an attempt. */
export interface AttemptReply {
  readonly outcome: AttemptOutcome
  readonly evidence: LoadEvidence
  readonly reason: Reason
  readonly retryAfterMs: number
}

type Reply = (reply: AttemptReply) => void

/** The upstream side of a simulated node: an admission controller in front of a simulated upstream. */
export class HostNode {
  public readonly upstream: FakeUpstream
  public state: CandidateState = 'serving'
  /** Attempts sent to this node that have not arrived yet. Only the oracle strategy may use this. */
  public inTransit = 0
  private readonly _admission: AdmissionController
  private readonly _wakeup: Wakeup
  private readonly _replies = new Map<CallId, Reply>()

  public constructor (
    private readonly _clock: VirtualClock,
    random: Random,
    public readonly index: number,
    public readonly place: ProcessLocation,
    slots: number,
    /** Slots that the upstream announces; some scenarios announce more than it has. */
    private readonly _announcedSlots: number
  ) {
    this.upstream = new FakeUpstream(_clock, random, slots)
    this._wakeup = new Wakeup(_clock, () => this._tick())
    this._admission = new AdmissionController(random)
    this._admission.step({ type: 'capacity', slots: _announcedSlots }, _clock.nowMs)
  }

  /** This instance as a candidate for the strategies. */
  public candidate (): Candidate {
    return { instance: String(this.index), place: this.place, state: this.state, slots: this._announcedSlots }
  }

  /** Current load evidence of the node. */
  public evidence (): LoadEvidence {
    return this._admission.evidence()
  }

  /**
   * Passes an attempt to the admission controller.
   * @param call Identifies the attempt.
   * @param deadlineAtMs Virtual time at which the caller stops waiting.
   * @param reply Called once with the result; never called when the instance is lost.
   */
  public receive (call: CallId, deadlineAtMs: number, reply: Reply): void {
    if (this.upstream.behaviour === 'lost') {
      return
    }
    this._replies.set(call, reply)
    this._apply(this._admission.step({ type: 'arrive', call, kind: 'lookup', deadlineAtMs }, this._clock.nowMs))
  }

  /** @param call Attempt whose result is no longer needed. */
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
