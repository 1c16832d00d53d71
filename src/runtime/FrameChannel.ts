import { Buffer } from 'node:buffer'
import type { Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import { CHANNEL_HIGH_WATER_BYTES, FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from './Constants.js'
import { Emitter } from './Emitter.js'
import { FRAME_KEYS } from './FrameKeys.js'
import { FrameDecoder } from './FrameDecoder.js'
import type { FrameHolder, FrameMemory } from './FrameMemory.js'
import type { Clock, Disposable } from './Types.js'

// Plain maps instead of cbor-x records, so that each frame can be decoded on its own.
// Byte strings are decoded as views of the frame.
const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, keyMap: FRAME_KEYS })

/** A message in the form in which it is sent, so that one encoding can be sent on many channels. */
export type EncodedMessage = Buffer

/** Encodes a message without the length that precedes it in a frame. */
export function encodeBody (message: object): Buffer {
  return codec.encode(message)
}

/** Decodes what `encodeBody` returned. */
export function decodeBody (body: Uint8Array): unknown {
  return codec.decode(body)
}

/** Encodes a message for `FrameChannel.sendEncoded`. */
export function encodeMessage (message: object): EncodedMessage {
  const body = encodeBody(message)
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, FRAME_HEADER_BYTES)
  return frame
}

/**
 * Sends and receives messages over one TCP connection, as length-prefixed CBOR frames. Messages arrive in the order
 * sent and have a `type` field.
 * @typeParam In Messages that this end receives.
 * @typeParam Out Messages that this end sends.
 */
export class FrameChannel<In extends object, Out extends object> implements Disposable {
  private readonly _decoder = new FrameDecoder(MAX_FRAME_BYTES)
  private readonly _holder: FrameHolder & { isKnown: boolean }
  private readonly _messageEmitter = new Emitter<In>()
  private readonly _closeEmitter = new Emitter<string>()
  private readonly _drainEmitter = new Emitter<void>()
  private _corked = false
  private _closed = false
  private _closeReason = 'closed by the other end'
  private _receivedBytes = 0
  private _sentBytes = 0
  private _lastReceivedMs: number

  /**
   * @param _socket Connected socket; the channel owns it from now on.
   * @param _clock Time source of `lastReceivedMs`.
   * @param _memory Accounts for incomplete frames; absent where the other end is chosen by this one.
   */
  public constructor (
    private readonly _socket: Socket, private readonly _clock: Clock, private readonly _memory?: FrameMemory
  ) {
    this._holder = { isKnown: false, cut: () => this.destroy('no memory for its incomplete frame') }
    this._lastReceivedMs = _clock.nowMs()
    _socket.setNoDelay(true)
    _socket.on('data', chunk => this._onData(chunk as Buffer))
    _socket.on('drain', () => this._drainEmitter.fire())
    _socket.on('error', error => { this._closeReason = error.message })
    _socket.on('close', () => this._onClose())
  }

  /** Fires with each message, in the order sent. */
  public readonly onMessage = this._messageEmitter.event

  /** Fires once with the reason when the connection has closed. */
  public readonly onClose = this._closeEmitter.event

  /** Fires when the send buffer of the socket has drained, so that a congested channel accepts bulk data again. */
  public readonly onDrain = this._drainEmitter.event

  /** Bytes received and sent so far, including frame headers. */
  public get bytes (): { readonly received: number, readonly sent: number } {
    return { received: this._receivedBytes, sent: this._sentBytes }
  }

  /** Bytes of the message being received that have not arrived yet; 0 between messages. */
  public get missingBytes (): number {
    return this._decoder.missingBytes
  }

  /** Bytes of the message being received, its missing ones among them; 0 between messages. */
  public get arrivingBytes (): number {
    const { missingBytes } = this._decoder
    return missingBytes === 0 ? 0 : missingBytes + this._decoder.incompleteBytes
  }

  /** Monotonic time at which bytes were last received; at first the time at which the channel was created. */
  public get lastReceivedMs (): number {
    return this._lastReceivedMs
  }

  /** Whether the connection has closed. */
  public get isClosed (): boolean {
    return this._closed
  }

  /** Address of the other end as `host:port`. */
  public get remoteAddress (): string {
    return `${this._socket.remoteAddress ?? '?'}:${this._socket.remotePort ?? 0}`
  }

  /**
   * Sends one message; on a closed channel, for which `onClose` has fired, it is dropped.
   * @param onFlushed Called when the message was passed to the operating system; never called if the channel closes
   * before.
   * @returns False when the channel is closed or congested; wait for `onDrain` before sending bulk data.
   */
  public send (message: Out, onFlushed?: () => void): boolean {
    return !this._closed && this.sendEncoded(encodeMessage(message), onFlushed)
  }

  /**
   * Sends a message that was encoded before; see `send`.
   * @param frame Result of `encodeMessage` for a message that the other end expects.
   */
  public sendEncoded (frame: EncodedMessage, onFlushed?: () => void): boolean {
    // A write after `finish` would destroy the socket, and with it what is still on its way.
    if (this._closed || this._socket.writableEnded) return false
    this._corkUntilNextTick()
    this._sentBytes += frame.length
    if (onFlushed === undefined) this._socket.write(frame)
    else this._socket.write(frame, error => { if (error == null) onFlushed() })
    return this._socket.writableLength < CHANNEL_HIGH_WATER_BYTES
  }

  /** Sends all buffered messages, then closes. */
  public end (): void {
    this._socket.end()
  }

  /**
   * Sends all buffered messages, then waits for the other end to close, since bytes of the other end that arrive after
   * this end has closed would reset the connection and discard what is still on its way.
   * @param lingerMs Longest wait after the last byte was passed to the operating system, in milliseconds.
   */
  public async finish (lingerMs: number): Promise<void> {
    if (this._closed) return
    await new Promise<void>(resolve => {
      let timer: NodeJS.Timeout | undefined
      this.onClose(() => {
        clearTimeout(timer)
        resolve()
      })
      this._socket.end(() => { timer = setTimeout(() => this.destroy('the other end did not close'), lingerMs) })
    })
  }

  /**
   * Closes at once; buffered messages are dropped.
   * @param reason Passed to `onClose`.
   */
  public destroy (reason: string): void {
    this._closeReason = reason
    this._socket.destroy()
  }

  /** Closes at once; buffered messages are dropped. */
  public dispose (): void {
    this.destroy('disposed')
  }

  // Frames sent in one turn of the event loop are written in one system call.
  private _corkUntilNextTick (): void {
    if (this._corked) return
    this._corked = true
    this._socket.cork()
    process.nextTick(() => {
      this._corked = false
      this._socket.uncork()
    })
  }

  private _onData (chunk: Buffer): void {
    this._receivedBytes += chunk.length
    this._lastReceivedMs = this._clock.nowMs()
    try {
      this._decoder.push(chunk, frame => {
        this._holder.isKnown = true
        this._messageEmitter.fire(codec.decode(frame) as In)
      })
      this._memory?.record(this._holder, this._closed ? 0 : this._decoder.incompleteBytes)
    } catch (error) {
      this.destroy(`invalid frame: ${(error as Error).message}`)
    }
  }

  private _onClose (): void {
    if (this._closed) return
    this._closed = true
    this._memory?.release(this._holder)
    this._closeEmitter.fire(this._closeReason)
  }
}
