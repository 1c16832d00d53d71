/** Share of a node's memory that bodies may take. */
const BODY_MEMORY_SHARE = 0.25

/** Share of a node's memory that one large body may take while no other large one is held. */
const SINGLE_BODY_SHARE = 0.5

/** Part of the bound that small bodies have in addition, so that large ones can't keep them out. */
const RESERVED_SHARE = 0.125

/** Largest size of a small body: this in bytes, and no more than this share of the reserved part. */
const MAX_SMALL_BYTES = 512 * 1024
const MAX_SMALL_SHARE = 0.125

/**
 * A body that is arriving gives way to others that need room when it has received less than `PROGRESS_BYTES` for
 * `STALL_MS` milliseconds: a link of 0.14 Mbit/s is faster.
 */
const PROGRESS_BYTES = 16 * 1024
const STALL_MS = 1000

/** Memory of a node whose settings do not tell it, in megabytes: that of the smallest VMs in use. */
const DEFAULT_MEMORY_MB = 250

const BYTES_PER_MB = 1024 * 1024

/**
 * Accounts for the bodies that a node holds, those of its callers and those of other nodes together, against a bound.
 * A large body that is alone may exceed it, so that the largest legal one is served on a small VM.
 *
 * Memory: a few numbers, and an entry for each lease of a body that is arriving.
 */
export class BodyMemory {
  /** Bytes that large bodies may take together with all others. */
  public readonly limitBytes: number
  private readonly _singleBytes: number
  private readonly _reservedBytes: number
  private readonly _maxSmallBytes: number
  private _heldBytes = 0
  private _smallBytes = 0
  /** Leases of bodies that are arriving, beginning with the one whose progress is the oldest. */
  private readonly _arriving = new Set<BodyLease>()

  /**
   * @param memoryMb Memory of the node in megabytes; undefined when it is not known.
   */
  public constructor (memoryMb: number | undefined) {
    const memoryBytes = (memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB
    this.limitBytes = Math.floor(memoryBytes * BODY_MEMORY_SHARE)
    this._singleBytes = Math.floor(memoryBytes * SINGLE_BODY_SHARE)
    this._reservedBytes = Math.floor(this.limitBytes * RESERVED_SHARE)
    this._maxSmallBytes = Math.min(MAX_SMALL_BYTES, this._reservedBytes * MAX_SMALL_SHARE)
  }

  /** Bytes that all leases hold. */
  public get heldBytes (): number {
    return this._heldBytes
  }

  /** Returns whether a body fits beside those that are held. */
  public hasRoomFor (bytes: number): boolean {
    return this._fits(0, bytes)
  }

  /**
   * Makes room for a body that is not held yet: bodies that have stalled give way.
   * @returns Whether there is room now.
   */
  public tryMakeRoom (bytes: number, nowMs: number): boolean {
    return this._tryMakeRoom(undefined, 0, bytes, nowMs)
  }

  /** Opens a lease that holds nothing yet. */
  public lease (): BodyLease {
    return new BodyLease(this._account)
  }

  /**
   * Opens a lease for a body that arrives from a caller.
   * @param onLost Called when it gives way to others: it has lost its room, and the body must be dropped.
   */
  public openArriving (nowMs: number, onLost: () => void): BodyLease {
    const lease = new BodyLease(this._account, onLost)
    lease.markProgress(nowMs)
    this._arriving.add(lease)
    return lease
  }

  private readonly _account: LeaseAccount = {
    change: (heldBytes, bytes) => {
      this._heldBytes += bytes
      this._smallBytes += this._smallPart(heldBytes + bytes) - this._smallPart(heldBytes)
    },
    tryMakeRoom: (lease, bytes, nowMs) => nowMs === undefined
      ? this._fits(lease.bytes, bytes)
      : this._tryMakeRoom(lease, lease.bytes, bytes, nowMs),
    noteProgress: lease => {
      if (!this._arriving.delete(lease)) return
      this._arriving.add(lease)
    },
    endArrival: lease => { this._arriving.delete(lease) }
  }

  /** Returns whether a body that holds some bytes may take more. */
  private _fits (ownBytes: number, bytes: number): boolean {
    if (this._heldBytes + bytes <= this.limitBytes) return true
    const size = ownBytes + bytes
    if (size <= this._maxSmallBytes) return this._smallBytes + bytes <= this._reservedBytes
    return this._heldBytes - ownBytes <= this._reservedBytes && size <= this._singleBytes
  }

  private _tryMakeRoom (lease: BodyLease | undefined, ownBytes: number, bytes: number, nowMs: number): boolean {
    // No other body can make room for one that exceeds what a single one may take.
    if (ownBytes + bytes > Math.max(this._singleBytes, this.limitBytes)) return false
    for (const other of this._arriving) {
      if (this._fits(ownBytes, bytes) || nowMs - other.progressAtMs < STALL_MS) break
      if (other !== lease && other.bytes > 0) other.lose()
    }
    return this._fits(ownBytes, bytes)
  }

  private _smallPart (bytes: number): number {
    return bytes <= this._maxSmallBytes ? bytes : 0
  }
}

/** What a lease needs of its memory. */
interface LeaseAccount {
  /** Notes that a lease that holds some bytes takes more, or returns some. */
  change (heldBytes: number, bytes: number): void
  /** Without the time nobody gives way. */
  tryMakeRoom (lease: BodyLease, bytes: number, nowMs: number | undefined): boolean
  noteProgress (lease: BodyLease): void
  endArrival (lease: BodyLease): void
}

/** What one body holds of the memory for bodies. */
export class BodyLease {
  private _bytes = 0
  private _progressBytes = 0
  /** When the body was last seen to arrive at more than the least rate. */
  public progressAtMs = 0

  /**
   * @param _onLost Called when the body has to give way; a lease without it never does.
   */
  public constructor (private readonly _account: LeaseAccount, private readonly _onLost?: () => void) {}

  /** Bytes that are held. */
  public get bytes (): number {
    return this._bytes
  }

  /**
   * Takes more bytes if they fit, and returns whether they did.
   * @param nowMs When given, bodies that have stalled give way.
   */
  public tryGrow (bytes: number, nowMs?: number): boolean {
    if (!this._account.tryMakeRoom(this, bytes, nowMs)) return false
    this.grow(bytes)
    if (nowMs !== undefined && this._bytes - this._progressBytes >= PROGRESS_BYTES) this.markProgress(nowMs)
    return true
  }

  /** Takes more bytes even if they exceed the bound, for bodies that are never refused. */
  public grow (bytes: number): void {
    this._account.change(this._bytes, bytes)
    this._bytes += bytes
  }

  /** Notes that the body is arriving. */
  public markProgress (nowMs: number): void {
    this._progressBytes = this._bytes
    this.progressAtMs = nowMs
    this._account.noteProgress(this)
  }

  /** Notes that the body is whole: it keeps its room until it is released. */
  public endArrival (): void {
    this._account.endArrival(this)
  }

  /** Returns all bytes, since others need the room. */
  public lose (): void {
    this.release()
    this._onLost?.()
  }

  /** Returns all bytes; may be called more than once. */
  public release (): void {
    this.endArrival()
    this.grow(-this._bytes)
  }
}
