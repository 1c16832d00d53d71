import { SeededRandom } from '../src/parts/SeededRandom.js'
import { hashText } from '../src/parts/TextHash.js'
import { RETRY_BUDGET, DRAIN_GRACE_MS, MAX_UPLOAD_BYTES, QUARANTINE_RULE, STABLE_WINDOW_MS } from './Constants.js'
import { EvacuationLedger } from './EvacuationLedger.js'
import { ColdLedger } from './ColdLedger.js'
import { NoticeLedger } from './NoticeLedger.js'
import type { Rule, Violation } from './Types.js'

/** What is known of one request. */
interface RequestRecord {
  readonly once: boolean
  /** Node where the request began. */
  readonly node: string
  readonly sentAtMs: number
  readonly runs: Array<{ readonly atMs: number, readonly instance: string }>
  /** True when a caller was answered that the request has not run. */
  notRun: boolean
}

/** Returns the body of the answer to a request; its length varies with the id so that a mix-up shows. */
export function expectedBody (id: string): string {
  const length = 50 + (id.charCodeAt(id.length - 1) * 37) % 900
  return `${id}|`.repeat(Math.ceil(length / (id.length + 1))).slice(0, length)
}

/** Returns the body of an upload; its length and content vary with the id, so that lost or mixed-up chunks show. */
export function uploadBody (id: string): Buffer {
  const random = new SeededRandom(hashText(0, id))
  const body = Buffer.alloc(1 + Math.floor(MAX_UPLOAD_BYTES * random.next() ** 2))
  for (let i = 0; i < body.length; i += UPLOAD_MARK_STEP) body[i] = 256 * random.next()
  return body
}

/** Distance between the bytes of an upload that vary, in bytes: some in each chunk. */
const UPLOAD_MARK_STEP = 1000

/** Records what callers sent and instances ran, and reports each violated guarantee. Keeps every request in memory. */
export class SoakLedger {
  public readonly violations: Violation[] = []
  /** Checks what instances ask of all nodes. */
  public readonly notices = new NoticeLedger(() => this._nowMs(), (rule, detail) => this.recordViolation(rule, detail))
  /** Checks that evacuated zones are empty. */
  public readonly evacuations =
    new EvacuationLedger(() => this._nowMs(), (rule, detail) => this.recordViolation(rule, detail))

  /** Checks the limit of cold instances. */
  public readonly cold = new ColdLedger(() => this._nowMs(), (rule, detail) => this.recordViolation(rule, detail))

  private readonly _requests = new Map<string, RequestRecord>()
  private readonly _drainedAtMs = new Map<string, number>()
  /** Times of the runs of each path that crashes instances. */
  private readonly _poisonRuns = new Map<string, number[]>()

  /**
   * @param _nowMs Milliseconds since the start of the soak.
   */
  public constructor (private readonly _nowMs: () => number) {}

  /** Number of runs of all requests. */
  public get runCount (): number {
    return [...this._requests.values()].reduce((sum, { runs }) => sum + runs.length, 0)
  }

  /** Records the violation of a guarantee. */
  public recordViolation (rule: Rule, detail: string): void {
    this.violations.push({ rule, atMs: Math.round(this._nowMs()), detail })
  }

  /**
   * Records that a caller is about to send a request.
   * @param once True for an at-most-once request.
   * @param node Node that the caller sends it to.
   */
  public recordRequest (id: string, once: boolean, node = ''): void {
    this._requests.set(id, { once, node, sentAtMs: this._nowMs(), runs: [], notRun: false })
  }

  /** Records that a request has reached an instance, which may still reject it. */
  public recordArrival (id: string, instance: string): void {
    this.evacuations.recordArrival(instance, id)
    const request = this._requests.get(id)
    if (request !== undefined) this.notices.recordArrival(instance, request.node, request.sentAtMs)
  }

  /** Records that an instance started to run a request. */
  public recordRun (id: string, instance: string): void {
    const nowMs = this._nowMs()
    const request = this._requests.get(id)
    if (request === undefined) return this.recordViolation('whole-own-answer', `${instance} ran ${id}, which no caller sent`)
    request.runs.push({ atMs: nowMs, instance })
    if (request.once && request.runs.length > 1) this.recordViolation('at-most-once', `${id} ran more than once, at ${request.runs.map(run => run.instance).join()}`)
    if (request.notRun) this.recordViolation('true-not-run', `${id} ran at ${instance} after it was refused`)
    const drainedAtMs = this._drainedAtMs.get(instance)
    if (drainedAtMs !== undefined && nowMs > drainedAtMs + DRAIN_GRACE_MS) {
      this.recordViolation('no-run-after-drain', `${id} ran at ${instance} ${Math.round(nowMs - drainedAtMs)} ms after its drain was acknowledged`)
    }
  }

  /** Records that an instance has read the body of an upload to its end. */
  public recordUpload (id: string, instance: string, body: Buffer): void {
    const expected = uploadBody(id)
    if (body.equals(expected)) return
    this.recordViolation('whole-upload', `${instance} read ${body.length} bytes of ${id}, expected other ${expected.length}`)
  }

  /** Records a run of a path that crashes the instance. */
  public recordPoisonRun (path: string): void {
    const nowMs = this._nowMs()
    const runs = [...this._poisonRuns.get(path) ?? [], nowMs]
    this._poisonRuns.set(path, runs)
    const boundSinceMs = (runs[QUARANTINE_RULE.crashes - 1] ?? Infinity) + STABLE_WINDOW_MS
    const late = runs.filter(atMs => atMs > boundSinceMs).length
    if (late > QUARANTINE_RULE.runs) this.recordViolation('quarantine', `${path} crashes an instance for the ${runs.length}th time`)
  }

  /** Records that a node acknowledged the drain of an instance. */
  public recordDrain (instance: string): void {
    if (!this._drainedAtMs.has(instance)) this._drainedAtMs.set(instance, this._nowMs())
  }

  /** Records that a caller was answered that its request has not run. */
  public recordRefusal (id: string): void {
    const request = this._requests.get(id)
    if (request === undefined) return
    request.notRun = true
    if (request.runs.length > 0) this.recordViolation('true-not-run', `${id} was refused after it had run at ${request.runs[0]?.instance ?? ''}`)
  }

  /**
   * Records that a caller received a success.
   * @param echoedId Request id in the headers of the answer.
   * @param isSigned True when the answer carries the instance's signature for this request.
   */
  public recordAnswer (id: string, body: string, echoedId: string | undefined, isSigned: boolean): void {
    const expected = expectedBody(id)
    if (echoedId !== id || !isSigned || body !== expected) {
      this.recordViolation('whole-own-answer', `the answer to ${id} has ${body.length} of ${expected.length} bytes, id ${String(echoedId)}, signed ${String(isSigned)}`)
    }
  }

  /** Reports the first time window that holds more retries than the budget allows. */
  public checkRetryBudget (): void {
    const runTimes = [...this._requests.values()].map(entry => entry.runs.map(({ atMs }) => atMs))
    const firstRuns = runTimes.flatMap(times => times.slice(0, 1))
    const extraRuns = runTimes.flatMap(times => times.slice(1))
    for (const endMs of extraRuns) {
      const inWindow = (atMs: number): boolean => atMs > endMs - RETRY_BUDGET.windowMs && atMs <= endMs
      const count = extraRuns.filter(inWindow).length
      const allowed = RETRY_BUDGET.ratio * firstRuns.filter(inWindow).length + RETRY_BUDGET.slack
      if (count > allowed) return this.recordViolation('budget', `${count} retries ran in a window that allows ${Math.floor(allowed)}`)
    }
  }
}
