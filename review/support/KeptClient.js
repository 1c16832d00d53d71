import { Agent, request } from 'node:http'

/** A client that sends one request after the other on one connection, which it keeps open, and sends none again. */
export class KeptClient {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  #count = 0
  #isStopped = false
  /** Outcome of each request: its id, the status (0 without an answer), and whether its connection had been used before. */
  answers = []

  constructor (deployment, machine, name) {
    Object.assign(this, { deployment, machine, name })
  }

  /** Sends requests until it is stopped; the next one is sent when the one before has ended. */
  async run (makeRequest, pauseMs) {
    while (!this.#isStopped) {
      await this.send(makeRequest(this.#count))
      await new Promise(resolve => setTimeout(resolve, pauseMs))
    }
    this.#agent.destroy()
  }

  /** The request that is under way is still answered. */
  stop () {
    this.#isStopped = true
  }

  /** Sends one request, and resolves when it has ended. */
  async send ({ host, path, method = 'GET', body = '', deadlineMs = 2000 }) {
    const requestId = `${this.name}-${++this.#count}`
    const [ip, port] = this.deployment.address(this.machine, 'outbound').split(':')
    const headers = {
      host, 'x-request-id': requestId, 'x-deadline-ms': String(deadlineMs), 'content-length': Buffer.byteLength(body)
    }
    const sentAtMs = performance.now()
    const answer = await new Promise(resolve => {
      const outgoing = request({ host: ip, port, method, path, headers, agent: this.#agent }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('end', () => resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString(), kept: outgoing.reusedSocket }))
        response.on('error', error => resolve({ status: 0, body: error.message, kept: outgoing.reusedSocket }))
      })
      const timer = setTimeout(() => outgoing.destroy(new Error('the client has given up')), deadlineMs + 1000)
      outgoing.on('error', error => resolve({ status: 0, body: error.message, kept: outgoing.reusedSocket }))
      outgoing.on('close', () => clearTimeout(timer))
      outgoing.end(body)
    })
    const tookMs = Math.round(performance.now() - sentAtMs)
    this.answers.push({ requestId, path, sentAtMs, tookMs, ...answer })
    const connection = answer.kept ? 'kept' : 'new'
    const outcome = answer.status === 0 ? `without an answer (${answer.body})` : `answered ${answer.status}`
    this.deployment.record(`client ${requestId} ${method} ${path} on a ${connection} connection of ${this.machine.name}: ${outcome} after ${tookMs} ms`)
  }
}
