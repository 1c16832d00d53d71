import type { AdmissionAction, AdmissionEvent, RunOutcome } from '../../src/parts/admission/Types.js'
import type { CallId, CallKind, Part, Reason } from '../../src/parts/Types.js'
import type { EventQueue } from './EventQueue.js'

/** Receives the admission decision on a call. */
export interface AdmissionListener {
  readonly started: (call: CallId) => void
  readonly refused: (reason: Reason, retryAfterMs: number) => void
}

/** One upstream with the admission controller of its node, on a virtual clock. */
export class Instance {
  private readonly _clock: EventQueue
  private readonly _admission: Part<AdmissionEvent, AdmissionAction>
  private readonly _listeners = new Map<CallId, AdmissionListener>()
  private readonly _startedAtMs = new Map<CallId, number>()
  private _nextCall: CallId = 0

  /**
   * @param clock Virtual clock.
   * @param admission Decides which calls start, wait or are refused.
   */
  public constructor (clock: EventQueue, admission: Part<AdmissionEvent, AdmissionAction>) {
    this._clock = clock
    this._admission = admission
  }

  /**
   * Passes a call to admission and returns its id at this instance.
   * @param kind Kind of work.
   * @param deadlineAtMs Virtual time at which the caller stops waiting.
   * @param listener Receives its start or refusal.
   */
  public arrive (kind: CallKind, deadlineAtMs: number, listener: AdmissionListener): CallId {
    const call = this._nextCall++
    this._listeners.set(call, listener)
    this._send({ type: 'arrive', call, kind, deadlineAtMs })
    return call
  }

  /**
   * Ends a started call.
   * @param call Id returned by `arrive`.
   * @param outcome Result of the call.
   */
  public finish (call: CallId, outcome: RunOutcome): void {
    const serviceMs = this._clock.nowMs - (this._startedAtMs.get(call) ?? this._clock.nowMs)
    this._startedAtMs.delete(call)
    this._send({ type: 'finish', call, outcome, serviceMs })
  }

  /** @param call Id of a call whose result is no longer needed. */
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
