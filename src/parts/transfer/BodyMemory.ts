/** Share of a node's memory that bodies may take. */
const BODY_MEMORY_SHARE = 0.25

/** Memory of a node whose settings do not tell it, in megabytes: that of the smallest VMs in use. */
const DEFAULT_MEMORY_MB = 250

const BYTES_PER_MB = 1024 * 1024

/**
 * Accounts for the bodies that a node holds, those of its callers and those of other nodes together, against a bound.
 *
 * Memory: two numbers, and one for each lease.
 */
export class BodyMemory {
  /** Bytes that uploads may take together with all other bodies. */
  public readonly limitBytes: number
  private _heldBytes = 0

  /**
   * @param memoryMb Memory of the node in megabytes; undefined when it is not known.
   */
  public constructor (memoryMb: number | undefined) {
    this.limitBytes = Math.floor((memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB * BODY_MEMORY_SHARE)
  }

  /** Bytes that all leases hold. */
  public get heldBytes (): number {
    return this._heldBytes
  }

  /** Returns whether a body fits beside those that are held. */
  public hasRoomFor (bytes: number): boolean {
    return this._heldBytes + bytes <= this.limitBytes
  }

  /** Opens a lease that holds nothing yet. */
  public lease (): BodyLease {
    return new BodyLease(this, change => { this._heldBytes += change })
  }
}

/** What one body holds of the memory for bodies. */
export class BodyLease {
  private _bytes = 0

  /**
   * @param _account Adds to the bytes that are held.
   */
  public constructor (private readonly _memory: BodyMemory, private readonly _account: (change: number) => void) {}

  /** Takes more bytes if they fit, and returns whether they did. */
  public tryGrow (bytes: number): boolean {
    if (!this._memory.hasRoomFor(bytes)) return false
    this.grow(bytes)
    return true
  }

  /** Takes more bytes even if they exceed the bound, for bodies that are never refused. */
  public grow (bytes: number): void {
    this._bytes += bytes
    this._account(bytes)
  }

  /** Returns all bytes; may be called more than once. */
  public release (): void {
    this._account(-this._bytes)
    this._bytes = 0
  }
}
