import type { AdmissionAction, AdmissionEvent, RunOutcome } from '../../src/parts/admission/Types.js'
import type { CallId, CallKind, Part, Reason } from '../../src/parts/Types.js'
import type { EventQueue } from './EventQueue.js'

/** What a call that came to an instance wants to hear. */
export interface AdmissionListener {
  readonly started: (call: CallId) => void
  readonly refused: (reason: Reason, retryAfterMs: number) => void
}

/** One upstream with the admission of its node, on virtual time. */
export class Instance {
  private readonly _clock: EventQueue
  private readonly _admission: Part<AdmissionEvent, AdmissionAction>
  private readonly _listeners = new Map<CallId, AdmissionListener>()
  private readonly _startedAtMs = new Map<CallId, number>()
  private _nextCall: CallId = 0

  /**
   * @param clock Virtual time.
   * @param admission Decides which calls start.
   */
  public constructor (clock: EventQueue, admission: Part<AdmissionEvent, AdmissionAction>) {
    this._clock = clock
    this._admission = admission
  }

  /**
   * Brings a call and returns its number here.
   * @param kind Kind of work.
   * @param deadlineAtMs When nobody waits for it any more.
   * @param listener Hears of its start or refusal.
   */
  public arrive (kind: CallKind, deadlineAtMs: number, listener: AdmissionListener): CallId {
    const call = this._nextCall++
    this._listeners.set(call, listener)
    this._send({ type: 'arrive', call, kind, deadlineAtMs })
    return call
  }

  /**
   * Ends a started call.
   * @param call Its number here.
   * @param outcome How it ended.
   */
  public finish (call: CallId, outcome: RunOutcome): void {
    const serviceMs = this._clock.nowMs - (this._startedAtMs.get(call) ?? this._clock.nowMs)
    this._startedAtMs.delete(call)
    this._send({ type: 'finish', call, outcome, serviceMs })
  }

  /** @param call Number of a call that nobody waits for any more. */
  public cancel (call: CallId): void {
    this._send({ type: 'cancel', call })
  }

  private _send (event: AdmissionEvent): void {
    for (const action of this._admission.step(event, this._clock.nowMs)) {
      this._apply(action)
    }
  }

  private _apply (action: AdmissionAction): void {
    if (action.type === 'wake') {
      this._clock.at(action.atMs, () => this._send({ type: 'tick' }))
      return
    }
    if (action.type === 'drained') {
      return
    }
    const listener = this._listeners.get(action.call)
    this._listeners.delete(action.call)
    if (action.type === 'start') {
      this._startedAtMs.set(action.call, this._clock.nowMs)
      listener?.started(action.call)
    } else {
      listener?.refused(action.reason, action.retryAfterMs)
    }
  }
}
