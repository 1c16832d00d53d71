import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { PORTS } from '../Constants.js'
import type { Random } from '../../src/parts/Types.js'

/** How a request ended for its caller: a whole answer, a refusal or a failure of the node, or none that was whole. */
export type StopEnding = 'whole' | 'refused' | 'failed' | 'cut'

/** One request of a caller. */
export interface StopRequest {
  readonly id: string
  readonly path: string
  readonly sentAtMs: number
  /** True when its connection had been used before. */
  readonly isKept: boolean
  endedAtMs: number
  ending: StopEnding
  status: number
  /** Bytes of the answer that arrived, and how many its head announces. */
  receivedBytes: number
  announcedBytes: number
}

/** What a caller asks for. */
export interface StopTraffic {
  /** Longest work of an instance, in milliseconds, and size of the largest answers in bytes. */
  readonly workMs: number
  readonly answerBytes: number
  /** Longest pause between two requests, in milliseconds. */
  readonly pauseMs: number
  /** Time for which a slow reader reads an answer, in milliseconds. */
  readonly readMs: number
}

/** Bytes that a slow reader takes at once. */
const SLOW_CHUNKS = 20

/** Deadline of a request, in milliseconds. */
export const DEADLINE_MS = 2500

/** A caller that sends one request after the other on a connection for as long as that stays open. */
export class StopCaller {
  private _socket: Socket | undefined
  private _count = 0
  private _isStopped = false

  /**
   * @param _host Address of the machine of the caller.
   * @param _requests Receives all requests.
   */
  public constructor (
    private readonly _name: string,
    private readonly _host: string,
    private readonly _random: Random,
    private readonly _traffic: StopTraffic,
    private readonly _requests: StopRequest[]
  ) {}

  /** Sends requests until it is stopped. */
  public async run (): Promise<void> {
    while (!this._isStopped) {
      const isWhole = await this._send()
      await new Promise(resolve => setTimeout(resolve, isWhole ? this._random.next() * this._traffic.pauseMs : 20))
    }
    this._socket?.destroy()
  }

  /** Sends no further request. */
  public stop (): void {
    this._isStopped = true
  }

  private async _connect (): Promise<Socket | undefined> {
    return await new Promise(resolve => {
      const socket = connect(PORTS.callers, this._host)
      socket.once('connect', () => resolve(socket))
      socket.once('error', () => resolve(undefined))
      socket.on('error', () => {})
    })
  }

  private async _send (): Promise<boolean> {
    const isKept = this._socket !== undefined && !this._socket.destroyed && !this._socket.readableEnded
    if (!isKept) this._socket = await this._connect()
    const socket = this._socket
    if (socket === undefined) return false
    const id = `${this._name}-${++this._count}`
    const draw = this._random.next()
    const { workMs, answerBytes } = this._traffic
    const bytes = draw < 0.15 ? answerBytes : 1500
    const flags = draw > 0.8 ? 'n' : draw > 0.75 ? 'e' : '-'
    const path = `/work/${Math.floor(this._random.next() * workMs)}/${bytes}/${flags}/`
    const sent: StopRequest = {
      id, path, sentAtMs: performance.now(), isKept, endedAtMs: 0, ending: 'cut', status: 0, receivedBytes: 0, announcedBytes: -1
    }
    this._requests.push(sent)
    const head = `GET ${path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: ${id}\r\nx-deadline-ms: ${DEADLINE_MS}\r\n`
    const isSplit = this._random.next() < 0.1
    socket.write(isSplit ? head : `${head}\r\n`)
    if (isSplit) setTimeout(() => socket.write('\r\n'), 20)
    const keeps = await this._read(socket, sent, draw < 0.1)
    sent.endedAtMs = performance.now()
    if (!keeps) {
      socket.destroy()
      this._socket = undefined
    }
    return sent.ending === 'whole'
  }

  /** Reads an answer; returns whether the connection can be used again. */
  private async _read (socket: Socket, sent: StopRequest, isSlow: boolean): Promise<boolean> {
    let head = ''
    let closes = false
    const pauseMs = isSlow ? this._traffic.readMs / SLOW_CHUNKS : 0
    let dueBytes = 0
    return await new Promise(resolve => {
      const finish = (keeps: boolean): void => {
        socket.removeAllListeners('data').removeAllListeners('close').removeAllListeners('end')
        resolve(keeps)
      }
      const onBody = (length: number): void => {
        sent.receivedBytes += length
        if (sent.receivedBytes >= sent.announcedBytes) {
          sent.ending = head.includes('x-response-signature') ? 'whole' : sent.status === 503 || sent.status === 429 ? 'refused' : 'failed'
          return finish(!closes)
        }
        if (pauseMs === 0 || sent.receivedBytes < dueBytes) return
        dueBytes += sent.announcedBytes / SLOW_CHUNKS
        socket.pause()
        setTimeout(() => socket.resume(), pauseMs)
      }
      socket.on('data', (chunk: Buffer) => {
        if (sent.announcedBytes >= 0) return onBody(chunk.length)
        head += chunk.toString('latin1')
        const end = head.indexOf('\r\n\r\n')
        if (end < 0) return
        const rest = head.length - end - 4
        head = head.slice(0, end).toLowerCase()
        sent.status = Number(head.slice(9, 12))
        sent.announcedBytes = Number(/content-length: (\d+)/.exec(head)?.[1] ?? 0)
        closes = /connection: close/.test(head)
        onBody(rest)
      })
      socket.on('close', () => finish(false))
      socket.on('end', () => finish(false))
    })
  }
}
