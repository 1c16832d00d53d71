import type { CallId, InstanceId, Part } from '../Types.js'
import {
  COMPLETED_REQUEST_SHARE, CONCURRENT_REQUEST_WEIGHT, MAX_REPORTS_KEPT, MAX_REPORTS_PER_CRASH, MAX_SUSPECTS_HANDED_ON,
  MAX_TRIALS, MIN_SUSPICION, MIN_SUSPICION_SHARE, QUARANTINE_DEFAULTS, QUARANTINE_THRESHOLD, SINGLE_CALL_THRESHOLD,
  SINGLE_REQUEST_WEIGHT, SUSPECT_RETRY_AFTER_MS, TRIAL_BACKOFF, TRIAL_DELAY_MS
} from './Constants.js'
import { ReportWindow } from './ReportWindow.js'
import type { CrashReport, Fingerprint, QuarantineAction, QuarantineEvent, QuarantineOptions } from './Types.js'

type EventOf<T extends QuarantineEvent['type']> = Extract<QuarantineEvent, { type: T }>

type Handlers = {
  readonly [T in QuarantineEvent['type']]: (event: EventOf<T>, nowMs: number, actions: QuarantineAction[]) => void
}

/** A fingerprint under suspicion or in quarantine. */
interface Suspect {
  readonly fingerprint: Fingerprint
  suspicion: number
  /** Monotonic time of the last crash in milliseconds. */
  crashedAtMs: number
  quarantined: boolean
  /** Crashes since the quarantine began. */
  crashesInQuarantine: number
  /** Monotonic time in milliseconds from which one call may run while the fingerprint is quarantined. */
  trialAtMs: number
  /** Calls running at this node that were dispatched while the fingerprint was suspect. */
  running: number
  /** Latest crash reports, for nodes that connect later. */
  reports: CrashReport[]
}

/** A call in flight at an instance. */
interface DispatchedCall {
  readonly instance: InstanceId
  readonly fingerprint: Fingerprint
  /** Suspect whose `running` includes this call. */
  readonly suspect: Suspect | undefined
  /** True when its end tells something: it was sent before a quarantine of its fingerprint, or as a trial. */
  readonly isEvidence: boolean
  /** True when calls of the fingerprint had run to their end here since the last crash that it was suspected of. */
  readonly hadCompleted: boolean
}

/**
 * Prevents requests that crash upstreams from being run again. A crash adds suspicion to each request in flight, and a
 * request with enough suspicion is quarantined. Each table forwards every report that it receives for the first time,
 * so all nodes quarantine the request. The request that was the most suspect before a crash gets the largest share, and
 * each call that runs to its end halves the suspicion of its fingerprint; a request that was in flight by chance is
 * thus cleared, also from quarantine. One that never ends well is tried once more after a while, at a single node.
 * Only the host at the node of an instance passes `crashed` for it.
 *
 * Memory: at most `maxFingerprints` suspects with 4 reports each, `maxDispatched` calls, `maxCompleted` fingerprints
 * and `maxRuns` report windows. Suspicion and quarantine expire `retentionMs` after the last crash.
 */
export class QuarantineTable implements Part<QuarantineEvent, QuarantineAction> {
  private readonly _options: QuarantineOptions
  private readonly _reportWindow: ReportWindow
  /** In order of the last crash report, the oldest first. */
  private readonly _suspects = new Map<Fingerprint, Suspect>()
  private readonly _dispatched = new Map<CallId, DispatchedCall>()
  private readonly _callsByInstance = new Map<InstanceId, Set<CallId>>()
  /** Fingerprints whose calls have run to their end here since they were last suspected, the least recent first. */
  private readonly _completed = new Set<Fingerprint>()
  private _sequence = 0

  private readonly _handlers: Handlers = {
    dispatched: (event, nowMs) => this._onDispatched(event, nowMs),
    finished: (event, nowMs, actions) => this._onFinished(event, nowMs, actions),
    crashed: (event, nowMs, actions) => this._onCrashed(event, nowMs, actions),
    reported: (event, nowMs, actions) => this._onReported(event, nowMs, actions),
    ask: (event, nowMs, actions) => this._onAsk(event, nowMs, actions),
    tick: (_event, nowMs) => this._removeExpired(nowMs)
  }

