import type { IncomingMessage } from 'node:http'

const NO_BYTES = Buffer.alloc(0)

/** Size up to which a body is collected in a plain buffer, in bytes. */
const MAX_PLAIN_BYTES = 512 * 1024

/** Memory of a small body of unknown size at first, in bytes, and the factor by which it grows. */
const FIRST_BYTES = 4096
const GROWTH_FACTOR = 8

/** Steps in which a large body grows, and the addresses that are reserved for it, in bytes. */
const LARGE_STEP_BYTES = 256 * 1024
const RESERVED_BYTES = 64 * 1024 * 1024

/** Bytes of memory that a body takes at a time. */
const ROOM_STEP_BYTES = 4096

/** Result of reading a body. `gone` means that the caller disconnected before the end of the body. */
export type BodyResult =
  | { readonly type: 'whole', readonly bytes: Buffer }
  | { readonly type: 'tooLarge' }
  /** The memory for bodies has no room for it; the rest of the body is discarded as it arrives. */
  | { readonly type: 'noRoom' }
  | { readonly type: 'gone' }

/** Memory for a body. */
export interface BodyRoom {
  /** Takes room for so many more bytes, and returns whether there is room. */
  tryGrow (bytes: number): boolean
}

/** A body that is being read. */
export interface BodyReading {
  /** Drops what has arrived, and calls no listener any more; the rest of the body is discarded as it arrives. */
  drop (): void
}

const NO_READING: BodyReading = { drop: () => {} }

/**
 * Reads a request body into memory, up to a limit.
 * @param room Memory that must have room for the body, which is taken as it arrives.
 * @param onResult Called at most once; synchronously when there is no body or its announced length is over the limit.
 */
export function readBody (
  message: IncomingMessage, maxBytes: number, onResult: (result: BodyResult) => void, room?: BodyRoom
): BodyReading {
  const contentLength = Number(message.headers['content-length'] ?? 0)
  if (contentLength > maxBytes) {
    onResult({ type: 'tooLarge' })
    return NO_READING
  }
  if (contentLength === 0 && message.headers['transfer-encoding'] === undefined) {
    message.resume()
    onResult({ type: 'whole', bytes: NO_BYTES })
    return NO_READING
  }
  return new BodyCollector(message, contentLength > 0 ? contentLength : undefined, maxBytes, onResult, room)
}

/**
 * Copies the chunks of a body into memory of its own: a chunk that is kept keeps the buffer into which it was read.
 * A large body has a resizable buffer, which grows in place and returns its memory at once when the body is dropped,
 * without waiting for the garbage collector.
 *
 * Memory: what has arrived, and one step.
 */
class BodyCollector implements BodyReading {
  private _plain: Uint8Array = NO_BYTES
  private _large: ResizableBuffer | undefined
  private _length = 0
  private _roomBytes = 0
  private _isDone = false
  private readonly _limitBytes: number

  /**
   * @param _size Announced size in bytes; undefined when it is unknown.
   */
  public constructor (
    message: IncomingMessage,
    private readonly _size: number | undefined,
    private readonly _maxBytes: number,
    private readonly _onResult: (result: BodyResult) => void,
    private readonly _room: BodyRoom | undefined
  ) {
    this._limitBytes = _size ?? _maxBytes
    message.on('data', (chunk: Buffer) => this._add(chunk))
    message.once('end', () => this._end())
    message.once('close', () => this._fail({ type: 'gone' }))
  }

  public drop (): void {
    if (this._isDone) return
    this._isDone = true
    this._plain = NO_BYTES
    this._large?.resize(0)
    this._large = undefined
  }

  private _add (chunk: Buffer): void {
    if (this._isDone) return
    const length = this._length + chunk.length
    if (length > this._maxBytes) return this._fail({ type: 'tooLarge' })
    if (!this._tryTakeRoom(length)) return this._fail({ type: 'noRoom' })
    if (length > this._plain.length) this._enlarge(length)
    this._plain.set(chunk, this._length)
    this._length = length
  }

  private _tryTakeRoom (length: number): boolean {
    if (this._room === undefined || length <= this._roomBytes) return true
    const roomBytes = Math.min(Math.ceil(length / ROOM_STEP_BYTES) * ROOM_STEP_BYTES, this._limitBytes)
    if (!this._room.tryGrow(roomBytes - this._roomBytes)) return false
    this._roomBytes = roomBytes
    return true
  }

  private _enlarge (length: number): void {
    if (length > MAX_PLAIN_BYTES) return this._enlargeLarge(length)
    const wanted = this._length === 0 ? this._size ?? FIRST_BYTES : this._plain.length * GROWTH_FACTOR
    const bytes = Buffer.allocUnsafe(Math.min(Math.max(length, wanted), this._limitBytes, MAX_PLAIN_BYTES))
    bytes.set(this._plain.subarray(0, this._length))
    this._plain = bytes
  }

  private _enlargeLarge (length: number): void {
    if (this._large === undefined || length > this._large.maxByteLength) {
      const former = this._large
      const large = makeResizableBuffer(Math.min(this._limitBytes, Math.max(RESERVED_BYTES, 2 * length)))
      large.resize(length)
      const bytes = new Uint8Array(large)
      bytes.set(this._plain.subarray(0, this._length))
      former?.resize(0)
      this._large = large
      this._plain = bytes
    }
    this._large.resize(Math.min(length + LARGE_STEP_BYTES, this._large.maxByteLength))
  }

  private _end (): void {
    if (this._isDone) return
    this._isDone = true
    const { buffer, byteOffset } = this._plain
    this._onResult({ type: 'whole', bytes: Buffer.from(buffer, byteOffset, this._length) })
  }

  private _fail (result: BodyResult): void {
    if (this._isDone) return
    this.drop()
    this._onResult(result)
  }
}

/** Part of the standard type that the compiler's library lacks. */
interface ResizableBuffer extends ArrayBuffer {
  readonly maxByteLength: number
  resize (byteLength: number): void
}

function makeResizableBuffer (maxByteLength: number): ResizableBuffer {
  const Type = ArrayBuffer as unknown as new (byteLength: number, options: object) => ResizableBuffer
  return new Type(0, { maxByteLength })
}
