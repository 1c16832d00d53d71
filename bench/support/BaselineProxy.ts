/** Plain HTTP proxies as baselines for the latency of nodes: `node BaselineProxy.js KIND LISTEN_PORT TARGET_PORT`. */
import { createServer } from 'node:http'
import express from 'express'
import got from 'got'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'

/** Server and client library of a proxy. */
export type ProxyKind = 'express-got' | 'http-undici'

/** Maximum connections to the target. */
const CONNECTIONS = 64

const STARTERS: Record<ProxyKind, (listenPort: number, targetPort: number) => void> = {
  'express-got': startExpressGot,
  'http-undici': startHttpUndici
}

function startExpressGot (listenPort: number, targetPort: number): void {
  const app = express()
  app.disable('x-powered-by')
  app.use((request, response) => {
    const target = `http://127.0.0.1:${targetPort}${request.url}`
    const stream = got.stream(target, { method: 'GET', retry: { limit: 0 }, throwHttpErrors: false, decompress: false })
    stream.on('response', answer => response.writeHead(answer.statusCode, answer.headers))
    stream.on('error', () => response.destroy())
    stream.pipe(response)
  })
  app.listen(listenPort, '127.0.0.1')
}

function startHttpUndici (listenPort: number, targetPort: number): void {
  const pool = new Pool(`http://127.0.0.1:${targetPort}`, { connections: CONNECTIONS, pipelining: 1 })
  const server = createServer((request, response) => {
    const method = request.method as Dispatcher.HttpMethod
    pool.request({ path: request.url ?? '/', method }).then(async answer => {
      response.writeHead(answer.statusCode, answer.headers)
      response.end(Buffer.from(await answer.body.arrayBuffer()))
    }).catch(() => response.destroy())
  })
  server.listen(listenPort, '127.0.0.1')
}

const [kind, listenPort, targetPort] = process.argv.slice(2)
STARTERS[kind as ProxyKind](Number(listenPort), Number(targetPort))