  /** @param options Identity of the node, and options that replace the defaults. */
  public constructor (options: Pick<QuarantineOptions, 'node' | 'incarnation'> & Partial<QuarantineOptions>) {
    this._options = { ...QUARANTINE_DEFAULTS, ...options }
    this._reportWindow = new ReportWindow(this._options.maxRuns)
  }

  /** @inheritdoc */
  public step (event: QuarantineEvent, nowMs: number): QuarantineAction[] {
    const actions: QuarantineAction[] = []
    const handle = this._handlers[event.type] as
      (event: QuarantineEvent, nowMs: number, actions: QuarantineAction[]) => void
    handle(event, nowMs, actions)
    return actions
  }

  /**
   * Returns the reports that have not expired, with their ages, for a process that has just connected: those of the
   * `MAX_SUSPECTS_HANDED_ON` suspects that crashed instances last, quarantined ones before others.
   * @param nowMs Monotonic time in milliseconds.
   */
  public reports (nowMs: number): CrashReport[] {
    this._removeExpired(nowMs)
    const suspects = [...this._suspects.values()].sort((a, b) => Number(a.quarantined) - Number(b.quarantined))
    const reports = suspects.slice(-MAX_SUSPECTS_HANDED_ON).flatMap(suspect => buildReports(suspect, nowMs))
    // The receiver takes reports far behind the newest of the same incarnation for duplicates.
    return reports.sort((a, b) => a.sequence - b.sequence)
  }

  /** Fingerprints under suspicion or quarantine. */
  public get size (): number {
    return this._suspects.size
  }

  private _onDispatched (event: EventOf<'dispatched'>, nowMs: number): void {
    if (this._dispatched.size >= this._options.maxDispatched || this._dispatched.has(event.call)) {
      return
    }
    const { call, instance, fingerprint } = event
    const suspect = this._suspects.get(fingerprint)
    const isEvidence = suspect?.quarantined !== true || nowMs >= suspect.trialAtMs
    const hadCompleted = this._completed.has(fingerprint)
    this._dispatched.set(call, { instance, fingerprint, suspect, isEvidence, hadCompleted })
    const calls = this._callsByInstance.get(event.instance)
    if (calls === undefined) {
      this._callsByInstance.set(event.instance, new Set([event.call]))
    } else {
      calls.add(event.call)
    }
    if (suspect === undefined) return
    suspect.running++
    // A trial whose outcome stays unknown is not repeated soon.
    if (suspect.quarantined) suspect.trialAtMs = nowMs + TRIAL_DELAY_MS * TRIAL_BACKOFF
  }

  private _onFinished (event: EventOf<'finished'>, nowMs: number, actions: QuarantineAction[]): void {
    const { fingerprint, isEvidence } = this._removeDispatched(event.call) ?? {}
    if (fingerprint === undefined || event.ran === false || isEvidence === false) return
    this._recordCompleted(fingerprint)
    const suspect = this._suspects.get(fingerprint)
    if (suspect === undefined) return
    this._halveSuspicion(suspect)
    this._publishReport({ fingerprint: suspect.fingerprint, cleared: true }, actions)
  }

  private _recordCompleted (fingerprint: Fingerprint): void {
    this._completed.delete(fingerprint)
    this._completed.add(fingerprint)
    if (this._completed.size > this._options.maxCompleted) {
      this._completed.delete(this._completed.values().next().value as Fingerprint)
    }
  }

  private _halveSuspicion (suspect: Suspect): void {
    suspect.suspicion /= 2
    suspect.quarantined &&= suspect.suspicion >= QUARANTINE_THRESHOLD
    if (suspect.suspicion < MIN_SUSPICION) {
      this._suspects.delete(suspect.fingerprint)
    }
  }

