import { AnswerMemory } from '../parts/transfer/AnswerMemory.js'
import { BodyMemory } from '../parts/transfer/BodyMemory.js'
import { ChunkWindow } from '../parts/transfer/ChunkWindow.js'
import type { ChunkEvent } from '../parts/transfer/Types.js'
import type { CallId } from '../parts/Types.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { BODY_STALL_MS } from './Constants.js'
import type { BodyFrame } from './Types.js'

/** Direction of bytes as seen from this node. */
export type TransferDirection = 'sent' | 'received'

/** Metrics of the transfers of a node. */
export interface TransferMetrics {
  countBodyBytes (direction: TransferDirection, bytes: number): void
  /** Adds to the transfers that are open. */
  changeOpenTransfers (change: number): void
  /** Counts a body that was refused for memory: of a caller, or of another node's call. */
  countBodyRefused (origin: 'caller' | 'node'): void
}

/** What the parts of a node that handle bodies share. */
export interface BodyResources {
  readonly memory: BodyMemory
  /** Answers from the moment at which they are read until their receivers have them. */
  readonly answers: AnswerMemory
  /** Rate of this VM's link in Mbit/s, taken as that of the other side of a transfer too; undefined when not known. */
  readonly linkMbps: number | undefined
  readonly metrics: TransferMetrics
}

/** Returns resources with the default bound, an unknown link rate and no metrics. */
export function makeDefaultBodyResources (): BodyResources {
  const metrics = { countBodyBytes: () => {}, changeOpenTransfers: () => {}, countBodyRefused: () => {} }
  return { memory: new BodyMemory(undefined), answers: new AnswerMemory(undefined), linkMbps: undefined, metrics }
}

/** A body that is being sent. */
interface OutgoingBody {
  readonly bytes: Uint8Array
  readonly onSent: () => void
}

/** Receives the outcome of an expected body: at most one method is called, once. */
export interface BodyListener {
  onWhole (body: Uint8Array): void
  /** No chunk has arrived for `BODY_STALL_MS`. Bodies without this method may take any time. */
  onStalled? (): void
}

/** A body that is being received. */
interface IncomingBody {
  readonly buffer: Buffer
  readonly listener: BodyListener
  receivedBytes: number
  timer: NodeJS.Timeout | undefined
}

/**
 * Moves bodies of calls over one connection between nodes, in both directions, in chunks under a flow control window
 * (`ChunkWindow`), so that other frames pass between the chunks. It ends with the connection.
 *
 * Memory: the bodies that are sent and received; `BodyMemory` accounts for them.
 */
export class BodyTransfer implements Disposable {
  private readonly _window = new ChunkWindow()
  private readonly _outgoing = new Map<CallId, OutgoingBody>()
  private readonly _incoming = new Map<CallId, IncomingBody>()

  /**
   * @param _send Sends a frame on the connection.
   */
  public constructor (
    private readonly _send: (frame: BodyFrame) => void,
    private readonly _clock: Clock,
    private readonly _metrics: TransferMetrics
  ) {}

  /** Number of bodies that are not sent completely. */
  public get outgoingCount (): number {
    return this._outgoing.size
  }

  /**
   * Starts to send a body.
   * @param onSent Called when the last chunk was passed to the connection; not called after `drop`.
   */
  public sendBody (id: CallId, bytes: Uint8Array, onSent: () => void): void {
    this._outgoing.set(id, { bytes, onSent })
    this._metrics.changeOpenTransfers(1)
    this._step({ type: 'opened', id, bytes: bytes.length })
  }

  /**
   * Expects a body from the other side.
   * @param bytes Its size; above 0.
   */
  public expectBody (id: CallId, bytes: number, listener: BodyListener): void {
    const incoming = { buffer: Buffer.allocUnsafeSlow(bytes), listener, receivedBytes: 0, timer: undefined }
    this._incoming.set(id, incoming)
    this._metrics.changeOpenTransfers(1)
    this._watch(id, incoming)
  }

  /** Ends the transfers of a call, if there are any. */
  public drop (id: CallId): void {
    if (this._endOutgoing(id)) this._step({ type: 'closed', id })
    this._endIncoming(id)
  }

  /** Handles a frame of the other side. */
  public handle (frame: BodyFrame): void {
    if (frame.type === 'chunkAck') return this._step({ type: 'acknowledged' })
    this._send({ type: 'chunkAck' })
    this._metrics.countBodyBytes('received', frame.body.length)
    const incoming = this._incoming.get(frame.id)
    if (incoming === undefined) return
    // Throws when the chunk does not fit, which closes the connection as for any invalid frame.
    incoming.buffer.set(frame.body, incoming.receivedBytes)
    incoming.receivedBytes += frame.body.length
    if (incoming.receivedBytes < incoming.buffer.length) return this._watch(frame.id, incoming)
    this._endIncoming(frame.id)
    incoming.listener.onWhole(incoming.buffer)
  }

  /** Ends all transfers; no listener is called after this. */
  public dispose (): void {
    for (const id of this._outgoing.keys()) this._endOutgoing(id)
    for (const id of this._incoming.keys()) this._endIncoming(id)
  }

  private _step (event: ChunkEvent): void {
    for (const { id, start, end, isLast } of this._window.step(event, this._clock.nowMs())) {
      const body = this._outgoing.get(id)
      if (body === undefined) continue
      this._send({ type: 'bodyChunk', id, body: body.bytes.subarray(start, end) })
      this._metrics.countBodyBytes('sent', end - start)
      if (!isLast) continue
      this._endOutgoing(id)
      body.onSent()
    }
  }

  private _watch (id: CallId, incoming: IncomingBody): void {
    const { listener } = incoming
    if (listener.onStalled === undefined) return
    clearTimeout(incoming.timer)
    incoming.timer = setTimeout(() => {
      const { receivedBytes } = incoming
      // After a pause of this process its timers fire before what has arrived meanwhile is read.
      setImmediate(() => {
        if (this._incoming.get(id) !== incoming || incoming.receivedBytes > receivedBytes) return
        this._endIncoming(id)
        listener.onStalled?.()
      })
    }, BODY_STALL_MS)
  }

  private _endOutgoing (id: CallId): boolean {
    const isOpen = this._outgoing.delete(id)
    if (isOpen) this._metrics.changeOpenTransfers(-1)
    return isOpen
  }

  private _endIncoming (id: CallId): void {
    const incoming = this._incoming.get(id)
    if (incoming === undefined) return
    clearTimeout(incoming.timer)
    this._incoming.delete(id)
    this._metrics.changeOpenTransfers(-1)
  }
}
