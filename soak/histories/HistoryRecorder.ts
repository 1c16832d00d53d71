import { Agent, type ClientRequest, request } from 'node:http'
import { PORTS } from '../Constants.js'
import { BUSY_DELAY_MS } from './Constants.js'
import type { AttemptRecord, ConfigurationDocument, History, ProbeRecord, ReadRecord } from './Types.js'

/** Time after which an order or a read has no clear answer, in milliseconds. Set by the platform. */
const CALL_TIMEOUT_MS = 1000

/** Timeout that a probe names, and the time until it is given up, in milliseconds. */
const PROBE_TIMEOUT_MS = 1500
const PROBE_LIMIT_MS = 2000

/** A process to call. */
export interface CallTarget {
  readonly name: string
  readonly host: string
  /** Number of starts of its process. */
  readonly incarnation: number
}

interface Answer {
  readonly status: number
  readonly body: string
}

/** Fields of a read's answer. */
interface ReadDocument extends ConfigurationDocument {
  readonly Version: string
}

/** Sends orders, reads and probes, and records them with their times and answers. */
export class HistoryRecorder {
  public readonly history: History
  private readonly _startMs = performance.now()
  private readonly _probes = new Map<string, ProbeRecord>()
  private readonly _agents = new Map<string, Agent>()
  private readonly _delayTimer: NodeJS.Timeout

  /** @param seed Seed of the run. */
  public constructor (seed: number) {
    this.history = {
      seed, processes: [], disturbances: [], delays: [], ends: [], orders: [], attempts: [], reads: [], probes: []
    }
    let checkedAtMs = this.nowMs()
    this._delayTimer = setInterval(() => {
      const nowMs = this.nowMs()
      if (nowMs - checkedAtMs > BUSY_DELAY_MS * 5 / 4) this.history.delays.push({ fromMs: checkedAtMs, toMs: nowMs })
      checkedAtMs = nowMs
    }, BUSY_DELAY_MS / 4)
  }

  /** Milliseconds since the start of the history. */
  public nowMs (): number {
    return performance.now() - this._startMs
  }

  /** Sends the bytes of an order once. */
  public async sendOrder (order: number, path: string, bytes: Buffer, target: CallTarget): Promise<AttemptRecord> {
    const sent = { order, process: target.name, sentAtMs: this.nowMs() }
    const answer = await this._call({ host: target.host, port: PORTS.control, method: 'POST', path, headers: { 'content-type': 'application/json' } }, CALL_TIMEOUT_MS, bytes)
    const attempt = answer === undefined ? sent : { ...sent, answeredAtMs: this.nowMs(), status: answer.status }
    this.history.attempts.push(attempt)
    return attempt
  }

  /** Reads the configuration once. */
  public async read (target: CallTarget): Promise<ReadRecord> {
    const sent = { process: target.name, incarnation: target.incarnation, sentAtMs: this.nowMs() }
    const answer = await this._call({ host: target.host, port: PORTS.control, method: 'GET', path: '/api/Config.Get' }, CALL_TIMEOUT_MS)
    const read = answer === undefined ? sent : { ...sent, answeredAtMs: this.nowMs(), ...decodeRead(answer) }
    this.history.reads.push(read)
    return read
  }

  /** Sends a request to a node, on a connection that is kept or on a new one. */
  public async probe (target: CallTarget, host: string, path: string, isKept: boolean): Promise<void> {
    const { name: process, incarnation } = target
    const probe: ProbeRecord = { process, incarnation, isKept, host, path, sentAtMs: this.nowMs(), runs: [] }
    const id = `h${this.history.probes.length}`
    this._probes.set(id, probe)
    this.history.probes.push(probe)
    const headers = { host, 'x-request-id': id, 'x-deadline-ms': String(PROBE_TIMEOUT_MS) }
    const agent = isKept ? this._agentOf(target.host) : false
    const answer = await this._call({ host: target.host, port: PORTS.callers, method: 'GET', path, headers, agent }, PROBE_LIMIT_MS)
    if (answer === undefined) return
    probe.answeredAtMs = this.nowMs()
    probe.status = answer.status
  }

  /** Records that an instance began to run a request. */
  public recordRun (id: string, service: string): void {
    this._probes.get(id)?.runs.push({ service, atMs: this.nowMs() })
  }

  /** Records the start of a disturbance and returns what ends it. */
  public disturb (process: string, kind: string): () => void {
    const disturbance = { process, kind, fromMs: this.nowMs(), toMs: null as number | null }
    this.history.disturbances.push(disturbance)
    return () => { disturbance.toMs = this.nowMs() }
  }

  /** Closes all connections and stops watching the event loop. */
  public dispose (): void {
    clearInterval(this._delayTimer)
    for (const agent of this._agents.values()) agent.destroy()
  }

  private _agentOf (host: string): Agent {
    const agent = this._agents.get(host) ?? new Agent({ keepAlive: true, maxSockets: 1 })
    this._agents.set(host, agent)
    return agent
  }

  /** Resolves with undefined when there is no complete answer in time; the connection is closed then. */
  private async _call (options: object, limitMs: number, body?: Buffer): Promise<Answer | undefined> {
    return await new Promise(resolve => {
      const call: ClientRequest = request({ agent: false, ...options }, answer => {
        const chunks: Buffer[] = []
        answer.on('data', (chunk: Buffer) => chunks.push(chunk))
        answer.on('error', () => finish(undefined))
        answer.on('close', () => finish(answer.complete ? { status: answer.statusCode ?? 0, body: Buffer.concat(chunks).toString() } : undefined))
      })
      const timer = setTimeout(() => {
        finish(undefined)
        call.destroy()
      }, limitMs)
      const finish = (answer: Answer | undefined): void => {
        clearTimeout(timer)
        resolve(answer)
      }
      call.on('error', () => finish(undefined))
      call.end(body)
    })
  }
}

function decodeRead ({ status, body }: Answer): Pick<ReadRecord, 'status' | 'version' | 'document'> {
  if (status !== 200) return { status }
  const { Version, Routes, Services, Limits } = JSON.parse(body) as ReadDocument
  return { status, version: Version.slice(1), document: { Routes, Services, Limits } }
}
