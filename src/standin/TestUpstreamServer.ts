import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { SeededRandom } from '../parts/SeededRandom.js'
import { parseAddress } from '../runtime/Address.js'
import type { Disposable } from '../runtime/Types.js'
import type { Journal } from './Journal.js'
import { LoadReporter } from './LoadReporter.js'
import { RequestRun } from './RequestRun.js'
import { ServiceTime } from './ServiceTime.js'
import { SlotPool } from './SlotPool.js'
import { CallHandlers } from './CallHandlers.js'
import type { CallHandler } from './CallHandlers.js'
import type { TestUpstreamSettings } from './TestUpstreamSettings.js'
import type { Behaviour, RunOutcome, TestUpstreamCounts } from './Types.js'

/** Exit code of a process that a request with `X-Crash: 1` crashes. */
export const CRASH_EXIT_CODE = 70

const HTTP_KEEP_ALIVE_MS = 75_000
const SHED_RETRY_AFTER_S = 1

/**
 * The HTTP server of a test upstream. Runs at most `slots` requests at once and journals each run at its start and its
 * end. Memory is bounded by the limits of connections and of the queue.
 */
export class TestUpstreamServer implements Disposable {
  public readonly behaviour: Behaviour
  private readonly _settings: TestUpstreamSettings
  private readonly _journal: Journal
  private readonly _server: Server
  private readonly _pool: SlotPool
  private readonly _loadReporter: LoadReporter
  private readonly _handlers: CallHandlers
  private readonly _random: SeededRandom
  private readonly _sockets = new Set<Socket>()
  private readonly _silent = new WeakSet<Socket>()
  private _runs = 0
  private _sheds = 0
  private _openRequests = 0
  private _draining = false
  private _lastBusyMs = performance.now()

  /**
   * @param settings Settings of the service.
   * @param journal Journal of the runs.
   */
  public constructor (settings: TestUpstreamSettings, journal: Journal) {
    this._settings = settings
    this._journal = journal
    this.behaviour = { slowFactor: 1, shedShare: settings.shed.share }
    this._random = new SeededRandom(settings.seed)
    this._pool = new SlotPool(settings.slots, settings.queue)
    this._loadReporter = new LoadReporter(settings.load)
    const times = new ServiceTime(settings.serviceTime, settings.coldStart, this._random)
    this._handlers = new CallHandlers(settings, this.behaviour, times, run => this._silent.has(run.request.socket))
    this._server = createServer((request, response) => { this._accept(request, response) })
    this._server.keepAliveTimeout = HTTP_KEEP_ALIVE_MS
    this._server.maxConnections = settings.connections
    this._server.on('connection', socket => { this._trackSocket(socket) })
  }

  /** Current load, and totals since the start. */
  public get counts (): TestUpstreamCounts {
    return { inFlight: this._pool.inFlight, queued: this._pool.queued, runs: this._runs, sheds: this._sheds }
  }

  /** Number of open client connections. */
  public get connections (): number {
    return this._sockets.size
  }

  /** Milliseconds since the last request ended; 0 while a request is open. */
  public get idleMs (): number {
    return this._openRequests > 0 ? 0 : performance.now() - this._lastBusyMs
  }

