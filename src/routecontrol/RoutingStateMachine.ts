import { createHash } from 'node:crypto'
import { Encoder } from 'cbor-x'
import type { StateMachine } from '../control/StateMachine.js'
import type { LogEntry } from '../parts/agreement/Types.js'
import { EvacuationStore } from '../parts/evacuation/EvacuationStore.js'
import type { EvacuationOrder, EvacuationState } from '../parts/evacuation/Types.js'
import { DepartureStore } from '../parts/instances/DepartureStore.js'
import type { NodeDepartures } from '../parts/instances/Types.js'
import { RoutingStore } from '../parts/routing/RoutingStore.js'
import type { RoutingChange, RoutingReply, RoutingSnapshot } from '../parts/routing/Types.js'
import type { NodeId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'

/** Content of a log entry with a change of the routing configuration. */
interface RoutingCommand {
  readonly change: RoutingChange
  /** Hash of the change, by which a repeated change is recognised. */
  readonly digest: string
}

/** Content of a log entry with an order about an availability zone. */
interface EvacuationCommand {
  readonly evacuation: EvacuationOrder
}

/** Content of a log entry with departures of instances. */
interface DepartureCommand {
  readonly departed: NodeDepartures
}

type Command = RoutingCommand | EvacuationCommand | DepartureCommand

/** Reply to a change, an order or a departure. */
export type MachineReply = RoutingReply | EvacuationReply | DepartureReply

/** Reply to departures; `changed` is false when all were stored already. */
export interface DepartureReply {
  readonly type: 'departure'
  readonly changed: boolean
}

/** Reply to the operator who sent an order. */
export interface EvacuationReply {
  readonly type: 'evacuation'
  /** False when the order was in force already. */
  readonly changed: boolean
  readonly evacuation: EvacuationState
}

/**
 * Whole replicated state; without `evacuation` while no order has changed anything and without `departures` before the
 * first, as in earlier versions.
 */
interface MachineSnapshot extends RoutingSnapshot {
  readonly evacuation?: EvacuationState
  readonly departures?: readonly NodeDepartures[]
}

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Replicated state of the control group: the routing configuration in force, the accepted changes, the evacuated
 * availability zones, and the departures of instances.
 */
export class RoutingStateMachine implements StateMachine<MachineReply> {
  public readonly store = new RoutingStore()
  private readonly _evacuations = new EvacuationStore()
  /** Departures of instances that were acknowledged. */
  public readonly departures = new DepartureStore()
  private readonly _departureEmitter = new Emitter<NodeId>()
  private readonly _changeEmitter = new Emitter<void>()
  private readonly _evacuationEmitter = new Emitter<EvacuationState>()

  /** Fires when another version has come into force at this replica. */
  public readonly onChange = this._changeEmitter.event

  /** Fires when other zones are evacuated according to this replica. */
  public readonly onEvacuation = this._evacuationEmitter.event

  /** Fires with the node beside which a departure was stored. */
  public readonly onDeparture = this._departureEmitter.event

  /** Evacuated zones. */
  public get evacuation (): EvacuationState {
    return this._evacuations.state
  }

  /** Encodes a change as the data of a log entry. */
  public encode (change: RoutingChange): Uint8Array {
    // The decoder of operator requests builds fields in a fixed order, so equal requests have the same JSON.
    const digest = createHash('sha256').update(JSON.stringify(change)).digest('base64')
    return new Uint8Array(CODEC.encode({ change, digest } satisfies RoutingCommand))
  }

  /** Encodes an order as the data of a log entry. */
  public encodeOrder (evacuation: EvacuationOrder): Uint8Array {
    return new Uint8Array(CODEC.encode({ evacuation } satisfies EvacuationCommand))
  }

  /** Encodes departures as the data of a log entry. */
  public encodeDepartures (departed: NodeDepartures): Uint8Array {
    return new Uint8Array(CODEC.encode({ departed } satisfies DepartureCommand))
  }

  /** @inheritdoc */
  public apply (entry: LogEntry): MachineReply {
    const command = CODEC.decode(entry.data) as Command
    if ('departed' in command) return this._applyDepartures(command)
    return 'evacuation' in command ? this._applyOrder(command) : this._applyChange(command)
  }

  /** @inheritdoc */
  public snapshot (): Iterator<Uint8Array> {
    const evacuation = this._evacuations.snapshot()
    const departures = this.departures.snapshot()
    const snapshot: MachineSnapshot = {
      ...this.store.snapshot(),
      ...(evacuation === undefined ? {} : { evacuation }),
      ...(departures === undefined ? {} : { departures })
    }
    return [new Uint8Array(CODEC.encode(snapshot))].values()
  }

  /** @inheritdoc */
  public restore (data: Uint8Array): void {
    const snapshot = data.length === 0 ? undefined : CODEC.decode(data) as MachineSnapshot
    const { revision } = this.evacuation
    this.store.restore(snapshot)
    this._evacuations.restore(snapshot?.evacuation)
    this.departures.restore(snapshot?.departures)
    this._changeEmitter.fire()
    if (this.evacuation.revision !== revision) this._evacuationEmitter.fire(this.evacuation)
  }

  private _applyChange ({ change, digest }: RoutingCommand): RoutingReply {
    const before = this.store.inForce.version
    const reply = this.store.apply(change, digest)
    if (this.store.inForce.version !== before) this._changeEmitter.fire()
    return reply
  }

  private _applyOrder ({ evacuation }: EvacuationCommand): EvacuationReply {
    const changed = this._evacuations.apply(evacuation)
    if (changed) this._evacuationEmitter.fire(this.evacuation)
    return { type: 'evacuation', changed, evacuation: this.evacuation }
  }

  private _applyDepartures ({ departed }: DepartureCommand): DepartureReply {
    const changed = this.departures.apply(departed)
    if (changed) this._departureEmitter.fire(departed.node)
    return { type: 'departure', changed }
  }
}
