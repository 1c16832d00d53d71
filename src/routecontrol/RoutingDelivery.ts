import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { mergeDeltas } from '../parts/routing/RoutingDelta.js'
import type { RoutingStore } from '../parts/routing/RoutingStore.js'
import type { RoutingDelta } from '../parts/routing/Types.js'
import type { NodeId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { type EncodedMessage, encodeMessage } from '../runtime/FrameChannel.js'
import { encodeCompressed } from '../runtime/FrameCompression.js'
import type { Clock, Log } from '../runtime/Types.js'
import { SLOW_DELIVERY_MS } from './Constants.js'
import { redactDeltaKeys, redactKeys } from './KeyRedaction.js'
import type { FeedToNode } from './Types.js'

/** Where the routing configuration of a connected node stands. */
export interface RoutingReceiver {
  readonly node: NodeId
  readonly channel: AcceptedChannel
  /** True when large frames to this node are compressed. */
  readonly compresses: boolean
  /** True when the node confirms each version that it brings into force. */
  readonly confirms: boolean
  /** Routing version that the node has or that was sent to it; 0 for none. */
  version: number
  /** Version that was sent and is not confirmed yet. */
  unconfirmed: number | undefined
  /** Since when that version, or an earlier one in its place, has been due, in milliseconds of the monotonic clock. */
  unconfirmedSinceMs: number
  /** Since when a version has been due that waits for that confirmation; undefined when there is none. */
  dueSinceMs: number | undefined
}

/** A version that a node has brought into force. */
export interface RoutingConfirmation {
  readonly node: NodeId
  readonly version: number
  /** Time from the moment at which the node lacked a version that this replica had, until the confirmation arrived. */
  readonly tookMs: number
}

/**
 * Sends the routing configuration in force to nodes, as differences where they are kept. A node that confirms versions
 * is sent the next one when it has confirmed the one before, so that the versions of a burst do not queue on a slow
 * link: it gets the newest one in their place.
 *
 * Memory: the frames that bring nodes from other versions to the one in force, at most one for each of `MAX_DELTAS`
 * versions and a full copy.
 */
export class RoutingDelivery {
  /** Frames with the routing configuration, by the version of the receiver and whether they are compressed. */
  private readonly _encoded = new Map<string, EncodedMessage>()
  private _encodedVersion = 0
  private readonly _confirmationEmitter = new Emitter<RoutingConfirmation>()

  public constructor (
    private readonly _store: RoutingStore,
    private readonly _clock: Clock,
    private readonly _log: Log
  ) {}

  /** Fires when a node has confirmed a version. */
  public readonly onConfirmation = this._confirmationEmitter.event

  /** Brings a node to the version in force, now or after the confirmation that it owes. */
  public send (receiver: RoutingReceiver): void {
    const { inForce } = this._store
    if (inForce.version <= receiver.version) return
    const nowMs = this._clock.nowMs()
    if (receiver.unconfirmed !== undefined) {
      receiver.dueSinceMs ??= nowMs
      return
    }
    const frame = this._encode(receiver.version, receiver.compresses)
    receiver.version = inForce.version
    if (receiver.confirms) {
      receiver.unconfirmed = inForce.version
      receiver.unconfirmedSinceMs = receiver.dueSinceMs ?? nowMs
    }
    receiver.dueSinceMs = undefined
    receiver.channel.sendEncoded(frame)
  }

  /** Sends a full copy to a node that could not apply differences. */
  public sendFullCopy (receiver: RoutingReceiver): void {
    receiver.dueSinceMs ??= receiver.unconfirmed === undefined ? undefined : receiver.unconfirmedSinceMs
    receiver.unconfirmed = undefined
    receiver.version = 0
    this.send(receiver)
  }

  /** Handles the confirmation of a node, and sends what has come into force meanwhile. */
  public confirm (receiver: RoutingReceiver, version: number): void {
    if (receiver.unconfirmed === undefined || version < receiver.unconfirmed) return
    receiver.unconfirmed = undefined
    const tookMs = this._waitMs(receiver.unconfirmedSinceMs)
    this._confirmationEmitter.fire({ node: receiver.node, version, tookMs })
    if (tookMs >= SLOW_DELIVERY_MS) {
      this._log.warn({ node: receiver.node, version, tookMs }, 'configuration was late at a node')
    }
    this.send(receiver)
  }

  /** Longest time for which one of these nodes has lacked a version that this replica has, in milliseconds. */
  public longestWaitMs (receivers: Iterable<RoutingReceiver>): number {
    let longestMs = 0
    for (const { unconfirmed, unconfirmedSinceMs } of receivers) {
      if (unconfirmed !== undefined) longestMs = Math.max(longestMs, this._waitMs(unconfirmedSinceMs))
    }
    return longestMs
  }

  private _waitMs (sinceMs: number): number {
    return Math.round(this._clock.nowMs() - sinceMs)
  }

  /** Many nodes need the same frame, after a change or a restart, so the frames of the version in force are kept. */
  private _encode (fromVersion: number, compresses: boolean): EncodedMessage {
    const { inForce } = this._store
    if (this._encodedVersion !== inForce.version) this._encoded.clear()
    this._encodedVersion = inForce.version
    const delta = fromVersion === 0 ? undefined : this._findDelta(fromVersion)
    const key = `${delta === undefined ? 0 : fromVersion} ${compresses}`
    const kept = this._encoded.get(key)
    if (kept !== undefined) return kept
    const frame: FeedToNode = delta === undefined
      ? { type: 'routing', routing: redactKeys(inForce) }
      : { type: 'routingDifferences', differences: [redactDeltaKeys(delta)] }
    const encoded = compresses ? encodeCompressed(frame) : encodeMessage(frame)
    this._encoded.set(key, encoded)
    return encoded
  }

  /** Returns the delta to the version in force; undefined when it is not kept or names more than a full copy. */
  private _findDelta (fromVersion: number): RoutingDelta | undefined {
    const deltas = this._store.deltasSince(fromVersion)
    if (deltas === undefined || deltas.length === 0) return undefined
    const delta = mergeDeltas(deltas)
    const namedRoutes = delta.upsertRoutes.length + delta.removeRoutes.length
    return namedRoutes > this._store.inForce.configuration.routes.length ? undefined : delta
  }
}
