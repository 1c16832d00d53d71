import { request as httpRequest } from 'node:http'
import type { IncomingHttpHeaders, RequestOptions } from 'node:http'

/** A complete answer. */
export interface Answer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** Parameters of a call; `service` becomes the Host header. */
export interface CallOptions {
  readonly service: string
  readonly port: number
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly agent?: RequestOptions['agent']
}

/** Sends one request and reads the complete answer; rejects when the connection is lost. */
export async function call (path: string, options: CallOptions): Promise<Answer> {
  const { service, port, method = 'GET', body = '', agent } = options
  const headers = { host: `${service}.mesh`, ...options.headers }
  return await new Promise((resolve, reject) => {
    const requestOptions: RequestOptions = { port, host: '127.0.0.1', path, method, headers }
    const request = httpRequest(agent === undefined ? requestOptions : { ...requestOptions, agent }, response => {
      const chunks: Buffer[] = []
      response.on('data', chunk => chunks.push(chunk as Buffer))
      response.on('error', reject)
      response.on('end', () => resolve({
        status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString()
      }))
    })
    request.on('error', reject)
    request.end(body)
  })
}
