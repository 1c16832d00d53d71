/** Client of the stand-ins: one request on a new connection, and what came back. */
import { request } from 'node:http'

/**
 * Sends one request on a new connection.
 * @returns Status 0 when no complete answer came, with the reason in `error`.
 */
export async function call ({ host, port, path, method = 'GET', headers = {}, body, timeoutMs = 1000 }) {
  return await new Promise(resolve => {
    const sentMs = performance.now()
    let settled = false
    const settle = result => {
      if (settled) return
      settled = true
      clearTimeout(timer)
      resolve({ tookMs: performance.now() - sentMs, headers: {}, body: '', ...result })
    }
    const outgoing = request({ host, port, path, method, headers, agent: false })
    const timer = setTimeout(() => {
      settle({ status: 0, error: 'no answer in time' })
      outgoing.destroy()
    }, timeoutMs)
    outgoing.on('error', error => settle({ status: 0, error: error.code ?? error.message }))
    outgoing.on('response', response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', error => settle({ status: 0, error: error.code ?? error.message }))
      response.on('end', () => {
        settle({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() })
      })
    })
    outgoing.end(body)
  })
}
