import type { Random } from '../../src/parts/Types.js'
import type { CallTarget, HistoryRecorder } from './HistoryRecorder.js'
import type { KnownConfiguration, OrderGenerator, PreparedOrder } from './OrderGenerator.js'
import { isRefusal } from './OrderOutcomes.js'

/** First and longest pause before an order is sent to another process, in milliseconds; it doubles. */
const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 800

/** Time after which an order without a clear answer is given up, in milliseconds. */
const ORDER_LIMIT_MS = 9000

/** Longest pause between two orders of one operator, in milliseconds. */
const MAX_PAUSE_MS = 900

/** Most orders that are in progress at once. Set by the platform. */
const MAX_ORDERS = 8

/** Acknowledged orders that are kept to be sent again. */
const MAX_KEPT_ORDERS = 200

/** What the operator does next, with its relative frequency. */
const MOVES = { change: 6, race: 2, sameNumber: 2, invalid: 3, resend: 3, ahead: 2 } as const

type Move = keyof typeof MOVES

/** Several operators that share what they have learned of the configuration. */
export class HistoryOperator {
  private _known: KnownConfiguration | undefined
  private readonly _acknowledged: PreparedOrder[] = []
  private readonly _ackListeners = new Set<() => void>()
  private _inProgress = 0
  private _isStopped = false

  private readonly _moves: Readonly<Record<Move, (known: KnownConfiguration) => Promise<unknown>>> = {
    change: async known => await this._send(this._generator.valid(known)),
    race: async known => await this._sendAll(this._generator.valid(known), this._generator.valid(known)),
    sameNumber: async known => {
      const first = this._generator.valid(known)
      await this._sendAll(first, this._generator.valid(known, first.result.version))
    },
    invalid: async known => await this._send(this._generator.invalid(known)),
    resend: async known => {
      const order = this._pick(this._acknowledged)
      await this._send(order ?? this._generator.valid(known))
    },
    ahead: async known => {
      const first = this._generator.valid(known)
      await this._sendAll(first, this._generator.valid(first.result))
    }
  }

  /**
   * @param _recorder Sends and records the calls.
   * @param _generator Draws the orders.
   * @param _random Source of all choices.
   * @param _targets Returns the processes that the operator knows, some of which may not run.
   */
  public constructor (
    private readonly _recorder: HistoryRecorder,
    private readonly _generator: OrderGenerator,
    private readonly _random: Random,
    private readonly _targets: () => readonly CallTarget[]
  ) {}

  /** Newest configuration that was acknowledged or read; undefined before the first. */
  public get known (): KnownConfiguration | undefined {
    return this._known
  }

  /** Sends the first configuration until it is acknowledged; returns whether it was within the limit. */
  public async start (limitMs: number): Promise<boolean> {
    await this._send(this._generator.first(), limitMs)
    return this._known !== undefined
  }

  /** Sends orders until `stop` is called. */
  public async run (): Promise<void> {
    while (!this._isStopped) {
      await this._pause(MAX_PAUSE_MS * this._random.next())
      if (this._known === undefined || this._inProgress + 2 > MAX_ORDERS) continue
      await this._moves[this._drawMove()](this._known)
    }
  }

  /** Sends one valid order. */
  public async change (): Promise<void> {
    if (this._known !== undefined) await this._send(this._generator.valid(this._known))
  }

  /** Reads the configuration at one process and learns from the answer. */
  public async read (target: CallTarget): Promise<boolean> {
    const { version, document } = await this._recorder.read(target)
    if (version === undefined || document === undefined) return false
    this._learn({ version: BigInt(version), document })
    return true
  }

  /** Makes `run` end once the orders in progress have. */
  public stop (): void {
    this._isStopped = true
  }

  /** Resolves at the next acknowledgement, or when a time is over. */
  public async nextAcknowledgement (limitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const listener = (): void => {
        clearTimeout(timer)
        this._ackListeners.delete(listener)
        resolve()
      }
      const timer = setTimeout(listener, limitMs)
      this._ackListeners.add(listener)
    })
  }

  private async _sendAll (...orders: readonly PreparedOrder[]): Promise<void> {
    await Promise.all(orders.map(async order => await this._send(order)))
  }

  /** Sends an order to one process after the other until it has a clear answer. */
  private async _send (order: PreparedOrder, limitMs = ORDER_LIMIT_MS): Promise<void> {
    const { record, path, bytes } = order
    if (!this._recorder.history.orders.includes(record)) this._recorder.history.orders.push(record)
    this._inProgress++
    const untilMs = this._recorder.nowMs() + limitMs
    let backoffMs = FIRST_BACKOFF_MS
    while (this._recorder.nowMs() < untilMs) {
      const attempt = await this._recorder.sendOrder(record.id, path, bytes, this._pick(this._targets()) as CallTarget)
      if (attempt.status === 200) this._acknowledge(order)
      if (attempt.status === 200 || isRefusal(attempt)) break
      await this._pause(backoffMs)
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS)
    }
    this._inProgress--
  }

  private _acknowledge (order: PreparedOrder): void {
    this._learn(order.result)
    if (!this._acknowledged.includes(order)) this._acknowledged.push(order)
    if (this._acknowledged.length > MAX_KEPT_ORDERS) this._acknowledged.shift()
    for (const listener of this._ackListeners) listener()
  }

  private _learn (configuration: KnownConfiguration): void {
    if (this._known === undefined || configuration.version > this._known.version) this._known = configuration
  }

  private _drawMove (): Move {
    let remaining = this._random.next() * Object.values(MOVES).reduce((sum, weight) => sum + weight, 0)
    for (const [move, weight] of Object.entries(MOVES) as Array<[Move, number]>) {
      remaining -= weight
      if (remaining < 0) return move
    }
    return 'change'
  }

  private _pick<Item> (items: readonly Item[]): Item | undefined {
    return items[Math.floor(items.length * this._random.next())]
  }

  private async _pause (ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms))
  }
}
