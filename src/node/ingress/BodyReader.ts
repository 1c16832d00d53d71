import type { IncomingMessage } from 'node:http'

const NO_BYTES = Buffer.alloc(0)

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

/**
 * Reads a request body into memory, up to a limit.
 * @param room Memory that must have room for the body; a body of unknown length takes it as it arrives.
 * @param onResult Called exactly once; synchronously when there is no body or its announced length is over the limit.
 */
export function readBody (
  message: IncomingMessage, maxBytes: number, onResult: (result: BodyResult) => void, room?: BodyRoom
): void {
  const contentLength = Number(message.headers['content-length'] ?? 0)
  if (contentLength > maxBytes) {
    onResult({ type: 'tooLarge' })
    return
  }
  if (contentLength === 0 && message.headers['transfer-encoding'] === undefined) {
    message.resume()
    onResult({ type: 'whole', bytes: NO_BYTES })
    return
  }
  if (room === undefined) return collect(message, maxBytes, onResult)
  if (contentLength === 0) return collect(message, maxBytes, onResult, room)
  if (room.tryGrow(contentLength)) return collectInto(Buffer.allocUnsafeSlow(contentLength), message, onResult)
  message.resume()
  onResult({ type: 'noRoom' })
}

/** Avoids the second copy that joining chunks takes for a moment. */
function collectInto (buffer: Buffer, message: IncomingMessage, onResult: (result: BodyResult) => void): void {
  let length = 0
  message.on('data', (chunk: Buffer) => { length += chunk.copy(buffer, length) })
  // The parser ends a message only when it has as many bytes as announced.
  message.once('end', () => onResult({ type: 'whole', bytes: buffer }))
  message.once('close', () => { if (!message.complete) onResult({ type: 'gone' }) })
}

function collect (
  message: IncomingMessage, maxBytes: number, onResult: (result: BodyResult) => void, room?: BodyRoom
): void {
  const chunks: Buffer[] = []
  let length = 0
  let done = false
  const finish = (result: BodyResult): void => {
    if (done) return
    done = true
    onResult(result)
  }
  message.on('data', (chunk: Buffer) => {
    if (done) return
    length += chunk.length
    if (length > maxBytes) finish({ type: 'tooLarge' })
    else if (room?.tryGrow(chunk.length) === false) finish({ type: 'noRoom' })
    else chunks.push(chunk)
  })
  message.once('end', () => finish({ type: 'whole', bytes: Buffer.concat(chunks, length) }))
  message.once('close', () => finish({ type: 'gone' }))
}
