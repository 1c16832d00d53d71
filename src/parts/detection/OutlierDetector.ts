import type { InstanceId, Part } from '../Types.js'
import type { AttemptOutcome } from '../choice/Types.js'
import {
  EJECT_BASE_MS, EJECT_FAILURES_IN_A_ROW, EJECT_FAILURE_SHARE, EJECT_MAX_MS, EJECT_MAX_SHARE, EJECT_MIN_ATTEMPTS,
  EJECT_RESET_MS, EJECT_SHARE_ABOVE_SERVICE, FAILURE_EWMA_WEIGHT, SILENT_EXPECTED_LATENCIES, SILENT_MIN_MS, SLOW_RATIO,
  TRIAL_SUCCESSES
} from './Constants.js'
import { SlownessEstimate } from './SlownessEstimate.js'
import type { DetectionAction, DetectionEvent, Health } from './Types.js'

type EventOf<T extends DetectionEvent['type']> = Extract<DetectionEvent, { type: T }>
type Handlers = { readonly [T in DetectionEvent['type']]: (event: EventOf<T>, nowMs: number) => DetectionAction[] }

/** Health record of one instance. The chooser reads it and feeds `slowness`; only the detector changes the rest. */
export interface HealthRecord {
  readonly instance: InstanceId
  readonly slowness: SlownessEstimate
  health: Health
  linkUp: boolean
  /** Attempts without an outcome so far. */
  outstanding: number
  /** Time since which calls have been outstanding without an answer. */
  waitingSinceMs: number
  /** Time without an answer that is usual for the outstanding calls, in milliseconds. */
  silentAfterMs: number
  /** Attempts with a success or failure since the instance joined or was restored. */
  attempts: number
  /** Moving average of the share of failed attempts, 0 to 1. */
  failureShare: number
  failuresInARow: number
  lastFailureMs: number
  /** Ejections since the last reset; each doubles the duration of the next one, up to `EJECT_MAX_MS`. */
  ejections: number
  ejectedUntilMs: number
  /** Successful attempts of the current trial. */
  trialSuccesses: number
}

/** Effect of an outcome on the health of the instance; a cancelled or refused attempt has none. */
const OUTCOME_EFFECTS: Readonly<Record<AttemptOutcome, 'good' | 'bad' | 'none'>> = {
  ok: 'good',
  error: 'bad',
  unreachable: 'bad',
  refused: 'none',
  cancelled: 'none'
}

/**
 * Outlier ejection for the instances of one service: distinguishes slow, failing, silent and disconnected instances.
 * Failing and silent ones are ejected for a time that doubles, at most half of the service at once, and return through
 * a trial. A slow one is not ejected: its slowness in `HealthRecord` makes the chooser prefer others.
 * Memory: one record for each instance.
 */
export class OutlierDetector implements Part<DetectionEvent, DetectionAction> {
  private readonly _byInstance = new Map<InstanceId, HealthRecord>()
  private readonly _handlers: Handlers = {
    members: event => this._onMembers(event),
    started: (event, nowMs) => this._onStarted(event, nowMs),
    outcome: (event, nowMs) => this._onOutcome(event, nowMs),
    linkDown: event => this._setLink(event.instance, false),
    linkUp: event => this._setLink(event.instance, true),
    tick: (_event, nowMs) => this._onTick(nowMs)
  }

  private _ejectedCount = 0
  private _serviceFailureShare = 0

  /**
   * Handles one event.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: DetectionEvent, nowMs: number): DetectionAction[] {
    const handler = this._handlers[event.type] as (event: DetectionEvent, nowMs: number) => DetectionAction[]
    return handler(event, nowMs)
  }

  /**
   * Returns the record of an instance, which later events update, or undefined for an unknown instance.
   * @param instance Instance to look up.
   */
  public vitals (instance: InstanceId): HealthRecord | undefined {
    return this._byInstance.get(instance)
  }

