import { LEDGER_TICK_MS } from '../parts/quota/Constants.js'
import { NodeSightings } from '../parts/quota/NodeSightings.js'
import { QuotaLedger } from '../parts/quota/QuotaLedger.js'
import type { Quota, QuotaLedgerAction, QuotaLedgerEvent, QuotaMessage } from '../parts/quota/Types.js'
import type { Workspace } from '../parts/routing/Types.js'
import type { NodeId, ReplicaId } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { MAX_DEFERRED_QUOTA_MESSAGES, QUOTA_BATCH_MS, QUOTA_CONFIRM_AFTER_MS } from './Constants.js'
import type { NodeFeed } from './NodeFeed.js'
import type { ReceivedQuotaFrame, RoutingReplica } from './RoutingReplica.js'
import type { ForwardedQuotaMessage, ReturnedQuotaAnswer } from './Types.js'

/** Messages that arrived together, and the replica that passed them on; undefined for this one. */
interface ReceivedMessages {
  readonly from: ReplicaId | undefined
  readonly messages: readonly ForwardedQuotaMessage[]
}

/** Step of the wall clock against the monotonic clock after which the process may have been suspended. */
const CLOCK_STEP_MS = 100

/**
 * Runs the `QuotaLedger` while this replica is the leader, and passes messages of its nodes to the leader otherwise.
 * Without workspaces that have a quota it does nothing.
 *
 * Memory: that of the ledger, the messages of `QUOTA_BATCH_MS`, and `MAX_DEFERRED_QUOTA_MESSAGES` while a leader that
 * was suspended asks whether it still leads.
 */
export class QuotaHost implements Disposable {
  private readonly _quotas = new Map<string, Quota>()
  private _workspaces: readonly Workspace[] | undefined
  private _ledger: { readonly term: number, readonly ledger: QuotaLedger } | undefined
  private _sightings: NodeSightings
  private _unsent: ForwardedQuotaMessage[] = []
  private _batchTimer: NodeJS.Timeout | undefined
  private _tickTimer: NodeJS.Timeout | undefined
  private _lastTickMs = -Infinity
  private _clockOffsetMs = 0
  /** Messages that wait until a quorum has confirmed that this replica leads; undefined while that is certain. */
  private _deferred: ReceivedMessages[] | undefined
  private _deferredCount = 0
  private _suspicions = 0

  /**
   * @param _replica Replica of this process.
   * @param _feed Connections to the nodes.
   */
  public constructor (
    private readonly _replica: RoutingReplica,
    private readonly _feed: NodeFeed,
    private readonly _clock: Clock,
    private readonly _log: Log
  ) {
    this._sightings = new NodeSightings(_clock.nowMs())
    _feed.onQuotaMessage(({ node, message }) => this._onNodeMessage(node, message))
    _replica.onQuotaFrame(frame => this._onReplicaFrame(frame))
    _replica.machine.onChange(() => this._updateQuotas())
    this._updateQuotas()
  }

  /** Stops the timers. */
  public dispose (): void {
    clearInterval(this._tickTimer)
    clearTimeout(this._batchTimer)
  }

  /** Most versions change no workspace. */
  private _updateQuotas (): void {
    const { workspaces } = this._replica.machine.store.inForce.configuration
    if (workspaces === this._workspaces) return
    this._workspaces = workspaces
    this._quotas.clear()
    for (const { name, ratePerS = 0, burst = 0 } of workspaces ?? []) {
      if (ratePerS > 0) this._quotas.set(name, { ratePerS, burst })
    }
    if (this._quotas.size === 0) {
      clearInterval(this._tickTimer)
      this._tickTimer = undefined
      this._ledger = undefined
    } else if (this._tickTimer === undefined) {
      this._lastTickMs = this._clock.nowMs()
      this._sightings = new NodeSightings(this._lastTickMs)
      this._clockOffsetMs = this._clock.wallMs() - this._lastTickMs
      this._tickTimer = setInterval(() => this._tick(), LEDGER_TICK_MS)
    }
  }

  private _onNodeMessage (node: NodeId, message: QuotaMessage): void {
    if (this._currentLedger() !== undefined) return this._decide({ from: undefined, messages: [{ node, message }] })
    this._unsent.push({ node, message })
    this._batchTimer ??= setTimeout(() => this._sendBatch(), QUOTA_BATCH_MS)
  }

  /** Without a leader, the messages are dropped: the nodes don't wait for an answer for long. */
  private _sendBatch (): void {
    this._batchTimer = undefined
    const messages = this._unsent
    this._unsent = []
    const { leader, id } = this._replica.view
    if (leader === id) this._decide({ from: undefined, messages })
    else if (leader !== undefined) this._replica.sendQuotaFrame(leader, { type: 'quotaForward', messages })
  }

