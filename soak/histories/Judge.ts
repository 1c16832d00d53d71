import { ACK_MS, ACK_MS_PER_ROUTE, ADDED_ROUTES_RULE, CONFIG_DEADLINE_MS, ROLLBACK_SLACK_MS } from './Constants.js'
import { applyContent, canonicalText, findProblem, listDestinations, type ModelState } from './ConfigurationModel.js'
import { HistoryTimeline } from './HistoryTimeline.js'
import { isRefusal, listOutcomes, type OrderOutcome } from './OrderOutcomes.js'
import { buildStateTree, type StateTree } from './StateTree.js'
import type { History, HistoryFinding, HistoryRule, OrderRecord, ProbeRecord, ReadRecord } from './Types.js'

/** A request with what it says of the version by which a node handled it. */
interface HandledProbe {
  readonly probe: ProbeRecord
  readonly endedAtMs: number
  /** True when an instance ran it, false when it was answered 404. */
  readonly hasRun: boolean
  /** Possible states that allow what was seen. */
  readonly allowed: readonly ModelState[]
}

/** Attempts at running processes from which an order without an answer counts; others may each cost a second. */
const MIN_HEARD_ATTEMPTS = 3

/** Orders that a finding names at most. */
const MAX_NAMED_ORDERS = 3

/** An acknowledgement that every later read and request is held against. */
interface Acknowledgement {
  readonly version: bigint
  readonly atMs: number
}

/**
 * Judges a history by the promises on configurations.
 * @returns All findings in the order of time; empty when every promise was kept.
 */
export function judgeHistory (history: History): HistoryFinding[] {
  return new HistoryJudge(history).judge()
}

class HistoryJudge {
  private readonly _findings: HistoryFinding[] = []
  private readonly _timeline: HistoryTimeline
  private readonly _outcomes: readonly OrderOutcome[]
  private readonly _tree: StateTree
  private readonly _acknowledgements: readonly Acknowledgement[]

  public constructor (private readonly _history: History) {
    this._timeline = new HistoryTimeline(_history)
    this._outcomes = listOutcomes(_history)
    this._tree = buildStateTree(this._outcomes)
    this._acknowledgements = this._outcomes.flatMap(({ order, acknowledgedAtMs: atMs }) =>
      atMs === undefined ? [] : [{ version: BigInt(order.version), atMs }])
  }

  public judge (): HistoryFinding[] {
    this._judgeAcceptedOrders()
    for (const outcome of this._outcomes) {
      this._judgeResends(outcome)
      this._judgeUnanswered(outcome)
      this._judgeRefusal(outcome)
    }
    this._judgeReads()
    this._judgeProbes()
    for (const { process, atMs } of this._history.ends) this._report('no-own-end', atMs, `${process} ended by itself`)
    return this._findings.sort((a, b) => a.atMs - b.atMs)
  }

  private _report (rule: HistoryRule, atMs: number, detail: string): void {
    this._findings.push({ rule, atMs: Math.round(atMs), detail })
  }

  private _judgeAcceptedOrders (): void {
    const byBase = new Map<string, OrderOutcome>()
    const accepted = this._outcomes.filter(({ acknowledgedAtMs }) => acknowledgedAtMs !== undefined)
    let explained = this._tree.unexplained === 0
    for (const outcome of accepted.sort((a, b) => (a.acknowledgedAtMs as number) - (b.acknowledgedAtMs as number))) {
      const { order, acknowledgedAtMs } = outcome
      const atMs = acknowledgedAtMs as number
      const other = byBase.get(order.base)
      const problem = order.unreadable ?? this._findProblem(order)
      if (problem !== undefined) this._report('no-invalid-accepted', atMs, `${describe(order)} was acknowledged, and ${problem}`)
      if (other !== undefined) this._report('one-change-per-base', atMs, `${describe(order)} and ${describe(other.order)} were both acknowledged`)
      if (problem !== undefined || other !== undefined) explained = true
      byBase.set(order.base, outcome)
    }
    if (explained) return
    const held = new Set(this._tree.states.map(({ order }) => order))
    for (const { order, acknowledgedAtMs } of accepted.filter(outcome => !held.has(outcome.order))) {
      this._report('base-in-force', acknowledgedAtMs as number, `${describe(order)} was acknowledged, and its base can't have been in force then`)
    }
  }

