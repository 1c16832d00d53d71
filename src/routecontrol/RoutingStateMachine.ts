import { createHash } from 'node:crypto'
import { Encoder } from 'cbor-x'
import type { StateMachine } from '../control/StateMachine.js'
import type { LogEntry } from '../parts/agreement/Types.js'
import { RoutingStore } from '../parts/routing/RoutingStore.js'
import type { RoutingChange, RoutingReply, RoutingSnapshot } from '../parts/routing/Types.js'
import { Emitter } from '../runtime/Emitter.js'

/** What a log entry holds. */
interface RoutingCommand {
  readonly change: RoutingChange
  readonly digest: string
}

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** State that the replicas agree on: the routing in force and the changes that were accepted. */
export class RoutingStateMachine implements StateMachine<RoutingReply> {
  public readonly register = new RoutingStore()
  private readonly _changes = new Emitter<void>()

  /** Fires when another version is in force here. */
  public readonly onChange = this._changes.event

  /**
   * Encodes a change as a command.
   * @param change The change.
   */
  public encode (change: RoutingChange): Uint8Array {
    // The decoder of operators' requests builds fields in one order, so the same request has the same text.
    const digest = createHash('sha256').update(JSON.stringify(change)).digest('base64')
    return new Uint8Array(CODEC.encode({ change, digest } satisfies RoutingCommand))
  }

  /** @inheritdoc */
  public apply (entry: LogEntry): RoutingReply {
    const { change, digest } = CODEC.decode(entry.data) as RoutingCommand
    const before = this.register.inForce.version
    const reply = this.register.apply(change, digest)
    if (this.register.inForce.version !== before) this._changes.fire()
    return reply
  }

  /** @inheritdoc */
  public snapshot (): Iterator<Uint8Array> {
    return [new Uint8Array(CODEC.encode(this.register.snapshot()))].values()
  }

  /** @inheritdoc */
  public restore (data: Uint8Array): void {
    this.register.restore(data.length === 0 ? undefined : CODEC.decode(data) as RoutingSnapshot)
    this._changes.fire()
  }
}