  private _onReplicaFrame ({ from, frame }: ReceivedQuotaFrame): void {
    if (frame.type === 'quotaForward') this._decide({ from, messages: frame.messages })
    else if (frame.type === 'quotaCollect') this._feed.sendToNodes({ type: 'quotaAnswer', answer: frame.answer })
    else for (const { node, answer } of frame.answers) this._feed.sendToNode(node, { type: 'quotaAnswer', answer })
  }

  private _decide (received: ReceivedMessages): void {
    const ledger = this._currentLedger()
    if (ledger === undefined) return
    this._checkSuspension()
    if (this._deferred !== undefined) return this._defer(received)
    const answers: ReturnedQuotaAnswer[] = []
    for (const { node, message } of received.messages) this._step(ledger, { type: 'message', node, message }, answers)
    this._sendAnswers(received.from, answers)
  }

  private _tick (): void {
    const ledger = this._currentLedger()
    this._checkSuspension()
    this._lastTickMs = this._clock.nowMs()
    this._sightings.record(this._feed.directory.entries.map(({ node }) => node), this._lastTickMs)
    if (ledger !== undefined && this._deferred === undefined) this._step(ledger, { type: 'tick' }, [])
  }

  private _step (ledger: QuotaLedger, event: QuotaLedgerEvent, answers: ReturnedQuotaAnswer[]): void {
    for (const action of ledger.step(event, this._clock.nowMs())) this._carryOut(action, answers)
  }

  private _carryOut (action: QuotaLedgerAction, answers: ReturnedQuotaAnswer[]): void {
    const { answer } = action
    if (action.type === 'answer') answers.push({ node: action.node, answer })
    else {
      this._replica.broadcastQuotaFrame({ type: 'quotaCollect', answer })
      this._feed.sendToNodes({ type: 'quotaAnswer', answer })
    }
  }

  private _sendAnswers (to: ReplicaId | undefined, answers: readonly ReturnedQuotaAnswer[]): void {
    if (answers.length === 0) return
    if (to !== undefined) return this._replica.sendQuotaFrame(to, { type: 'quotaReturn', answers })
    for (const { node, answer } of answers) this._feed.sendToNode(node, { type: 'quotaAnswer', answer })
  }

  /** Returns the ledger while this replica leads; each term begins with a new one. */
  private _currentLedger (): QuotaLedger | undefined {
    const { role, term } = this._replica.view
    if (role !== 'leader' || this._quotas.size === 0) this._ledger = undefined
    else if (this._ledger?.term !== term) this._ledger = { term, ledger: this._makeLedger(term) }
    return this._ledger?.ledger
  }

  private _makeLedger (term: number): QuotaLedger {
    this._deferred = undefined
    this._deferredCount = 0
    this._suspicions++
    this._log.info({ term, workspaces: this._quotas.size }, 'granting the quotas')
    return new QuotaLedger({
      term,
      startedAtMs: this._clock.nowMs(),
      findQuota: workspace => this._quotas.get(workspace),
      isNewNode: (node, upMs) => this._sightings.isNew(node, upMs, this._clock.nowMs()),
      listNodes: () => this._feed.directory.entries.filter(({ state }) => state !== 'gone').map(({ node }) => node)
    })
  }

  /** Another leader may have been elected while this process stood still, so a quorum must confirm this one. */
  private _checkSuspension (): void {
    const nowMs = this._clock.nowMs()
    const offsetMs = this._clock.wallMs() - nowMs
    const isSuspected = nowMs - this._lastTickMs > QUOTA_CONFIRM_AFTER_MS ||
      Math.abs(offsetMs - this._clockOffsetMs) > CLOCK_STEP_MS
    this._clockOffsetMs = offsetMs
    if (!isSuspected || this._ledger === undefined) return
    this._lastTickMs = nowMs
    this._deferred ??= []
    const suspicion = ++this._suspicions
    this._replica.readBarrier()
      .then(isConfirmed => { if (suspicion === this._suspicions) this._endSuspension(isConfirmed) })
      .catch((error: Error) => this._log.warn({ error: error.message }, 'read failed'))
  }

  private _endSuspension (isConfirmed: boolean): void {
    const deferred = this._deferred ?? []
    // Without a confirmation the next suspicion asks again; a leader without a quorum steps down soon.
    this._deferred = undefined
    this._deferredCount = 0
    if (isConfirmed) deferred.forEach(received => this._decide(received))
    else this._lastTickMs = -Infinity
  }

  private _defer (received: ReceivedMessages): void {
    if (this._deferredCount >= MAX_DEFERRED_QUOTA_MESSAGES) return
    this._deferredCount += received.messages.length
    this._deferred!.push(received)
  }
}
