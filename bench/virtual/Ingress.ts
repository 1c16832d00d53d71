import type { CallId, Place, Reason } from '../../src/parts/Types.js'
import { RetryPolicy } from '../../src/parts/retry/RetryPolicy.js'
import type { RetryAction } from '../../src/parts/retry/Types.js'
import type { HostNode, HostReply } from './HostNode.js'
import type { Mesh } from './Mesh.js'
import type { Strategy } from './Strategies.js'
import { Wakeup } from './Wakeup.js'

interface Attempt {
  readonly id: CallId
  readonly number: number
  readonly host: HostNode
  readonly startMs: number
  open: boolean
}

interface Call {
  readonly id: CallId
  readonly arrivedMs: number
  readonly deadlineAtMs: number
  readonly triesLeft: number
  readonly attempts: Attempt[]
  done: boolean
}

/** The ingress side of a node: its callers, its way of choosing and its retry policy. */
export class Ingress {
  public alive = true
  public strategy: Strategy | undefined
  private readonly retry = new RetryPolicy()
  private readonly calls = new Map<CallId, Call>()
  private usable: HostNode[] = []
  private readonly wakeup: Wakeup

  public constructor (
    private readonly mesh: Mesh,
    public readonly index: number,
    public readonly place: Place
  ) {
    this.wakeup = new Wakeup(mesh.clock, () => this.apply(this.retry.step({ type: 'tick' }, mesh.clock.nowMs)))
  }

  /** @param linkUp Which hosts this node has a link to. */
  public changed (linkUp: readonly boolean[]): void {
    this.usable = this.mesh.hosts.filter(host => host.state === 'serving' && linkUp[host.index])
    this.strategy?.changed(this.mesh.hosts, linkUp, this.mesh.clock.nowMs)
  }

  /** @param host Host whose link was found dead; what is open there ends. */
  public linkDown (host: HostNode): void {
    for (const call of [...this.calls.values()]) {
      for (const attempt of call.attempts) {
        if (attempt.host === host && attempt.open) {
          this.end(call, attempt, undefined)
        }
      }
    }
  }

  /** @param triesLeft How often the caller comes back after a refusal. */
  public arrive (triesLeft: number): void {
    const nowMs = this.mesh.clock.nowMs
    const id = this.mesh.nextId()
    const deadlineAtMs = nowMs + this.mesh.deadlineMs
    const call: Call = { id, arrivedMs: nowMs, deadlineAtMs, triesLeft, attempts: [], done: false }
    this.calls.set(id, call)
    const actions = this.retry.step({
      type: 'begin', call: id, idempotent: true, deadlineAtMs: call.deadlineAtMs, retriesAbove: false
    }, nowMs)
    this.attempt(call, 1)
    this.apply(actions)
  }

  private attempt (call: Call, number: number): void {
    const nowMs = this.mesh.clock.nowMs
    const id = this.mesh.nextId()
    const excluded = call.attempts.map(attempt => attempt.host.index)
    const index = this.strategy?.choose(id, this.usable, excluded, nowMs) ?? -1
    const host = this.mesh.hosts[index]
    if (host === undefined) {
      this.failed(call, 'no-upstream', 100)
      return
    }
    const attempt = { id, number, host, startMs: nowMs, open: true }
    call.attempts.push(attempt)
    this.mesh.counting(stats => { stats.attempts += 1 })
    const delayMs = this.mesh.delayMs(this.place, host.place)
    host.inTransit += 1
    this.mesh.clock.after(delayMs, () => {
      host.inTransit -= 1
      host.receive(id, call.deadlineAtMs, reply => {
        this.mesh.clock.after(delayMs, () => this.end(call, attempt, reply))
      })
    })
  }

  private end (call: Call, attempt: Attempt, reply: HostReply | undefined): void {
    if (!attempt.open) {
      return
    }
    attempt.open = false
    const nowMs = this.mesh.clock.nowMs
    const outcome = reply?.outcome ?? 'unreachable'
    this.strategy?.ended({
      call: attempt.id, host: attempt.host.index, outcome, latencyMs: nowMs - attempt.startMs, evidence: reply?.evidence
    }, nowMs)
    if (call.done) {
      return
    }
    if (outcome === 'ok') {
      this.succeeded(call, attempt)
    } else {
      this.failed(call, reply?.reason ?? 'peer-lost', reply?.retryAfterMs ?? 0, outcome === 'refused')
    }
  }

  private succeeded (call: Call, attempt: Attempt): void {
    const nowMs = this.mesh.clock.nowMs
    const latencyMs = nowMs - call.arrivedMs
    this.finish(call)
    this.mesh.counting(stats => stats.answered(call.arrivedMs, latencyMs))
    this.apply(this.retry.step({ type: 'succeeded', call: call.id, latencyMs, attempt: attempt.number }, nowMs))
    for (const other of call.attempts) {
      if (other.open) {
        this.mesh.clock.after(this.mesh.delayMs(this.place, other.host.place), () => other.host.cancel(other.id))
      }
    }
  }

  private failed (call: Call, reason: Reason, retryAfterMs: number, notRun = true): void {
    this.apply(this.retry.step({
      type: 'failed',
      call: call.id,
      disposition: notRun ? 'not-run' : 'unknown',
      reason,
      retryAfterMs,
      responseStarted: false
    }, this.mesh.clock.nowMs))
  }

  private giveUp (call: Call, reason: Reason, retryAfterMs: number): void {
    if (call.done) {
      return
    }
    this.finish(call)
    if (call.triesLeft > 0) {
      this.mesh.counting(stats => { stats.callerRetries += 1 })
      this.mesh.clock.after(retryAfterMs, () => this.mesh.arriveAnywhere(this, call.triesLeft - 1))
      return
    }
    const ran = reason === 'upstream-failed' || reason === 'peer-lost'
    this.mesh.counting(stats => { stats[ran ? 'failed' : 'refused'] += 1 })
  }

  private finish (call: Call): void {
    call.done = true
    this.calls.delete(call.id)
  }

  private apply (actions: readonly RetryAction[]): void {
    for (const action of actions) {
      if (action.type === 'wake') {
        this.wakeup.ask(action.atMs)
        continue
      }
      const call = this.calls.get(action.call)
      if (call === undefined) {
        continue
      }
      if (action.type === 'giveUp') {
        this.giveUp(call, action.reason, action.retryAfterMs)
      } else if (action.type === 'retry' || action.type === 'hedge') {
        this.attempt(call, action.attempt)
      }
    }
  }
}