  /**
   * Returns the current health, `gone` for an unknown instance. `slow` is computed here and not stored in the record.
   * @param instance Instance to look up.
   * @param nowMs Monotonic time in milliseconds.
   */
  public health (instance: InstanceId, nowMs: number): Health {
    const vitals = this._byInstance.get(instance)
    if (vitals === undefined || !vitals.linkUp) {
      return 'gone'
    }
    if (vitals.health === 'healthy' && vitals.slowness.ratio(nowMs) > SLOW_RATIO) {
      return 'slow'
    }
    return vitals.health
  }

  /** Returns the number of ejected instances. */
  public ejected (): number {
    return this._ejectedCount
  }

  private _onMembers (event: EventOf<'members'>): DetectionAction[] {
    const members = new Set(event.instances)
    for (const [instance, vitals] of this._byInstance) {
      if (!members.has(instance)) {
        this._remove(vitals)
      }
    }
    for (const instance of event.instances) {
      if (!this._byInstance.has(instance)) {
        this._byInstance.set(instance, createHealthRecord(instance))
      }
    }
    return []
  }

  private _remove (vitals: HealthRecord): void {
    this._byInstance.delete(vitals.instance)
    if (isEjected(vitals)) {
      this._ejectedCount -= 1
    }
  }

  private _onStarted (event: EventOf<'started'>, nowMs: number): DetectionAction[] {
    const vitals = this._byInstance.get(event.instance)
    if (vitals === undefined) {
      return []
    }
    if (vitals.outstanding === 0) {
      vitals.waitingSinceMs = nowMs
      vitals.silentAfterMs = SILENT_MIN_MS
    }
    vitals.outstanding += 1
    vitals.silentAfterMs = Math.max(vitals.silentAfterMs, SILENT_EXPECTED_LATENCIES * (event.expectedMs ?? 0))
    return []
  }

  private _onOutcome (event: EventOf<'outcome'>, nowMs: number): DetectionAction[] {
    const vitals = this._byInstance.get(event.instance)
    if (vitals === undefined) {
      return []
    }
    vitals.outstanding = Math.max(0, vitals.outstanding - 1)
    if (event.outcome !== 'cancelled' && event.outcome !== 'unreachable') {
      vitals.waitingSinceMs = nowMs
    }
    const effect = OUTCOME_EFFECTS[event.outcome]
    if (effect === 'none') {
      return []
    }
    return effect === 'good' ? this._recordSuccess(vitals, nowMs) : this._recordFailure(vitals, nowMs)
  }

  private _recordSuccess (vitals: HealthRecord, nowMs: number): DetectionAction[] {
    this._updateFailureShares(vitals, 0)
    vitals.failuresInARow = 0
    if (vitals.health === 'healthy') {
      return []
    }
    if (vitals.health === 'silent') {
      this._ejectedCount -= 1
      return this._restore(vitals, nowMs)
    }
    if (isEjected(vitals)) {
      // An answer to a call that was sent before the ejection does not undo the failures after it.
      return []
    }
    vitals.trialSuccesses += 1
    return vitals.trialSuccesses >= TRIAL_SUCCESSES ? this._restore(vitals, nowMs) : []
  }

  private _recordFailure (vitals: HealthRecord, nowMs: number): DetectionAction[] {
    this._updateFailureShares(vitals, 1)
    vitals.failuresInARow += 1
    vitals.lastFailureMs = nowMs
    if (vitals.health === 'trial') {
      return this._eject(vitals, 'failing', nowMs)
    }
    if (vitals.health === 'healthy' && this._failsMoreThanService(vitals)) {
      return this._eject(vitals, 'failing', nowMs)
    }
    return []
  }

