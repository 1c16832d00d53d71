import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Answers a request with 400 and closes its connection when a header name contains a space. Some releases of Node.js 20
 * accept such names, and an upstream could read them as other headers.
 * @returns True when the request was answered.
 */
export function refuseMalformedHead (message: IncomingMessage, response: ServerResponse): boolean {
  const isMalformed = message.rawHeaders.some((text, index) => index % 2 === 0 && text.includes(' '))
  if (isMalformed) response.writeHead(400, { connection: 'close', 'content-length': 0 }).end()
  return isMalformed
}
