import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { SeededRandom } from '../parts/SeededRandom.js'
import { parseAddress } from '../platform/Address.js'
import type { Disposable } from '../platform/Types.js'
import type { Journal } from './Journal.js'
import { LoadReport } from './LoadReport.js'
import { Run } from './Run.js'
import { ServiceTime } from './ServiceTime.js'
import { SlotPool } from './SlotPool.js'
import { StandinCalls } from './StandinCalls.js'
import type { CallHandler } from './StandinCalls.js'
import type { StandinSettings } from './StandinSettings.js'
import type { Behaviour, RunEnd, StandinCounts } from './Types.js'

/** Status with which a process ends that a marked request crashes. */
export const CRASH_EXIT_CODE = 70

const HTTP_KEEP_ALIVE_MS = 75_000
const SHED_RETRY_AFTER_S = 1

/**
 * The HTTP side of a stand-in. Runs at most `slots` requests at once and journals each run at its start
 * and at its end. Memory is bounded by the connections and the queue.
 */
export class StandinServer implements Disposable {
  public readonly behaviour: Behaviour
  private readonly settings: StandinSettings
  private readonly journal: Journal
  private readonly server: Server
  private readonly pool: SlotPool
  private readonly report: LoadReport
  private readonly calls: StandinCalls
  private readonly random: SeededRandom
  private readonly sockets = new Set<Socket>()
  private readonly silent = new WeakSet<Socket>()
  private runs = 0
  private sheds = 0
  private open = 0
  private draining = false
  private lastBusyMs = performance.now()

  /**
   * @param settings Shape of the service.
   * @param journal Where runs are written.
   */
  public constructor (settings: StandinSettings, journal: Journal) {
    this.settings = settings
    this.journal = journal
    this.behaviour = { slowFactor: 1, shedShare: settings.shed.share }
    this.random = new SeededRandom(settings.seed)
    this.pool = new SlotPool(settings.slots, settings.queue)
    this.report = new LoadReport(settings.load)
    const times = new ServiceTime(settings.serviceTime, settings.coldStart, this.random)
    this.calls = new StandinCalls(settings, this.behaviour, times, run => this.silent.has(run.request.socket))
    this.server = createServer((request, response) => { this.accept(request, response) })
    this.server.keepAliveTimeout = HTTP_KEEP_ALIVE_MS
    this.server.maxConnections = settings.connections
    this.server.on('connection', socket => { this.watch(socket) })
  }

  /** What the service does now and has done. */
  public get counts (): StandinCounts {
    return { inFlight: this.pool.inFlight, queued: this.pool.queued, runs: this.runs, sheds: this.sheds }
  }

  /** Open connections of clients. */
  public get connections (): number {
    return this.sockets.size
  }

  /** Milliseconds since the last request was open; 0 while one is. */
  public get quietMs (): number {
    return this.open > 0 ? 0 : performance.now() - this.lastBusyMs
  }

  /**
   * Starts to listen.
   * @param address `host:port`; port 0 takes a free one.
   * @returns The address in use.
   */
  public async listen (address: string): Promise<string> {
    const { host, port } = parseAddress(address)
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const bound = this.server.address()
    return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address
  }

  /**
   * Makes open connections go silent: they stay open, and nothing more is read from or written to them.
   * @param count How many, the oldest first.
   * @returns How many went silent.
   */
  public silence (count: number): number {
    const chosen = [...this.sockets].filter(socket => !this.silent.has(socket)).slice(0, count)
    for (const socket of chosen) this.silent.add(socket)
    return chosen.length
  }

  /** Notes the start of a drain; requests that still come are run, and their connections close after them. */
  public startDrain (): void {
    this.draining = true
    this.journal.write({ event: 'drain', atMs: Date.now(), process: process.pid, inFlight: this.pool.inFlight })
  }

  /** Ends the listener and all connections. */
  public dispose (): void {
    this.server.close()
    this.server.closeAllConnections()
    this.calls.dispose()
  }

  private watch (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => { this.sockets.delete(socket) })
  }

  private accept (request: IncomingMessage, response: ServerResponse): void {
    if (this.silent.has(request.socket)) return
    this.open++
    response.once('close', () => {
      this.open--
      this.lastBusyMs = performance.now()
    })
    const run = new Run(request, response)
    this.serve(run).catch(() => { response.destroy() })
  }

  private async serve (run: Run): Promise<void> {
    if (this.draining) run.response.setHeader('connection', 'close')
    if (run.url.pathname === '/load') {
      run.answer(200, this.report.tell(this.load(), performance.now()) ?? {})
      return
    }
    const handler = this.calls.handlerOf(run)
    if (handler === undefined) {
      run.answer(404, { problem: `no such call: ${run.request.method} ${run.url.pathname}` })
      return
    }
    if (this.random.next() < this.behaviour.shedShare || await this.pool.acquire(run.ended) !== undefined) {
      this.shed(run)
      return
    }
    try {
      await this.runHandler(handler, run)
    } finally {
      this.pool.release()
      this.noteLoad()
    }
  }

  private async runHandler (handler: CallHandler, run: Run): Promise<void> {
    const number = ++this.runs
    this.noteLoad()
    this.writeStart(run, number)
    if (run.header('x-crash') === '1') process.exit(CRASH_EXIT_CODE)
    this.tellLoad(run)
    let status = 0
    let broken = false
    try {
      status = await handler(run, number)
    } catch {
      broken = true
      run.response.destroy()
    }
    const outcome = broken ? 'undelivered' : outcomeOf(run, status)
    this.journal.write({ event: 'end', atMs: Date.now(), run: number, process: process.pid, outcome, status })
  }

  /** Refuses a request that has not run; only this answer carries the header that proves it. */
  private shed (run: Run): void {
    this.sheds++
    if (run.cancelled.aborted) return
    run.response.setHeader('sassafras-shed', 'not-run')
    run.response.setHeader('retry-after', SHED_RETRY_AFTER_S)
    this.tellLoad(run)
    run.answer(503, { problem: 'shed, not run', service: this.settings.service })
  }

  private load (): { inFlight: number, queued: number } {
    return { inFlight: this.pool.inFlight, queued: this.pool.queued }
  }

  private noteLoad (): void {
    this.report.record(this.load(), performance.now())
  }

  private tellLoad (run: Run): void {
    const load = this.report.tell(this.load(), performance.now())
    if (load === undefined) return
    run.response.setHeader('sassafras-load', `inFlight=${load.inFlight},queued=${load.queued}`)
  }

  private writeStart (run: Run, number: number): void {
    this.journal.write({
      event: 'start',
      atMs: Date.now(),
      run: number,
      process: process.pid,
      service: this.settings.service,
      instance: this.settings.instance,
      method: run.request.method ?? '',
      target: run.request.url ?? '',
      requestId: run.header('x-request-id'),
      key: run.header('idempotency-key'),
      call: run.header('sassafras-call')
    })
  }
}

function outcomeOf (run: Run, status: number): RunEnd {
  if (run.cancelled.aborted) return 'cancelled'
  if (status === 0) return 'undelivered'
  return status === 504 ? 'deadline' : 'answered'
}