  private _onCrashed (event: EventOf<'crashed'>, nowMs: number, actions: QuarantineAction[]): void {
    this._removeExpired(nowMs)
    const calls = [...(this._callsByInstance.get(event.instance) ?? [])]
      .map(call => this._removeDispatched(call)).filter(call => call !== undefined)
    const fingerprints = new Set(calls.map(({ fingerprint }) => fingerprint))
    const untried = new Set(calls.filter(({ hadCompleted }) => !hadCompleted).map(({ fingerprint }) => fingerprint))
    const priorSuspicions = [...fingerprints].map(fingerprint => this._suspects.get(fingerprint)?.suspicion ?? 0)
    const maxPriorSuspicion = Math.max(0, ...priorSuspicions)
    const maxWeight = fingerprints.size === 1 ? SINGLE_REQUEST_WEIGHT : CONCURRENT_REQUEST_WEIGHT
    const ranked = [...fingerprints].map((fingerprint, index) => ({
      fingerprint,
      // A request that was suspect before is a more likely cause of the crash than one that was not.
      weight: maxWeight * (untried.has(fingerprint) ? 1 : COMPLETED_REQUEST_SHARE) * Math.max(
        MIN_SUSPICION_SHARE,
        (MIN_SUSPICION + (priorSuspicions[index] ?? 0)) / (MIN_SUSPICION + maxPriorSuspicion)
      )
    }))
    ranked.sort((a, b) => b.weight - a.weight)
    for (const { fingerprint, weight } of ranked.slice(0, MAX_REPORTS_PER_CRASH)) {
      const report = this._publishReport({ fingerprint, weight }, actions)
      this._addSuspicion(report, nowMs, actions)
    }
  }

  private _publishReport (
    content: Pick<CrashReport, 'fingerprint' | 'weight' | 'cleared'>, actions: QuarantineAction[]
  ): CrashReport {
    this._sequence++
    const { node, incarnation } = this._options
    const report = { ...content, node, incarnation, sequence: this._sequence }
    this._reportWindow.addIfNew(report)
    actions.push({ type: 'report', report })
    return report
  }

  private _onReported (event: EventOf<'reported'>, nowMs: number, actions: QuarantineAction[]): void {
    const crashedAtMs = nowMs - Math.max(0, event.report.ageMs ?? 0)
    if (nowMs - crashedAtMs >= this._options.retentionMs || !this._reportWindow.addIfNew(event.report)) {
      return
    }
    actions.push({ type: 'report', report: event.report })
    if (event.report.cleared !== true) {
      this._addSuspicion(event.report, crashedAtMs, actions)
      return
    }
    const suspect = this._suspects.get(event.report.fingerprint)
    if (suspect !== undefined) this._halveSuspicion(suspect)
  }

  private _addSuspicion (report: CrashReport, crashedAtMs: number, actions: QuarantineAction[]): void {
    this._completed.delete(report.fingerprint)
    const suspect = this._getOrAddSuspect(report.fingerprint)
    suspect.suspicion += Math.min(SINGLE_REQUEST_WEIGHT, Math.max(0, report.weight ?? SINGLE_REQUEST_WEIGHT))
    suspect.crashedAtMs = Math.max(suspect.crashedAtMs, crashedAtMs)
    // Stored with the time of the crash as `ageMs`, since the age itself changes; `buildReports` converts it back.
    suspect.reports = [...suspect.reports, { ...report, ageMs: crashedAtMs }].slice(-MAX_REPORTS_KEPT)
    const isQuarantined = suspect.suspicion >= QUARANTINE_THRESHOLD
    suspect.crashesInQuarantine = suspect.quarantined ? suspect.crashesInQuarantine + 1 : 0
    suspect.trialAtMs = suspect.crashesInQuarantine < MAX_TRIALS
      ? suspect.crashedAtMs + TRIAL_DELAY_MS * TRIAL_BACKOFF ** suspect.crashesInQuarantine
      : Infinity
    if (isQuarantined && !suspect.quarantined) {
      suspect.quarantined = true
      const untilMs = suspect.crashedAtMs + this._options.retentionMs
      actions.push({ type: 'quarantined', fingerprint: report.fingerprint, untilMs })
    }
  }

