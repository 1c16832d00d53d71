import { Buffer } from 'node:buffer'
import type { Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import { CHANNEL_HIGH_WATER_BYTES, FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from './Constants.js'
import { Emitter } from './Emitter.js'
import { FrameDecoder } from './FrameDecoder.js'
import type { Clock, Disposable } from './Types.js'

// Plain maps, so that each frame can be read on its own; byte strings are views of the frame.
const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Messages over one TCP connection: length-prefixed CBOR, in order, each with a `type`.
 * @typeParam In Messages that the other end sends.
 * @typeParam Out Messages that this end sends.
 */
export class FrameChannel<In extends object, Out extends object> implements Disposable {
  private readonly decoder = new FrameDecoder(MAX_FRAME_BYTES)
  private readonly messages = new Emitter<In>()
  private readonly closes = new Emitter<string>()
  private readonly drains = new Emitter<void>()
  private corked = false
  private closed = false
  private reason = 'closed by the other end'
  private received = 0
  private sent = 0
  private receivedAtMs: number

  /**
   * @param socket Connected socket; the channel owns it from now on.
   * @param clock Tells when something was last received.
   */
  public constructor (private readonly socket: Socket, private readonly clock: Clock) {
    this.receivedAtMs = clock.nowMs()
    socket.setNoDelay(true)
    socket.on('data', chunk => this.handleData(chunk as Buffer))
    socket.on('drain', () => this.drains.fire())
    socket.on('error', error => { this.reason = error.message })
    socket.on('close', () => this.handleClose())
  }

  /** Fires with each message, in the order sent. */
  public readonly onMessage = this.messages.event

  /** Fires once with the reason when the connection has ended. */
  public readonly onClose = this.closes.event

  /** Fires when a congested channel can take more. */
  public readonly onDrain = this.drains.event

  /** Bytes received and sent so far, frame headers included. */
  public get bytes (): { readonly received: number, readonly sent: number } {
    return { received: this.received, sent: this.sent }
  }

  /** Monotonic time of the last bytes from the other end. */
  public get lastReceivedMs (): number {
    return this.receivedAtMs
  }

  /** True when no more messages can be sent. */
  public get isClosed (): boolean {
    return this.closed
  }

  /** Address of the other end as `host:port`. */
  public get remote (): string {
    return `${this.socket.remoteAddress ?? '?'}:${this.socket.remotePort ?? 0}`
  }

  /**
   * Sends one message; on a closed channel it is dropped and `onClose` has told so.
   * @returns False when the channel is congested; wait for `onDrain` before bulk data.
   */
  public send (message: Out): boolean {
    if (this.closed) return false
    const body = codec.encode(message)
    const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
    frame.writeUInt32BE(body.length, 0)
    frame.set(body, FRAME_HEADER_BYTES)
    this.cork()
    this.sent += frame.length
    this.socket.write(frame)
    return this.socket.writableLength < CHANNEL_HIGH_WATER_BYTES
  }

  /** Sends what is waiting, then closes. */
  public end (): void {
    this.socket.end()
  }

  /**
   * Closes at once; what is waiting is dropped.
   * @param reason Given to `onClose`.
   */
  public destroy (reason: string): void {
    this.reason = reason
    this.socket.destroy()
  }

  /** Closes at once. */
  public dispose (): void {
    this.destroy('disposed')
  }

  // Frames sent in one turn of the loop leave in one system call.
  private cork (): void {
    if (this.corked) return
    this.corked = true
    this.socket.cork()
    process.nextTick(() => {
      this.corked = false
      this.socket.uncork()
    })
  }

  private handleData (chunk: Buffer): void {
    this.received += chunk.length
    this.receivedAtMs = this.clock.nowMs()
    try {
      this.decoder.push(chunk, frame => this.messages.fire(codec.decode(frame) as In))
    } catch (error) {
      this.destroy(`bad frame: ${(error as Error).message}`)
    }
  }

  private handleClose (): void {
    if (this.closed) return
    this.closed = true
    this.closes.fire(this.reason)
  }
}
