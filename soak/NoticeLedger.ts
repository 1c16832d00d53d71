import { DRAIN_GRACE_MS, LIMIT_RULE, STABLE_WINDOW_MS } from './Constants.js'
import type { InstanceNotice, Rule } from './Types.js'

/** A request that reached an instance. */
interface Arrival {
  readonly atMs: number
  /** Node where the request began. */
  readonly node: string
}

/** What a node has passed on to its callers of one instance. */
interface ToldNode {
  limitSinceMs: number | undefined
  leavingSinceMs: number | undefined
}

/** What is known of one instance that has set a notice. */
interface NoticedInstance {
  limitPerS: number | undefined
  limitSinceMs: number
  readonly arrivals: Arrival[]
  readonly toldNodes: Map<string, ToldNode>
}

/** Checks what instances ask of all nodes in their answers, for the nodes that have passed such an answer on. */
export class NoticeLedger {
  private readonly _instances = new Map<string, NoticedInstance>()

  /**
   * @param _nowMs Milliseconds since the start of the soak.
   * @param _onViolation Called for each violation.
   */
  public constructor (
    private readonly _nowMs: () => number, private readonly _onViolation: (rule: Rule, detail: string) => void
  ) {}

  /** Records that an instance names a limit from now on, or none any more. */
  public setLimit (instance: string, perS: number | undefined): void {
    const noticed = this._instance(instance)
    noticed.limitPerS = perS
    noticed.limitSinceMs = this._nowMs()
  }

  /** Records that a caller of a node received an answer of an instance. */
  public recordAnswer (node: string, instance: string, notice: InstanceNotice): void {
    const { toldNodes } = this._instance(instance)
    const told = toldNodes.get(node) ?? { limitSinceMs: undefined, leavingSinceMs: undefined }
    const nowMs = this._nowMs()
    told.limitSinceMs = notice.namesLimit ? told.limitSinceMs ?? nowMs : undefined
    if (notice.isLeaving) told.leavingSinceMs ??= nowMs
    toldNodes.set(node, told)
  }

  /** Records that a node was killed, paused or stopped: it is excused from what it was told before. */
  public excuse (node: string): void {
    for (const { toldNodes } of this._instances.values()) toldNodes.delete(node)
  }

  /**
   * Records that a request has reached an instance.
   * @param node Node where the request began.
   * @param sentAtMs When its caller sent it.
   */
  public recordArrival (instance: string, node: string, sentAtMs: number): void {
    const noticed = this._instance(instance)
    const nowMs = this._nowMs()
    noticed.arrivals.push({ atMs: nowMs, node })
    const leavingSinceMs = noticed.toldNodes.get(node)?.leavingSinceMs
    if (leavingSinceMs !== undefined && sentAtMs > leavingSinceMs + DRAIN_GRACE_MS) {
      const detail = `${instance} got a request from ${node} sent ${Math.round(sentAtMs - leavingSinceMs)} ms after it was told`
      this._onViolation('no-run-after-leaving', detail)
    }
    this._checkLimit(instance, noticed, nowMs)
  }

  private _checkLimit (instance: string, noticed: NoticedInstance, nowMs: number): void {
    const { limitPerS, limitSinceMs, arrivals, toldNodes } = noticed
    if (limitPerS === undefined || nowMs < limitSinceMs + STABLE_WINDOW_MS) return
    const { windowMs, ratio, slack, settleMs } = LIMIT_RULE
    const isCounted = ({ atMs, node }: Arrival): boolean => {
      const toldSinceMs = toldNodes.get(node)?.limitSinceMs ?? Infinity
      return atMs > nowMs - windowMs && atMs >= toldSinceMs + settleMs
    }
    const count = arrivals.filter(isCounted).length
    const allowed = ratio * limitPerS * windowMs / 1000 + slack
    if (count <= allowed) return
    this._onViolation('request-limit', `${instance} got ${count} requests where ${Math.floor(allowed)} are allowed`)
  }

  private _instance (instance: string): NoticedInstance {
    const known = this._instances.get(instance)
    if (known !== undefined) return known
    const noticed = { limitPerS: undefined, limitSinceMs: 0, arrivals: [], toldNodes: new Map<string, ToldNode>() }
    this._instances.set(instance, noticed)
    return noticed
  }
}