  private _updateFailureShares (vitals: HealthRecord, failed: 0 | 1): void {
    vitals.attempts += 1
    vitals.failureShare += FAILURE_EWMA_WEIGHT * (failed - vitals.failureShare)
    const serviceWeight = FAILURE_EWMA_WEIGHT / Math.max(1, this._byInstance.size)
    this._serviceFailureShare += serviceWeight * (failed - this._serviceFailureShare)
  }

  /** Returns whether the instance fails so much more than its service that it must be ejected. */
  private _failsMoreThanService (vitals: HealthRecord): boolean {
    // No failure share can exceed that of the service by enough: the cause is not this instance alone.
    if (this._serviceFailureShare > 1 - EJECT_SHARE_ABOVE_SERVICE) {
      return false
    }
    if (vitals.failuresInARow >= EJECT_FAILURES_IN_A_ROW) {
      return true
    }
    const limit = Math.max(EJECT_FAILURE_SHARE, this._serviceFailureShare + EJECT_SHARE_ABOVE_SERVICE)
    return vitals.attempts >= EJECT_MIN_ATTEMPTS && vitals.failureShare > limit
  }

  private _setLink (instance: InstanceId, up: boolean): DetectionAction[] {
    const vitals = this._byInstance.get(instance)
    if (vitals !== undefined) {
      vitals.linkUp = up
    }
    return []
  }

  private _onTick (nowMs: number): DetectionAction[] {
    const actions: DetectionAction[] = []
    for (const vitals of this._byInstance.values()) {
      actions.push(...this._checkMember(vitals, nowMs))
    }
    return actions
  }

  private _checkMember (vitals: HealthRecord, nowMs: number): DetectionAction[] {
    if (isEjected(vitals)) {
      return nowMs >= vitals.ejectedUntilMs ? this._startTrial(vitals, nowMs) : []
    }
    if (vitals.outstanding > 0 && nowMs - vitals.waitingSinceMs > vitals.silentAfterMs) {
      return this._eject(vitals, 'silent', nowMs)
    }
    if (vitals.ejections > 0 && nowMs - vitals.lastFailureMs > EJECT_RESET_MS) {
      vitals.ejections = 0
    }
    return []
  }

  private _eject (vitals: HealthRecord, health: Health, nowMs: number): DetectionAction[] {
    const limit = Math.floor(this._byInstance.size * EJECT_MAX_SHARE)
    if (this._ejectedCount >= limit) {
      return []
    }
    this._ejectedCount += 1
    vitals.health = health
    vitals.lastFailureMs = nowMs
    vitals.ejectedUntilMs = nowMs + Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** vitals.ejections)
    vitals.ejections += 1
    return [{ type: 'ejected', instance: vitals.instance, health, untilMs: vitals.ejectedUntilMs }]
  }

  private _startTrial (vitals: HealthRecord, nowMs: number): DetectionAction[] {
    this._ejectedCount -= 1
    vitals.health = 'trial'
    vitals.trialSuccesses = 0
    vitals.waitingSinceMs = nowMs
    return [{ type: 'trial', instance: vitals.instance }]
  }

  private _restore (vitals: HealthRecord, nowMs: number): DetectionAction[] {
    vitals.health = 'healthy'
    vitals.attempts = 0
    vitals.failureShare = 0
    vitals.waitingSinceMs = nowMs
    return [{ type: 'restored', instance: vitals.instance }]
  }
}

/**
 * Returns true while an instance is ejected, and false during its trial.
 * @param vitals Record of the instance.
 */
export function isEjected (vitals: HealthRecord): boolean {
  return vitals.health === 'failing' || vitals.health === 'silent'
}

function createHealthRecord (instance: InstanceId): HealthRecord {
  return {
    instance,
    slowness: new SlownessEstimate(),
    health: 'healthy',
    linkUp: true,
    outstanding: 0,
    waitingSinceMs: 0,
    silentAfterMs: SILENT_MIN_MS,
    attempts: 0,
    failureShare: 0,
    failuresInARow: 0,
    lastFailureMs: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    trialSuccesses: 0
  }
}