  /** Returns why an order is invalid on every state of its base's number that may have been in force. */
  private _findProblem (order: OrderRecord): string | undefined {
    const bases = this._tree.states.filter(({ version }) => version === BigInt(order.base))
    const problems = bases.map(base => findProblem(order, base))
    return problems.every(problem => problem !== undefined) ? problems[0] : undefined
  }

  private _judgeResends ({ order, attempts, acknowledgedAtMs }: OrderOutcome): void {
    if (acknowledgedAtMs === undefined) return
    for (const attempt of attempts.filter(isRefusal)) {
      const { process, status, answeredAtMs } = attempt
      this._report('resend-accepted', answeredAtMs as number, `${describe(order)} was answered ${status} by ${process}, and 200 at ${Math.round(acknowledgedAtMs)} ms`)
    }
  }

  private _judgeUnanswered ({ order, attempts, sentAtMs, acknowledgedAtMs, refusedAtMs }: OrderOutcome): void {
    const base = this._tree.states.find(({ version }) => version === BigInt(order.base))
    if (base === undefined || findProblem(order, base) !== undefined) return
    const fromMs = sentAtMs as number
    const routeCount = applyContent(order.content, base.document).Routes.length
    const endMs = fromMs + ACK_MS + ACK_MS_PER_ROUTE * routeCount
    if ((acknowledgedAtMs ?? Infinity) <= endMs || (refusedAtMs ?? Infinity) <= endMs) return
    if (!this._isNewest(order, fromMs, endMs) || !this._timeline.isUndisturbed(fromMs, endMs)) return
    const heard = attempts.filter(attempt => this._timeline.isRunning(attempt.process, attempt.sentAtMs, endMs))
    if (heard.length < MIN_HEARD_ATTEMPTS) return
    this._report('order-acknowledged', endMs, `${describe(order)}, sent at ${Math.round(fromMs)} ms, has no answer`)
  }

  private _judgeRefusal ({ order, sentAtMs, acknowledgedAtMs, refusedAtMs }: OrderOutcome): void {
    if (refusedAtMs === undefined || acknowledgedAtMs !== undefined) return
    const hasBase = this._tree.states.some(({ version }) => version === BigInt(order.base))
    if (!hasBase || this._findProblem(order) !== undefined) return
    if (!this._isNewest(order, sentAtMs as number, refusedAtMs)) return
    this._report('valid-not-refused', refusedAtMs, `${describe(order)} was refused, and no other change was on its way`)
  }

  /** Returns whether an order's base was acknowledged before it was sent, and no other order could take its place. */
  private _isNewest (order: OrderRecord, sentAtMs: number, endMs: number): boolean {
    const isKnown = BigInt(order.base) === 0n ||
      this._acknowledgements.some(({ version, atMs }) => version === BigInt(order.base) && atMs < sentAtMs)
    return isKnown && this._outcomes.every(other => other.order === order || (other.sentAtMs as number) > endMs ||
      BigInt(other.order.version) <= BigInt(order.base))
  }

  private _judgeReads (): void {
    const newest = new Map<string, Acknowledgement>()
    const reads = this._history.reads.filter(({ status }) => status === 200)
    for (const read of reads.sort((a, b) => a.sentAtMs - b.sentAtMs)) this._judgeReadBack(read)
    for (const read of reads.sort((a, b) => (a.answeredAtMs as number) - (b.answeredAtMs as number))) {
      const incarnation = `${read.process} ${read.incarnation}`
      const atMs = read.answeredAtMs as number
      const version = BigInt(read.version as string)
      const earlier = newest.get(incarnation)
      if (earlier === undefined || earlier.version < version) newest.set(incarnation, { version, atMs })
      else if (version < earlier.version && read.sentAtMs > earlier.atMs + ROLLBACK_SLACK_MS) {
        this._report('no-read-back', atMs, `${read.process} answered r${version} to a read sent at ${Math.round(read.sentAtMs)} ms, after r${earlier.version} at ${Math.round(earlier.atMs)} ms`)
      }
    }
    const { finalFromMs } = this._history
    if (finalFromMs === undefined || reads.some(({ sentAtMs }) => sentAtMs >= finalFromMs)) return
    this._report('read-at-the-end', finalFromMs, 'the configuration could not be read back from any process at the end')
  }

