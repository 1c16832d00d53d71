import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { encodeMessage } from '../runtime/FrameChannel.js'
import { decodeCompressed, encodeCompressed } from '../runtime/FrameCompression.js'
import type { Log } from '../runtime/Types.js'
import type {
  OperatorCall, OperatorCallFrame, OperatorOfferFrame, OperatorReply, OperatorReplyFrame, ToOperatorServer
} from './Types.js'

/** Handles a call of an operator at this replica. */
export type OperatorCallExecutor = (call: OperatorCall) => Promise<OperatorReply>

/** What a replica knows of the leader. */
export interface LeaderView {
  readonly isLeader: boolean
  /** Address of the leader, `host:port`; undefined when this replica leads or no leader is known. */
  readonly remoteLeaderAddress: string | undefined
  /** True when no leader has been known for longer than elections take. */
  readonly isLeaderless: boolean
}

/** Returns the reply of a replica that doesn't decide a call. */
export function nameLeader ({ remoteLeaderAddress: leader, isLeaderless }: LeaderView): OperatorReply {
  if (leader !== undefined) return { type: 'notLeader', leader }
  return isLeaderless ? { type: 'notLeader', isLeaderless } : { type: 'notLeader' }
}

/** Replies to the calls of operators that nodes and other replicas pass on to this replica. */
export class OperatorServer {
  private _executor: OperatorCallExecutor | undefined

  /**
   * @param _view View of the leader at this replica.
   * @param _log Log of calls that fail.
   */
  public constructor (private readonly _view: LeaderView, private readonly _log: Log) {}

  /** Handles all calls from now on; until then their connections are closed. */
  public serve (execute: OperatorCallExecutor): void {
    this._executor = execute
  }

  /**
   * Replies to a call, or to the offer of one.
   * @param channel Connection on which it was received.
   * @param frame Its first frame.
   */
  public accept (channel: AcceptedChannel, frame: OperatorCallFrame | OperatorOfferFrame): void {
    if (this._executor === undefined) return channel.destroy('this replica serves no operators')
    if (frame.type === 'operatorCall' && !isOperatorCall(frame.call)) return channel.destroy('malformed operator call')
    const execute = this._executor
    // The asker may have given up while this process was paused; its connection then closes in the next turns.
    setImmediate(() => setImmediate(() => { if (!channel.isClosed) this._handle(execute, channel, frame) }))
  }

  private _handle (
    execute: OperatorCallExecutor, channel: AcceptedChannel, frame: OperatorCallFrame | OperatorOfferFrame
  ): void {
    if (frame.type === 'operatorCall') return this._execute(execute, channel, frame)
    if (!this._view.isLeader) {
      channel.send({ type: 'operatorReply', reply: nameLeader(this._view) })
      return
    }
    const next = channel.onMessage(received => {
      next.dispose()
      const call = (received.type === 'compressed' ? decodeCompressed(received) : received) as ToOperatorServer
      if (call.type === 'operatorCall') this.accept(channel, call)
      else channel.destroy('the frame after an offer is not a call')
    })
    channel.send({ type: 'operatorBodyWanted' })
  }

  private _execute (
    execute: OperatorCallExecutor, channel: AcceptedChannel, { call, compress }: OperatorCallFrame
  ): void {
    const encode = compress === true ? encodeCompressed : encodeMessage
    execute(call).then(reply => {
      channel.sendEncoded(encode({ type: 'operatorReply', reply } satisfies OperatorReplyFrame))
    }).catch((error: Error) => {
      this._log.error({ operation: call.operation, error: error.message }, 'operator call failed')
      channel.destroy('the operator call failed')
    })
  }
}

function isOperatorCall (value: unknown): value is OperatorCall {
  if (typeof value !== 'object' || value === null) return false
  const { operation, parameter, body } = value as Partial<OperatorCall>
  return [operation, parameter, body].every(text => typeof text === 'string')
}