  private _getOrAddSuspect (fingerprint: Fingerprint): Suspect {
    const existing = this._suspects.get(fingerprint)
    const suspect = existing ?? {
      fingerprint,
      suspicion: 0,
      crashedAtMs: -Infinity,
      quarantined: false,
      crashesInQuarantine: 0,
      trialAtMs: Infinity,
      running: 0,
      reports: []
    }
    this._suspects.delete(fingerprint)
    this._suspects.set(fingerprint, suspect)
    if (this._suspects.size > this._options.maxFingerprints) {
      this._suspects.delete(this._suspects.keys().next().value as Fingerprint)
    }
    return suspect
  }

  private _onAsk (event: EventOf<'ask'>, nowMs: number, actions: QuarantineAction[]): void {
    const suspect = this._suspects.get(event.fingerprint)
    const untilMs = suspect === undefined ? -Infinity : suspect.crashedAtMs + this._options.retentionMs
    if (suspect === undefined || untilMs <= nowMs) {
      actions.push({ type: 'allow', call: event.call })
      return
    }
    if (suspect.quarantined) {
      const allowsTrial = nowMs >= suspect.trialAtMs && (event.isRelayed === true || this._mayTry(suspect))
      if (allowsTrial) actions.push({ type: 'allow', call: event.call })
      else actions.push({ type: 'refuse', call: event.call, reason: 'quarantined', retryAfterMs: untilMs - nowMs })
      return
    }
    if (event.isRelayed === true) {
      actions.push({ type: 'allow', call: event.call })
      return
    }
    if (suspect.suspicion >= SINGLE_CALL_THRESHOLD && suspect.running > 0) {
      actions.push({ type: 'refuse', call: event.call, reason: 'suspect', retryAfterMs: SUSPECT_RETRY_AFTER_MS })
      return
    }
    actions.push({ type: 'allow', call: event.call })
  }

  /** Of the nodes that reported the crashes only one tries, unless it has restarted since. */
  private _mayTry ({ running, reports }: Suspect): boolean {
    const { node, incarnation } = this._options
    const [first] = reports.toSorted((a, b) => a.node < b.node ? -1 : Number(a.node > b.node))
    return running === 0 && first?.node === node && first.incarnation === incarnation
  }

  /** Stops tracking a dispatched call and returns it, or undefined for an unknown call. */
  private _removeDispatched (call: CallId): DispatchedCall | undefined {
    const dispatched = this._dispatched.get(call)
    if (dispatched === undefined) {
      return undefined
    }
    this._dispatched.delete(call)
    const calls = this._callsByInstance.get(dispatched.instance)
    calls?.delete(call)
    if (calls?.size === 0) {
      this._callsByInstance.delete(dispatched.instance)
    }
    if (dispatched.suspect !== undefined) {
      dispatched.suspect.running--
    }
    return dispatched
  }

  private _removeExpired (nowMs: number): void {
    for (const suspect of this._suspects.values()) {
      if (suspect.crashedAtMs + this._options.retentionMs <= nowMs) {
        this._suspects.delete(suspect.fingerprint)
      }
    }
  }
}

/**
 * Returns the reports of a suspect with their current ages. Their weights add up to its present suspicion, which calls
 * that finished have reduced since and reports that are no longer kept have raised.
 */
function buildReports (suspect: Suspect, nowMs: number): CrashReport[] {
  const total = suspect.reports.reduce((sum, report) => sum + (report.weight ?? SINGLE_REQUEST_WEIGHT), 0)
  return suspect.reports.map(report => ({
    ...report,
    weight: Math.min(SINGLE_REQUEST_WEIGHT, (report.weight ?? SINGLE_REQUEST_WEIGHT) * suspect.suspicion / total),
    ageMs: Math.round(nowMs - (report.ageMs ?? 0))
  }))
}