  /**
   * Starts to listen.
   * @param address `host:port`; port 0 takes a free port.
   * @returns The bound address.
   */
  public async listen (address: string): Promise<string> {
    const { host, port } = parseAddress(address)
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, resolve)
    })
    const bound = this._server.address()
    return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address
  }

  /**
   * Makes open connections silent: they stay open, but new requests are ignored and no answer is written.
   * @param count Number of connections, the oldest first.
   * @returns How many were made silent.
   */
  public silence (count: number): number {
    const chosen = [...this._sockets].filter(socket => !this._silent.has(socket)).slice(0, count)
    for (const socket of chosen) this._silent.add(socket)
    return chosen.length
  }

  /** Starts a drain. New requests still run, and their connections close after the answer. */
  public startDrain (): void {
    this._draining = true
    this._journal.write({ event: 'drain', atMs: Date.now(), process: process.pid, inFlight: this._pool.inFlight })
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    this._server.close()
    this._server.closeAllConnections()
    this._handlers.dispose()
  }

  private _trackSocket (socket: Socket): void {
    this._sockets.add(socket)
    socket.once('close', () => { this._sockets.delete(socket) })
  }

  private _accept (request: IncomingMessage, response: ServerResponse): void {
    if (this._silent.has(request.socket)) return
    this._openRequests++
    response.once('close', () => {
      this._openRequests--
      this._lastBusyMs = performance.now()
    })
    const run = new RequestRun(request, response)
    this._serve(run).catch(() => { response.destroy() })
  }

  private async _serve (run: RequestRun): Promise<void> {
    if (this._draining) run.response.setHeader('connection', 'close')
    if (run.url.pathname === '/load') {
      run.answer(200, this._loadReporter.report(this._load(), performance.now()) ?? {})
      return
    }
    const handler = this._handlers.findHandler(run)
    if (handler === undefined) {
      run.answer(404, { problem: `no such call: ${run.request.method} ${run.url.pathname}` })
      return
    }
    if (this._random.next() < this.behaviour.shedShare || await this._pool.acquire(run.ended) !== undefined) {
      this._shed(run)
      return
    }
    try {
      await this._runHandler(handler, run)
    } finally {
      this._pool.release()
      this._recordLoad()
    }
  }

  private async _runHandler (handler: CallHandler, run: RequestRun): Promise<void> {
    const runNumber = ++this._runs
    this._recordLoad()
    this._writeStart(run, runNumber)
    if (run.header('x-crash') === '1') process.exit(CRASH_EXIT_CODE)
    this._setLoadHeader(run)
    let status = 0
    let handlerFailed = false
    try {
      status = await handler(run, runNumber)
    } catch {
      handlerFailed = true
      run.response.destroy()
    }
    const outcome = handlerFailed ? 'undelivered' : classifyOutcome(run, status)
    this._journal.write({ event: 'end', atMs: Date.now(), run: runNumber, process: process.pid, outcome, status })
  }

  /** Sheds a request before it runs. Only this answer carries the header that proves that the request did not run. */
  private _shed (run: RequestRun): void {
    this._sheds++
    if (run.cancelled.aborted) return
    run.response.setHeader('sassafras-shed', 'not-run')
    run.response.setHeader('retry-after', SHED_RETRY_AFTER_S)
    this._setLoadHeader(run)
    run.answer(503, { problem: 'shed, not run', service: this._settings.service })
  }

  private _load (): { inFlight: number, queued: number } {
    return { inFlight: this._pool.inFlight, queued: this._pool.queued }
  }

  private _recordLoad (): void {
    this._loadReporter.record(this._load(), performance.now())
  }

  private _setLoadHeader (run: RequestRun): void {
    const load = this._loadReporter.report(this._load(), performance.now())
    if (load === undefined) return
    run.response.setHeader('sassafras-load', `inFlight=${load.inFlight},queued=${load.queued}`)
  }

  private _writeStart (run: RequestRun, runNumber: number): void {
    this._journal.write({
      event: 'start',
      atMs: Date.now(),
      run: runNumber,
      process: process.pid,
      service: this._settings.service,
      instance: this._settings.instance,
      method: run.request.method ?? '',
      target: run.request.url ?? '',
      requestId: run.header('x-request-id'),
      key: run.header('idempotency-key'),
      call: run.header('sassafras-call')
    })
  }
}

function classifyOutcome (run: RequestRun, status: number): RunOutcome {
  if (run.cancelled.aborted) return 'cancelled'
  if (status === 0) return 'undelivered'
  return status === 504 ? 'deadline' : 'answered'
}
