import type { Socket } from 'node:net'
import { connectTo } from '../runtime/Address.js'
import { type EncodedMessage, FrameChannel } from '../runtime/FrameChannel.js'
import { decodeCompressed } from '../runtime/FrameCompression.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { FromOperatorServer, OperatorReply, ToOperatorServer } from './Types.js'

/** How a replica is asked. */
export interface RelayQuestion {
  /** Address of the replica, `host:port`. */
  readonly replica: string
  /** First frame: the call, or its offer. */
  readonly frame: EncodedMessage
  readonly isOffer: boolean
}

/** How a connection ended without a reply. */
export interface RelayFailure {
  /** Whether the replica may have received the call with its body. */
  readonly wasSent: boolean
  /** Whether the replica closed the connection in answer to an offer. */
  readonly isOfferRefused: boolean
}

/** Receives what happens on a connection; nothing after `onReply` and `onFail`, and after `dispose`. */
export interface RelayConnectionListener {
  /** The replica wants the body of the call. */
  onWanted (): void
  /** A part of a reply has arrived, which has this many bytes in all. */
  onProgress (bytes: number): void
  onReply (reply: OperatorReply): void
  onFail (failure: RelayFailure): void
}

/** Connection on which one replica is asked about one call. */
export class RelayConnection implements Disposable {
  private readonly _socket: Socket
  private _channel: FrameChannel<FromOperatorServer, ToOperatorServer> | undefined
  private _isDisposed = false
  private _hasBody = false
  private _isWanted = false

  public constructor (
    private readonly _question: RelayQuestion,
    private readonly _listener: RelayConnectionListener,
    private readonly _clock: Clock,
    log: Log
  ) {
    const { replica } = _question
    this._socket = connectTo(replica)
    this._socket.on('error', error => log.debug({ replica, error: error.message }, 'operator call interrupted'))
    this._socket.once('close', () => this._onClose())
    this._socket.once('connect', () => this._ask())
  }

  /** Bytes that have arrived from the replica. */
  public get receivedBytes (): number {
    return this._channel?.bytes.received ?? 0
  }

  /** Sends the whole call to a replica that wants it. */
  public carry (frame: EncodedMessage): void {
    this._hasBody = true
    this._channel?.sendEncoded(frame)
  }

  /** Closes the connection. */
  public dispose (): void {
    this._isDisposed = true
    this._socket.destroy()
  }

  private _ask (): void {
    const { frame, isOffer } = this._question
    const channel = new FrameChannel<FromOperatorServer, ToOperatorServer>(this._socket, this._clock)
    this._channel = channel
    this._hasBody = !isOffer
    channel.onMessage(received => this._receive(received))
    this._socket.on('data', () => {
      const { arrivingBytes } = channel
      if (!this._isDisposed && arrivingBytes > 0) this._listener.onProgress(arrivingBytes)
    })
    channel.sendEncoded(frame)
  }

  private _receive (received: FromOperatorServer): void {
    if (this._isDisposed) return
    const frame = received.type === 'compressed' ? decodeCompressed(received) as FromOperatorServer : received
    if (frame.type === 'operatorBodyWanted' && !this._isWanted) {
      this._isWanted = true
      this._listener.onWanted()
    } else if (frame.type === 'operatorReply') {
      this.dispose()
      this._listener.onReply(frame.reply)
    } else this._channel?.destroy('unexpected frame of a replica')
  }

  private _onClose (): void {
    if (this._isDisposed) return
    this._isDisposed = true
    const isOfferRefused = this._channel !== undefined && this._question.isOffer && !this._isWanted
    this._listener.onFail({ wasSent: this._hasBody, isOfferRefused })
  }
}
