import { request } from 'node:http'
import { delay } from './Deployment.js'

/** Interval of the platform's checks of a node's readiness, in milliseconds. */
const READY_CHECK_MS = 1000

/** Clients on the machine of a node; each request is sent once, on a new connection, and recorded. */
export class Client {
  #count = 0
  answers = []

  constructor (deployment, machine) {
    Object.assign(this, { deployment, machine })
  }

  /** Sends one request, and resolves with its status (0 without an answer). */
  async send ({ host, path, method = 'GET', body = '', deadlineMs = 2000 }) {
    const requestId = `${this.machine.name}-${++this.#count}`
    const [ip, port] = this.deployment.address(this.machine, 'outbound').split(':')
    const sentAtMs = performance.now()
    const headers = {
      host, 'x-request-id': requestId, 'x-deadline-ms': String(deadlineMs), 'content-length': Buffer.byteLength(body)
    }
    const answer = await new Promise(resolve => {
      const outgoing = request({ host: ip, port, method, path, headers, agent: false }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('end', () => resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString() }))
        response.on('error', () => resolve({ status: 0, body: '' }))
      })
      const timer = setTimeout(() => outgoing.destroy(), deadlineMs + 1000)
      outgoing.on('error', () => resolve({ status: 0, body: '' }))
      outgoing.on('close', () => clearTimeout(timer))
      outgoing.end(body)
    })
    const tookMs = Math.round(performance.now() - sentAtMs)
    this.answers.push({ requestId, sentAtMs, tookMs, ...answer })
    this.deployment.record(`client at ${this.machine.name}: ${requestId} ${method} ${path} answered ${answer.status === 0 ? 'not at all' : answer.status} after ${tookMs} ms`)
    return answer.status
  }
}

/** Returns whether a node says that it is ready. */
export async function isReady (deployment, machine) {
  const [host, port] = deployment.address(machine, 'ready').split(':')
  return await new Promise(resolve => {
    const outgoing = request({ host, port, path: '/api/readyz', agent: false, timeout: READY_CHECK_MS }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(false))
    outgoing.end()
  })
}

/** Waits until nodes are ready; returns false when they are not in time. */
export async function waitUntilReady (deployment, machines, limitMs) {
  const untilMs = performance.now() + limitMs
  for (const machine of machines) {
    while (!await isReady(deployment, machine)) {
      if (performance.now() > untilMs) return false
      await delay(100)
    }
  }
  return true
}
