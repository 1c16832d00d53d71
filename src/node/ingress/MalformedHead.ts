import type { IncomingMessage, ServerResponse } from 'node:http'
import { areWritableHeaders, isWritableTarget } from '../HeadSyntax.js'

/**
 * Answers a request with 400 and closes its connection when its head can't be forwarded: some releases of Node.js 20
 * accept spaces and empty texts as header names, which an upstream could read as other headers, and tabs in targets.
 * @returns True when the request was answered.
 */
export function refuseMalformedHead (message: IncomingMessage, response: ServerResponse): boolean {
  const isMalformed = !areWritableHeaders(message.rawHeaders) || !isWritableTarget(message.url)
  if (isMalformed) response.writeHead(400, { connection: 'close', 'content-length': 0 }).end()
  return isMalformed
}