  private _judgeReadBack ({ process, sentAtMs, answeredAtMs, version, document }: ReadRecord): void {
    const number = BigInt(version as string)
    const atMs = answeredAtMs as number
    const floor = this._floor(sentAtMs - CONFIG_DEADLINE_MS)
    const isFinal = sentAtMs >= (this._history.finalFromMs ?? Infinity)
    if (floor !== undefined && number < floor.version) {
      this._report(isFinal ? 'accepted-kept' : 'no-stale-read', atMs, `${process} answered r${number} to a read sent at ${Math.round(sentAtMs)} ms; r${floor.version} was acknowledged at ${Math.round(floor.atMs)} ms`)
    }
    const same = this._tree.states.filter(state => state.version === number && state.order !== undefined)
    const text = canonicalText(document as NonNullable<typeof document>)
    if (same.some(state => canonicalText(state.document) === text)) return
    if (number === 0n && document?.Routes.length === 0) return
    const sent = this._outcomes.filter(({ order }) => BigInt(order.version) === number)
    const rule = same.length === 0 ? 'only-accepted-in-force' : 'read-as-sent'
    this._report(rule, atMs, `${process} answered r${number} with ${same.length === 0 ? 'what must not be in force' : 'other content than was sent'}; sent under this number: ${describeAll(sent)}`)
  }

  /** Returns the newest acknowledgement before a time. */
  private _floor (beforeMs: number): Acknowledgement | undefined {
    let newest: Acknowledgement | undefined
    for (const next of this._acknowledgements) {
      if (next.atMs < beforeMs && (newest === undefined || next.version > newest.version)) newest = next
    }
    return newest
  }

  private _judgeProbes (): void {
    const handled = this._history.probes.flatMap(probe => this._handle(probe))
    for (const item of handled) {
      if (item.allowed.length === 0) this._reportForeign(item)
      else this._judgeDelay(item)
    }
    this._judgeBack(handled.filter(({ allowed }) => allowed.length > 0))
    this._judgeAddedRoutes()
  }

  private _handle (probe: ProbeRecord): HandledProbe[] {
    const { host, path, runs, status, answeredAtMs } = probe
    const allowing = (isAllowed: (services: readonly string[]) => boolean): ModelState[] =>
      this._tree.states.filter(({ document }) => isAllowed(listDestinations(document, host, path)))
    if (runs.length > 0) {
      return runs.map(({ service, atMs }) => {
        return { probe, endedAtMs: atMs, hasRun: true, allowed: allowing(services => services.includes(service)) }
      })
    }
    if (status !== 404) return []
    const allowed = allowing(services => services.length === 0)
    return [{ probe, endedAtMs: answeredAtMs as number, hasRun: false, allowed }]
  }

  private _reportForeign ({ probe, endedAtMs }: HandledProbe): void {
    const { process, host, path, runs } = probe
    const senders = this._outcomes.filter(({ order: { content } }) => {
      const routes = content.type === 'put' ? content.document.Routes : content.patch.Upsert?.Routes ?? []
      const services = listDestinations({ Routes: routes, Services: [], Limits: {} }, host, path)
      return runs.some(({ service }) => services.includes(service))
    })
    this._report('only-accepted-in-force', endedAtMs, `${process} passed ${host}${path} on to ${runs.map(({ service }) => service).join()}, as was asked for by ${describeAll(senders)}`)
  }

