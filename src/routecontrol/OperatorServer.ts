import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { encodeMessage } from '../runtime/FrameChannel.js'
import { encodeCompressed } from '../runtime/FrameCompression.js'
import type { Log } from '../runtime/Types.js'
import type { OperatorCall, OperatorReply, OperatorReplyFrame, ToOperatorServer } from './Types.js'

/** Handles a call of an operator at this replica. */
export type OperatorCallExecutor = (call: OperatorCall) => Promise<OperatorReply>

/** Replies to the calls of operators that nodes and other replicas pass on to this replica. */
export class OperatorServer {
  private _executor: OperatorCallExecutor | undefined

  /**
   * @param _log Log of calls that fail.
   */
  public constructor (private readonly _log: Log) {}

  /** Handles all calls from now on; until then their connections are closed. */
  public serve (execute: OperatorCallExecutor): void {
    this._executor = execute
  }

  /**
   * Replies to a call.
   * @param channel Connection on which the call was received.
   * @param frame Its first frame.
   */
  public accept (channel: AcceptedChannel, frame: ToOperatorServer): void {
    if (this._executor === undefined) return channel.destroy('this replica serves no operators')
    const execute = this._executor
    // The asker may have given up while this process was paused; its connection then closes in the next turns.
    setImmediate(() => setImmediate(() => { if (!channel.isClosed) this._execute(execute, channel, frame) }))
  }

  private _execute (
    execute: OperatorCallExecutor, channel: AcceptedChannel, { call, compress }: ToOperatorServer
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
