import { createHash } from 'node:crypto'
import type { Disposable } from '../runtime/Types.js'
import { ChainEndpoint } from './ChainEndpoint.js'
import type { ChainLink } from './ChainEndpoint.js'
import { DownloadEndpoint } from './DownloadEndpoint.js'
import type { Run } from './Run.js'
import type { ServiceTime } from './ServiceTime.js'
import type { StandinSettings } from './StandinSettings.js'
import type { Behaviour } from './Types.js'

/** Answers one kind of call and returns the status that was sent; 0 when nothing could be sent. */
export type CallHandler = (run: Run, number: number) => Promise<number>

/** The calls that a stand-in answers, by the first segment of the path. */
export class StandinCalls implements Disposable {
  private readonly _settings: StandinSettings
  private readonly _behaviour: Behaviour
  private readonly _times: ServiceTime
  private readonly _isSilent: (run: Run) => boolean
  private readonly _chain: ChainEndpoint
  private readonly _downloads: DownloadEndpoint

  private readonly _handlers: Readonly<Record<string, CallHandler>> = {
    lookups: (run, number) => this._lookUp(run, number),
    menus: (run, number) => this._lookUp(run, number),
    checkouts: (run, number) => this._checkOut(run, number),
    orders: (run, number) => this._checkOut(run, number),
    downloads: run => this._downloads.send(run),
    chain: (run, number) => this._callChain(run, number)
  }

  /**
   * @param settings Shape of the service.
   * @param behaviour What may change while the process runs.
   * @param times How long runs take.
   * @param isSilent Whether the connection of a run must send nothing any more.
   */
  public constructor (
    settings: StandinSettings,
    behaviour: Behaviour,
    times: ServiceTime,
    isSilent: (run: Run) => boolean
  ) {
    this._settings = settings
    this._behaviour = behaviour
    this._times = times
    this._isSilent = isSilent
    this._chain = new ChainEndpoint(settings)
    this._downloads = new DownloadEndpoint(isSilent)
  }

  /**
   * Returns what answers a call, or undefined when the service has no such call.
   * @param run The call.
   */
  public handlerOf (run: Run): CallHandler | undefined {
    return this._handlers[run.segments[0] ?? '']
  }

  /** Closes connections to other services. */
  public dispose (): void {
    this._chain.dispose()
  }

  private async _lookUp (run: Run, number: number): Promise<number> {
    const done = await run.work(this._nextServiceMs(run), run.ended)
    if (!done) return this._answerLate(run)
    return this._answerOwn(run, number, 'lookup', {})
  }

  /** A checkout that has started is finished, whatever becomes of its caller. */
  private async _checkOut (run: Run, number: number): Promise<number> {
    const body = await run.body()
    await run.work(this._nextServiceMs(run), undefined)
    const bodyDigest = createHash('sha256').update(body).digest('hex')
    return this._answerOwn(run, number, 'checkout', { bodyBytes: body.length, bodyDigest })
  }

  private async _callChain (run: Run, number: number): Promise<number> {
    const done = await run.work(this._nextServiceMs(run), run.ended)
    if (!done) return this._answerLate(run)
    const next = await this._chain.call(run)
    if (next !== undefined && next.status !== 200) return this._answerBroken(run, next)
    const depth = Number(run.header('sassafras-depth') || 0)
    return this._answerOwn(run, number, 'chain', { depth, ...(next === undefined ? {} : { next }) })
  }

  private _answerOwn (run: Run, number: number, call: string, more: object): number {
    if (run.cancelled.aborted || this._isSilent(run)) return 0
    run.answer(200, {
      service: this._settings.service,
      instance: this._settings.instance,
      call,
      id: run.segments[1] ?? '',
      requestId: run.header('x-request-id'),
      key: run.header('idempotency-key'),
      run: number,
      ...more
    })
    return 200
  }

  /** A chain that broke further down may be asked for again from its top, where alone it is retried. */
  private _answerBroken (run: Run, next: ChainLink): number {
    if (run.cancelled.aborted || this._isSilent(run)) return 0
    if (next.retryAfter !== '') run.response.setHeader('retry-after', next.retryAfter)
    run.answer(503, { problem: 'the next service did not answer', next })
    return 503
  }

  private _answerLate (run: Run): number {
    if (run.cancelled.aborted || this._isSilent(run)) return 0
    run.answer(504, { problem: 'deadline passed while the request ran' })
    return 504
  }

  private _nextServiceMs (run: Run): number {
    const asked = Number(run.url.searchParams.get('ms') ?? Number.NaN)
    return asked >= 0 ? asked : this._times.nextMs(this._behaviour.slowFactor)
  }
}
