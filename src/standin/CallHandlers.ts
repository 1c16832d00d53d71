import { createHash } from 'node:crypto'
import type { Disposable } from '../runtime/Types.js'
import { ChainEndpoint } from './ChainEndpoint.js'
import type { ChainAnswer } from './ChainEndpoint.js'
import { DownloadEndpoint } from './DownloadEndpoint.js'
import type { RequestRun } from './RequestRun.js'
import type { ServiceTime } from './ServiceTime.js'
import type { TestUpstreamSettings } from './TestUpstreamSettings.js'
import type { Behaviour } from './Types.js'

/** Answers one kind of call. Resolves to the status that was sent, 0 when none could be sent. */
export type CallHandler = (run: RequestRun, runNumber: number) => Promise<number>

/** Handlers of the calls that a test upstream answers, by the first segment of the path. */
export class CallHandlers implements Disposable {
  private readonly _settings: TestUpstreamSettings
  private readonly _behaviour: Behaviour
  private readonly _times: ServiceTime
  private readonly _isSilent: (run: RequestRun) => boolean
  private readonly _chain: ChainEndpoint
  private readonly _downloads: DownloadEndpoint

  private readonly _handlers: Readonly<Record<string, CallHandler>> = {
    lookups: (run, runNumber) => this._handleLookup(run, runNumber),
    menus: (run, runNumber) => this._handleLookup(run, runNumber),
    checkouts: (run, runNumber) => this._handleCheckout(run, runNumber),
    orders: (run, runNumber) => this._handleCheckout(run, runNumber),
    downloads: run => this._downloads.send(run),
    chain: (run, runNumber) => this._handleChain(run, runNumber)
  }

  /**
   * @param settings Settings of the service.
   * @param behaviour Behaviour that may change while the process runs.
   * @param times Service times of the runs.
   * @param isSilent Whether the connection of a run was made silent and must send nothing more.
   */
  public constructor (
    settings: TestUpstreamSettings,
    behaviour: Behaviour,
    times: ServiceTime,
    isSilent: (run: RequestRun) => boolean
  ) {
    this._settings = settings
    this._behaviour = behaviour
    this._times = times
    this._isSilent = isSilent
    this._chain = new ChainEndpoint(settings)
    this._downloads = new DownloadEndpoint(isSilent)
  }

  /**
   * Returns the handler of a request, or undefined when its path has none.
   * @param run The request.
   */
  public findHandler (run: RequestRun): CallHandler | undefined {
    return this._handlers[run.segments[0] ?? '']
  }

  /** Closes the connections to the node. */
  public dispose (): void {
    this._chain.dispose()
  }

  private async _handleLookup (run: RequestRun, runNumber: number): Promise<number> {
    const done = await run.work(this._nextServiceMs(run), run.ended)
    if (!done) return this._answerDeadlineExceeded(run)
    return this._answerWithEcho(run, runNumber, 'lookup', {})
  }

  /** Runs a checkout to its end even when its caller disconnects or its deadline passes. */
  private async _handleCheckout (run: RequestRun, runNumber: number): Promise<number> {
    const body = await run.body()
    await run.work(this._nextServiceMs(run), undefined)
    const bodyDigest = createHash('sha256').update(body).digest('hex')
    return this._answerWithEcho(run, runNumber, 'checkout', { bodyBytes: body.length, bodyDigest })
  }

  private async _handleChain (run: RequestRun, runNumber: number): Promise<number> {
    const done = await run.work(this._nextServiceMs(run), run.ended)
    if (!done) return this._answerDeadlineExceeded(run)
    const next = await this._chain.call(run)
    if (next !== undefined && next.status !== 200) return this._answerChainFailure(run, next)
    const depth = Number(run.header('sassafras-depth') || 0)
    return this._answerWithEcho(run, runNumber, 'chain', { depth, ...(next === undefined ? {} : { next }) })
  }

  private _answerWithEcho (run: RequestRun, runNumber: number, call: string, extraFields: object): number {
    if (run.cancelled.aborted || this._isSilent(run)) return 0
    run.answer(200, {
      service: this._settings.service,
      instance: this._settings.instance,
      call,
      id: run.segments[1] ?? '',
      requestId: run.header('x-request-id'),
      key: run.header('idempotency-key'),
      run: runNumber,
      ...extraFields
    })
    return 200
  }

  /** Passes `Retry-After` of a failed nested call up the chain, because only the first caller retries the chain. */
  private _answerChainFailure (run: RequestRun, next: ChainAnswer): number {
    if (run.cancelled.aborted || this._isSilent(run)) return 0
    if (next.retryAfter !== '') run.response.setHeader('retry-after', next.retryAfter)
    run.answer(503, { problem: 'the next service did not answer', next })
    return 503
  }

  private _answerDeadlineExceeded (run: RequestRun): number {
    if (run.cancelled.aborted || this._isSilent(run)) return 0
    run.answer(504, { problem: 'deadline passed while the request ran' })
    return 504
  }

  private _nextServiceMs (run: RequestRun): number {
    const requestedMs = Number(run.url.searchParams.get('ms') ?? Number.NaN)
    return requestedMs >= 0 ? requestedMs : this._times.nextMs(this._behaviour.slowFactor)
  }
}
