import type { IncomingMessage } from 'node:http'

const NO_BYTES = Buffer.alloc(0)

/** Result of reading a body. `gone` means that the caller disconnected before the end of the body. */
export type BodyResult =
  | { readonly type: 'whole', readonly bytes: Buffer }
  | { readonly type: 'tooLarge' }
  | { readonly type: 'gone' }

/**
 * Reads a request body into memory, up to a limit.
 * @param onResult Called exactly once; synchronously when there is no body or its announced length is over the limit.
 */
export function readBody (message: IncomingMessage, maxBytes: number, onResult: (result: BodyResult) => void): void {
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
  collect(message, maxBytes, onResult)
}

function collect (message: IncomingMessage, maxBytes: number, onResult: (result: BodyResult) => void): void {
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
    else chunks.push(chunk)
  })
  message.once('end', () => finish({ type: 'whole', bytes: Buffer.concat(chunks, length) }))
  message.once('close', () => finish({ type: 'gone' }))
}
