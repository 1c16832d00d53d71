import type { IncomingMessage } from 'node:http'

/** Returns the first value of a request's header, or undefined when the request has none. */
export function readHeader (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}
