/** Share of a node's memory that answers may take before stalled receivers lose theirs. */
const ANSWER_MEMORY_SHARE = 0.125

/** Memory of a node whose settings do not tell it, in megabytes: that of the smallest VMs in use. */
const DEFAULT_MEMORY_MB = 250

const BYTES_PER_MB = 1024 * 1024

/** Least bytes that answers may take, whatever the settings say: one of the largest size. */
const MIN_LIMIT_BYTES = 16 * BYTES_PER_MB

/** Answers up to this size, in bytes, never wait for room. */
export const SMALL_ANSWER_BYTES = 256 * 1024

/**
 * Time without progress after which a receiver loses its answer when another one needs the room, in milliseconds. The
 * operating system buffers megabytes, so that the progress of a slow receiver shows only every few seconds.
 */
export const RECEIVER_STALL_MS = 4000

/** Multiple of the limit from which the receiver without progress for longest loses its answer at once. */
const HARD_LIMIT_FACTOR = 2

/** One answer that a node holds. */
export interface AnswerLease {
  /** Takes bytes of an answer that is being read. On false, the reader waits until its `onRoom` is called. */
  tryGrow (bytes: number): boolean
  /** Takes bytes of an answer that has arrived already. */
  grow (bytes: number, nowMs: number): void
  /** The receiver has taken a part of the answer. */
  recordProgress (nowMs: number): void
  /** Returns all bytes; may be called more than once. */
  release (): void
}

/** What is called for an answer. */
export interface AnswerOwner {
  /** There may be room for an answer that waits. */
  readonly onRoom?: () => void
  /** Closes the connection of the receiver; answers without it are still being read. */
  readonly onCut?: () => void
}

interface HeldAnswer extends AnswerOwner {
  bytes: number
  isWaiting: boolean
  progressAtMs: number
}

/**
 * Accounts for the answers that a node holds, from the moment at which they are read until their receivers have them.
 * While there is no room, large answers wait to be read, but for the oldest, so that one always comes to its end; and a
 * receiver that takes nothing of its answer loses it, the one without progress for longest first.
 *
 * Memory: one entry for each answer that is held.
 */
export class AnswerMemory {
  /** Bytes from which answers wait. */
  public readonly limitBytes: number
  private readonly _held = new Set<HeldAnswer>()
  private _heldBytes = 0
  private _waitingCount = 0

  /**
   * @param memoryMb Memory of the node in megabytes; undefined when it is not known.
   */
  public constructor (memoryMb: number | undefined) {
    this.limitBytes = Math.max(
      MIN_LIMIT_BYTES, Math.floor((memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB * ANSWER_MEMORY_SHARE)
    )
  }

  /** Bytes of all answers that are held. */
  public get heldBytes (): number {
    return this._heldBytes
  }

  /** True while answers wait for room. */
  public get hasWaiting (): boolean {
    return this._waitingCount > 0
  }

  /** Opens a lease that holds nothing yet. */
  public open (owner: AnswerOwner): AnswerLease {
    const answer: HeldAnswer = { ...owner, bytes: 0, isWaiting: false, progressAtMs: 0 }
    this._held.add(answer)
    return {
      tryGrow: bytes => {
        const mayGrow = this._mayGrow(answer, bytes)
        this._setWaiting(answer, !mayGrow)
        if (mayGrow) this._add(answer, bytes)
        return mayGrow
      },
      grow: (bytes, nowMs) => {
        answer.progressAtMs = nowMs
        this._add(answer, bytes)
        this.relieve(nowMs)
      },
      recordProgress: nowMs => { answer.progressAtMs = nowMs },
      release: () => this._release(answer)
    }
  }

  /** Frees room from stalled receivers while answers wait or there are more than may be held. */
  public relieve (nowMs: number): void {
    if (this._heldBytes <= this.limitBytes && !this.hasWaiting) return
    for (const answer of this._byProgress()) {
      const isStalled = nowMs - answer.progressAtMs >= RECEIVER_STALL_MS
      const isNeeded = this._heldBytes > this.limitBytes || this.hasWaiting
      const isOverHardLimit = this._heldBytes > HARD_LIMIT_FACTOR * this.limitBytes
      if (!isOverHardLimit && !(isStalled && isNeeded)) return
      this._release(answer)
      answer.onCut?.()
    }
  }

  /** Large answers with a receiver, the one without progress for longest first. */
  private _byProgress (): HeldAnswer[] {
    return [...this._held]
      .filter(({ onCut, bytes }) => onCut !== undefined && bytes > 0)
      .sort((one, other) => one.progressAtMs - other.progressAtMs)
  }

  private _mayGrow (answer: HeldAnswer, bytes: number): boolean {
    if (answer.bytes + bytes <= SMALL_ANSWER_BYTES || this._heldBytes + bytes <= this.limitBytes) return true
    // The oldest answer that is being read and has outgrown a small one.
    const [oldest] = [...this._held].filter(({ onCut, bytes: held, isWaiting }) =>
      onCut === undefined && (isWaiting || held > SMALL_ANSWER_BYTES))
    const canWait = [...this._held].some(({ onCut, bytes: held }) => onCut !== undefined && held > 0)
    return !canWait && (oldest === undefined || oldest === answer)
  }

  private _setWaiting (answer: HeldAnswer, isWaiting: boolean): void {
    if (answer.isWaiting === isWaiting || !this._held.has(answer)) return
    answer.isWaiting = isWaiting
    this._waitingCount += isWaiting ? 1 : -1
  }

  private _add (answer: HeldAnswer, bytes: number): void {
    if (!this._held.has(answer)) return
    answer.bytes += bytes
    this._heldBytes += bytes
  }

  private _release (answer: HeldAnswer): void {
    this._setWaiting(answer, false)
    if (!this._held.delete(answer)) return
    this._heldBytes -= answer.bytes
    answer.bytes = 0
    for (const { isWaiting, onRoom } of [...this._held]) if (isWaiting) onRoom?.()
  }
}
