import { createHash } from 'node:crypto'
import { Encoder } from 'cbor-x'
import type { StateMachine } from '../control/StateMachine.js'
import type { LogEntry } from '../parts/agreement/Types.js'
import { RoutingStore } from '../parts/routing/RoutingStore.js'
import type { RoutingChange, RoutingReply, RoutingSnapshot } from '../parts/routing/Types.js'
import { Emitter } from '../runtime/Emitter.js'

/** Content of a log entry. */
interface RoutingCommand {
  readonly change: RoutingChange
  /** Hash of the change, by which a repeated change is recognised. */
  readonly digest: string
}

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Replicated state of the control group: the routing configuration in force and the accepted changes. */
export class RoutingStateMachine implements StateMachine<RoutingReply> {
  public readonly store = new RoutingStore()
  private readonly _changeEmitter = new Emitter<void>()

  /** Fires when another version has come into force at this replica. */
  public readonly onChange = this._changeEmitter.event

  /** Encodes a change as the data of a log entry. */
  public encode (change: RoutingChange): Uint8Array {
    // The decoder of operator requests builds fields in a fixed order, so equal requests have the same JSON.
    const digest = createHash('sha256').update(JSON.stringify(change)).digest('base64')
    return new Uint8Array(CODEC.encode({ change, digest } satisfies RoutingCommand))
  }

  /** @inheritdoc */
  public apply (entry: LogEntry): RoutingReply {
    const { change, digest } = CODEC.decode(entry.data) as RoutingCommand
    const before = this.store.inForce.version
    const reply = this.store.apply(change, digest)
    if (this.store.inForce.version !== before) this._changeEmitter.fire()
    return reply
  }

  /** @inheritdoc */
  public snapshot (): Iterator<Uint8Array> {
    return [new Uint8Array(CODEC.encode(this.store.snapshot()))].values()
  }

  /** @inheritdoc */
  public restore (data: Uint8Array): void {
    this.store.restore(data.length === 0 ? undefined : CODEC.decode(data) as RoutingSnapshot)
    this._changeEmitter.fire()
  }
}
