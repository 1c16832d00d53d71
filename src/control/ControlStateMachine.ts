import { Encoder } from 'cbor-x'
import type { LogEntry } from '../parts/agreement/Types.js'
import { ConfigurationStore } from '../parts/configuration/ConfigurationStore.js'
import type { ChangeReply, ChangeRequest, ConfigurationSnapshot } from '../parts/configuration/Types.js'
import { GroupClock } from '../parts/records/GroupClock.js'
import { IdempotencyLedger } from '../parts/records/IdempotencyLedger.js'
import type { LedgerLimits, LedgerSnapshot, RecordCommand, RecordReply } from '../parts/records/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock } from '../runtime/Types.js'
import type { StateMachine } from './StateMachine.js'

/** Command in a log entry. `atMs` is the leader's group time when it proposed the command. */
export type ControlCommand =
  | { readonly type: 'change', readonly atMs: number, readonly change: ChangeRequest }
  | { readonly type: 'record', readonly atMs: number, readonly command: RecordCommand }

/** Reply to the proposer of a command. */
export type ControlReply =
  | { readonly type: 'change', readonly reply: ChangeReply }
  | { readonly type: 'record', readonly reply: RecordReply }

/** First chunk of a snapshot; the other chunks hold lists of records. */
interface SnapshotHeader {
  readonly format: 1
  readonly atMs: number
  readonly register: ConfigurationSnapshot
  /** State of the ledger without its records. */
  readonly ledger: LedgerSnapshot
}

type SnapshotChunk = SnapshotHeader | LedgerSnapshot['records']

/** Records in one chunk of a snapshot. */
const RECORDS_PER_CHUNK = 500

type CommandHandlers = {
  readonly [Type in ControlCommand['type']]:
  (command: Extract<ControlCommand, { type: Type }>, term: number) => ControlReply
}

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/**
 * Replicated state of the control group: the configuration, the records of at-most-once requests, and the group time by
 * which the records expire.
 */
export class ControlStateMachine implements StateMachine<ControlReply> {
  /** Configuration in force and the operations that led to it. */
  public readonly configurationStore = new ConfigurationStore()
  /** Records of at-most-once requests. */
  public readonly ledger: IdempotencyLedger
  private readonly _groupClock = new GroupClock()
  private readonly _configurationChanges = new Emitter<void>()
  private _atMs = 0

  private readonly _handlers: CommandHandlers = {
    change: ({ change }, term) => this._applyChange(change, term),
    record: ({ command, atMs }) => ({ type: 'record', reply: this.ledger.apply(command, atMs) })
  }

  /** Fires when another version of the configuration may have come into force. */
  public readonly onConfigurationChange = this._configurationChanges.event

  /**
   * @param limits Limits of the records, the same on all replicas of a group.
   * @param _clock Clock of this process; a leader derives the group time of its commands from it.
   */
  public constructor (
    private readonly _limits: Partial<LedgerLimits>,
    private readonly _clock: Clock
  ) {
    this.ledger = new IdempotencyLedger(_limits)
  }

  /** Encodes a change as a command with the current group time. */
  public encodeChange (change: ChangeRequest): Uint8Array {
    return encode({ type: 'change', atMs: this._groupTimeMs(), change })
  }

  /**
   * Encodes a record command with the current group time.
   * @param command Command of a node.
   */
  public encodeRecord (command: RecordCommand): Uint8Array {
    return encode({ type: 'record', atMs: this._groupTimeMs(), command })
  }

  /** Applies one committed command. */
  public apply (entry: LogEntry): ControlReply {
    const command = CODEC.decode(entry.data) as ControlCommand
    this._observeTime(command.atMs)
    const handler = this._handlers[command.type] as (command: ControlCommand, term: number) => ControlReply
    return handler(command, entry.term)
  }

  /** Encodes the whole state as of this call, in chunks. */
  public snapshot (): Iterator<Uint8Array> {
    const { records, ...ledger } = this.ledger.snapshot()
    const register = this.configurationStore.snapshot()
    const header: SnapshotHeader = { format: 1, atMs: this._atMs, register, ledger: { ...ledger, records: [] } }
    return encodeChunks(header, records)
  }

  /**
   * Replaces the whole state.
   * @param data Concatenated chunks of a snapshot; empty for the state before any entry.
   */
  public restore (data: Uint8Array): void {
    const [header, ...recordChunks] = data.length === 0
      ? [this._initialState()]
      : CODEC.decodeMultiple(data) as SnapshotChunk[]
    const { atMs, register, ledger } = header as SnapshotHeader
    this._observeTime(atMs)
    this.configurationStore.restore(register)
    this.ledger.restore({ ...ledger, records: (recordChunks as Array<LedgerSnapshot['records']>).flat() })
    this._configurationChanges.fire()
  }

  private _applyChange (change: ChangeRequest, term: number): ControlReply {
    const versionBefore = this.configurationStore.inForce.version
    const reply = this.configurationStore.apply(change, term)
    if (this.configurationStore.inForce.version !== versionBefore) this._configurationChanges.fire()
    return { type: 'change', reply }
  }

  private _initialState (): SnapshotHeader {
    const register = new ConfigurationStore().snapshot()
    const ledger = new IdempotencyLedger(this._limits).snapshot()
    return { format: 1, atMs: 0, register, ledger }
  }

  private _observeTime (atMs: number): void {
    this._atMs = Math.max(this._atMs, atMs)
    this._groupClock.observe(atMs, this._clock.nowMs())
  }

  private _groupTimeMs (): number {
    return Math.floor(this._groupClock.stamp(this._clock.nowMs()))
  }
}

/** Copies the encoded bytes: the encoder returns a view of a larger buffer, which would be kept in memory with them. */
function encode (value: ControlCommand | SnapshotChunk): Uint8Array {
  return new Uint8Array(CODEC.encode(value))
}

function * encodeChunks (header: SnapshotHeader, records: LedgerSnapshot['records']): Generator<Uint8Array> {
  yield encode(header)
  for (let start = 0; start < records.length; start += RECORDS_PER_CHUNK) {
    yield encode(records.slice(start, start + RECORDS_PER_CHUNK))
  }
}
