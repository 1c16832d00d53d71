import type { CallId, ProcessLocation, Reason } from '../../src/parts/Types.js'
import { RetryPolicy } from '../../src/parts/retry/RetryPolicy.js'
import type { RetryAction } from '../../src/parts/retry/Types.js'
import type { HostNode, AttemptReply } from './HostNode.js'
import type { Mesh } from './Mesh.js'
import type { Strategy } from './Strategies.js'
import { Wakeup } from './Wakeup.js'

/** One attempt; `open` until it ends. */
interface Attempt {
  readonly id: CallId
  readonly number: number
  readonly host: HostNode
  readonly startMs: number
  open: boolean
}

/** A call from a caller, over all its attempts. */
interface Call {
  readonly id: CallId
  readonly arrivedMs: number
  readonly deadlineAtMs: number
  readonly callerRetriesLeft: number
  readonly attempts: Attempt[]
  done: boolean
}

/** The ingress side of a simulated node: takes calls, chooses instances by a strategy and applies the retry policy. */
export class IngressNode {
  public alive = true
  public strategy: Strategy | undefined
  private readonly _retry = new RetryPolicy()
  private readonly _calls = new Map<CallId, Call>()
  private _usable: HostNode[] = []
  private readonly _wakeup: Wakeup

  public constructor (
    private readonly _mesh: Mesh,
    public readonly index: number,
    public readonly place: ProcessLocation
  ) {
    this._wakeup = new Wakeup(_mesh.clock, () => this._apply(this._retry.step({ type: 'tick' }, _mesh.clock.nowMs)))
  }

  /**
   * Updates the usable hosts after a change of membership or links.
   * @param linkUp Whether the link to each host is up, by index of the host.
   */
  public updateLinks (linkUp: readonly boolean[]): void {
    this._usable = this._mesh.hosts.filter(host => host.state === 'serving' && linkUp[host.index])
    this.strategy?.updateMembership(this._mesh.hosts, linkUp, this._mesh.clock.nowMs)
  }

  /**
   * Ends the open attempts at a host as unreachable.
   * @param host Host whose link timed out.
   */
  public linkDown (host: HostNode): void {
    for (const call of [...this._calls.values()]) {
      for (const attempt of call.attempts) {
        if (attempt.host === host && attempt.open) {
          this._onAttemptEnd(call, attempt, undefined)
        }
      }
    }
  }

  /**
   * Starts a call.
   * @param callerRetriesLeft How many times the caller retries after the mesh gives up on the call.
   */
  public arrive (callerRetriesLeft: number): void {
    const nowMs = this._mesh.clock.nowMs
    const id = this._mesh.nextId()
    const deadlineAtMs = nowMs + this._mesh.deadlineMs
    const call: Call = { id, arrivedMs: nowMs, deadlineAtMs, callerRetriesLeft, attempts: [], done: false }
    this._calls.set(id, call)
    const actions = this._retry.step({
      type: 'begin', call: id, idempotent: true, deadlineAtMs: call.deadlineAtMs, retriesAbove: false
    }, nowMs)
    this._sendAttempt(call, 1)
    this._apply(actions)
  }

  private _sendAttempt (call: Call, number: number): void {
    const nowMs = this._mesh.clock.nowMs
    const id = this._mesh.nextId()
    const excluded = call.attempts.map(attempt => attempt.host.index)
    const index = this.strategy?.choose(id, this._usable, excluded, nowMs) ?? -1
    const host = this._mesh.hosts[index]
    if (host === undefined) {
      this._onFailed(call, 'no-upstream', 100)
      return
    }
    const attempt = { id, number, host, startMs: nowMs, open: true }
    call.attempts.push(attempt)
    this._mesh.countIfMeasured(stats => { stats.attempts += 1 })
    const delayMs = this._mesh.delayMs(this.place, host.place)
    host.inTransit += 1
    this._mesh.clock.after(delayMs, () => {
      host.inTransit -= 1
      host.receive(id, call.deadlineAtMs, reply => {
        this._mesh.clock.after(delayMs, () => this._onAttemptEnd(call, attempt, reply))
      })
    })
  }

  private _onAttemptEnd (call: Call, attempt: Attempt, reply: AttemptReply | undefined): void {
    if (!attempt.open) {
      return
    }
    attempt.open = false
    const nowMs = this._mesh.clock.nowMs
    const outcome = reply?.outcome ?? 'unreachable'
    this.strategy?.recordResult({
      call: attempt.id, host: attempt.host.index, outcome, latencyMs: nowMs - attempt.startMs, evidence: reply?.evidence
    }, nowMs)
    if (call.done) {
      return
    }
    if (outcome === 'ok') {
      this._onSucceeded(call, attempt)
    } else {
      this._onFailed(call, reply?.reason ?? 'peer-lost', reply?.retryAfterMs ?? 0, outcome === 'refused')
    }
  }

  private _onSucceeded (call: Call, attempt: Attempt): void {
    const nowMs = this._mesh.clock.nowMs
    const latencyMs = nowMs - call.arrivedMs
    this._finish(call)
    this._mesh.countIfMeasured(stats => stats.recordAnswer(call.arrivedMs, latencyMs))
    this._apply(this._retry.step({ type: 'succeeded', call: call.id, latencyMs, attempt: attempt.number }, nowMs))
    for (const other of call.attempts) {
      if (other.open) {
        this._mesh.clock.after(this._mesh.delayMs(this.place, other.host.place), () => other.host.cancel(other.id))
      }
    }
  }

  private _onFailed (call: Call, reason: Reason, retryAfterMs: number, notRun = true): void {
    this._apply(this._retry.step({
      type: 'failed',
      call: call.id,
      disposition: notRun ? 'not-run' : 'unknown',
      reason,
      retryAfterMs,
      responseStarted: false
    }, this._mesh.clock.nowMs))
  }

  private _giveUp (call: Call, reason: Reason, retryAfterMs: number): void {
    if (call.done) {
      return
    }
    this._finish(call)
    if (call.callerRetriesLeft > 0) {
      this._mesh.countIfMeasured(stats => { stats.callerRetries += 1 })
      this._mesh.clock.after(retryAfterMs, () => this._mesh.arriveAtLiveIngress(this, call.callerRetriesLeft - 1))
      return
    }
    const ran = reason === 'upstream-failed' || reason === 'peer-lost'
    this._mesh.countIfMeasured(stats => { stats[ran ? 'failed' : 'refused'] += 1 })
  }

  private _finish (call: Call): void {
    call.done = true
    this._calls.delete(call.id)
  }

  private _apply (actions: readonly RetryAction[]): void {
    for (const action of actions) {
      if (action.type === 'wake') {
        this._wakeup.schedule(action.atMs)
        continue
      }
      const call = this._calls.get(action.call)
      if (call === undefined) {
        continue
      }
      if (action.type === 'giveUp') {
        this._giveUp(call, action.reason, action.retryAfterMs)
      } else if (action.type === 'retry' || action.type === 'hedge') {
        this._sendAttempt(call, action.attempt)
      }
    }
  }
}
