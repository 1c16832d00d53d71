import { MAX_FRAME_BYTES } from './Constants.js'

/** Share of the memory of a process that incomplete frames of one listener may take. */
const FRAME_MEMORY_SHARE = 0.125

/** Memory of a process whose settings do not tell it, in megabytes: that of the smallest VMs in use. */
const DEFAULT_MEMORY_MB = 250

const BYTES_PER_MB = 1024 * 1024

/** A connection with an incomplete frame. */
export interface FrameHolder {
  /** True once a whole frame has arrived on the connection. */
  readonly isKnown: boolean
  /** Closes the connection. */
  cut (): void
}

/**
 * Accounts for the incomplete frames of all connections of a listener. When there is no room, a connection with a frame
 * that is not complete is closed: one on which no whole frame has arrived yet, or else the one without progress for
 * longest.
 *
 * Memory: one entry for each connection with an incomplete frame.
 */
export class FrameMemory {
  /** Bytes that incomplete frames may take: at least one of the largest size. */
  public readonly limitBytes: number
  /** Bytes by connection, the one that has made progress last at the end. */
  private readonly _held = new Map<FrameHolder, number>()
  private _heldBytes = 0

  /**
   * @param memoryMb Memory of the process in megabytes; undefined when it is not known.
   */
  public constructor (memoryMb: number | undefined) {
    this.limitBytes = Math.max(MAX_FRAME_BYTES, (memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB * FRAME_MEMORY_SHARE)
  }

  /** Records that the incomplete frame of a connection has so many bytes now. */
  public record (holder: FrameHolder, bytes: number): void {
    this.release(holder)
    if (bytes === 0) return
    this._held.set(holder, bytes)
    this._heldBytes += bytes
    while (this._heldBytes > this.limitBytes && this._held.size > 1) this._cutOne(holder)
  }

  /** The connection holds no incomplete frame any more. */
  public release (holder: FrameHolder): void {
    this._heldBytes -= this._held.get(holder) ?? 0
    this._held.delete(holder)
  }

  private _cutOne (newest: FrameHolder): void {
    const others = [...this._held.keys()].filter(holder => holder !== newest)
    const victim = others.find(({ isKnown }) => !isKnown) ?? (newest.isKnown ? others[0]! : newest)
    this.release(victim)
    victim.cut()
  }
}