  private _judgeDelay ({ probe, endedAtMs, hasRun, allowed }: HandledProbe): void {
    const { process, sentAtMs } = probe
    const deadlineMs = this._timeline.nodeDeadlineMs(process, sentAtMs, endedAtMs)
    if (deadlineMs === undefined) return
    const floor = this._floor(sentAtMs - deadlineMs)
    if (floor === undefined || allowed.some(({ version }) => version >= floor.version)) return
    const outcome = hasRun ? `passed on to ${probe.runs[0]?.service ?? ''}` : 'answered 404'
    this._report('change-in-force-in-time', endedAtMs, `${process}: ${probe.host}${probe.path}, sent at ${Math.round(sentAtMs)} ms on a ${probe.isKept ? 'kept' : 'new'} connection, was ${outcome}, as only up to r${newestOf(allowed)} allows; r${floor.version} was acknowledged at ${Math.round(floor.atMs)} ms`)
  }

  private _judgeBack (handled: readonly HandledProbe[]): void {
    const effects = new Map<string, Acknowledgement[]>()
    for (const { probe, endedAtMs, hasRun, allowed } of handled) {
      if (!hasRun) continue
      const incarnation = `${probe.process} ${probe.incarnation}`
      const versions = allowed.map(state => state.version)
      const version = versions.reduce((oldest, next) => next < oldest ? next : oldest)
      effects.set(incarnation, [...effects.get(incarnation) ?? [], { version, atMs: endedAtMs }])
    }
    for (const { probe, endedAtMs, allowed } of handled) {
      const newest = newestOf(allowed)
      const seen = effects.get(`${probe.process} ${probe.incarnation}`)
        ?.find(({ version, atMs }) => version > newest && atMs + ROLLBACK_SLACK_MS < probe.sentAtMs)
      if (seen === undefined) continue
      this._report('no-node-back', endedAtMs, `${probe.process} handled ${probe.host}${probe.path}, sent at ${Math.round(probe.sentAtMs)} ms, as only up to r${newest} allows, after the effect of r${seen.version} at ${Math.round(seen.atMs)} ms`)
    }
  }

  /** Routes that were added later must be served like those of the first configuration. */
  private _judgeAddedRoutes (): void {
    const first = this._tree.states.find(({ parent }) => parent !== undefined && parent.parent === undefined)
    if (first === undefined) return
    const counts = { first: { all: 0, served: 0 }, added: { all: 0, served: 0 } }
    for (const { host, path, sentAtMs, answeredAtMs, status } of this._history.probes) {
      const floor = this._floor(sentAtMs - CONFIG_DEADLINE_MS)
      if (floor === undefined || !this._timeline.isUndisturbed(sentAtMs, answeredAtMs ?? sentAtMs)) continue
      const states = this._tree.states.filter(({ version }) => version >= floor.version)
      if (!states.every(({ document }) => listDestinations(document, host, path).length > 0)) continue
      const count = counts[listDestinations(first.document, host, path).length > 0 ? 'first' : 'added']
      count.all++
      count.served += Number(status === 200)
    }
    const { requests, ratio } = ADDED_ROUTES_RULE
    if (counts.first.all === 0 || counts.added.all < requests) return
    if (counts.added.served / counts.added.all >= ratio * counts.first.served / counts.first.all) return
    this._report('added-route-served', this._history.finalFromMs ?? 0, `${counts.added.served} of ${counts.added.all} requests on added routes were served, and ${counts.first.served} of ${counts.first.all} on the first ones`)
  }
}

function newestOf (states: readonly ModelState[]): bigint {
  return states.reduce((newest, { version }) => version > newest ? version : newest, 0n)
}

/** Names the first of some orders. */
function describeAll (outcomes: readonly OrderOutcome[]): string {
  const names = outcomes.slice(0, MAX_NAMED_ORDERS).map(({ order }) => describe(order))
  return [...names, ...outcomes.length > MAX_NAMED_ORDERS ? ['others'] : []].join(', ') || 'no order'
}

function describe ({ id, version, base, kind }: OrderRecord): string {
  return `order ${id} (${kind}, r${version} on r${base})`
}
