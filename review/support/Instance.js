import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { delay } from './Deployment.js'
import { send } from './Operator.js'

/** Interval of the heartbeats, in milliseconds. */
const HEARTBEAT_MS = 1500

/**
 * A sound instance beside a node: runs requests in slots with a small queue, answers with its signature, rejects what
 * is not for it, and sends heartbeats to its node. It writes to the record what it ran.
 */
export class Instance {
  #running = 0
  #queue = []
  #sequence = 0
  #isLeaving = false
  #server
  #timer
  /** Runs: id of the request, service of the caller, method, path, digest of the body, start and end. */
  runs = []

  /**
   * @param spoil Returns the bytes that are sent instead of an answer's bytes, for a faulty instance; undefined sends
   * the answer as it is.
   * @param losesAnswer Returns whether the connection of a run is reset in place of its answer.
   */
  constructor (deployment, machine, { id, slots = 6, queue = 12, workMs = 40, spoil = () => undefined, losesAnswer = () => false }) {
    Object.assign(this, { deployment, machine, id, slots, queueLimit: queue, workMs, spoil, losesAnswer, bornMs: Date.now() })
    this.address = deployment.address(machine, 'app')
  }

  /** Listens and sends heartbeats until it is stopped. */
  async start () {
    this.#server = createServer((request, response) => this.#handle(request, response))
    this.#server.keepAliveTimeout = 10_000
    const [host, port] = this.address.split(':')
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
    this.deployment.record(`instance ${this.id} (${this.machine.service}) listens beside ${this.machine.name}, born ${this.bornMs}`)
    this.#beat()
  }

  /** Ends at once, as in a crash. */
  async stop () {
    clearTimeout(this.#timer)
    this.#timer = undefined
    this.#server.closeAllConnections()
    await new Promise(resolve => this.#server.close(resolve))
  }

  /** What a heartbeat of this instance says now. */
  heartbeat () {
    return {
      Service: this.machine.service,
      Address: this.address,
      Zone: this.machine.zone,
      Version: 'v1',
      Slots: this.slots,
      State: this.#isLeaving ? 'draining' : 'ready',
      ColdRemaining: '0ms',
      Seq: ++this.#sequence,
      born: this.bornMs
    }
  }

  /** Sends heartbeats until one is acknowledged. */
  async report () {
    const control = this.deployment.address(this.machine, 'control')
    for (;;) {
      const answer = await send(control, 'POST', `/api/Instances.Heartbeat/${this.id}`, this.heartbeat())
      if (answer.status === 200) return performance.now()
      await delay(100)
    }
  }

  /** Reports that it leaves; returns when the report was acknowledged. */
  async drain () {
    this.#isLeaving = true
    return await this.report()
  }

  async #beat () {
    const startedAtMs = performance.now()
    await this.report()
    if (this.#timer === undefined && !this.#server.listening) return
    this.#timer = setTimeout(() => this.#beat(), Math.max(0, HEARTBEAT_MS - (performance.now() - startedAtMs)))
  }

  #load () {
    return `${this.#running},${this.#queue.length},${this.slots},100`
  }

  #handle (request, response) {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', () => this.#offer(request, response, Buffer.concat(chunks)))
  }

  #offer (request, response, body) {
    const { headers, url } = request
    if (url === '/healthz') {
      response.writeHead(this.#isLeaving ? 503 : 200, { 'x-instance-id': this.id, 'x-instance-load': this.#load(), 'content-length': 0 })
      return response.end()
    }
    const requestId = headers['x-request-id']
    const echo = requestId === undefined ? {} : { 'x-request-id': requestId }
    const reject = status => {
      response.writeHead(status, { ...echo, 'x-not-executed': '1', 'x-instance-load': this.#load(), 'content-length': 0 })
      response.end()
    }
    if (requestId === undefined) return reject(400)
    if (headers['x-target-instance'] !== undefined && headers['x-target-instance'] !== this.id) return reject(421)
    if (this.#running >= this.slots && this.#queue.length >= this.queueLimit) return reject(503)
    this.#queue.push(() => this.#run(request, response, body, echo))
    this.#startNext()
  }

  #startNext () {
    if (this.#running < this.slots) this.#queue.shift()?.()
  }

  async #run ({ method, url, headers }, response, body, echo) {
    this.#running++
    const run = {
      requestId: headers['x-request-id'],
      caller: headers['x-caller-service'],
      method,
      path: url,
      body: createHash('sha256').update(body).digest('hex').slice(0, 8),
      startedAtMs: performance.now()
    }
    this.runs.push(run)
    this.deployment.record(`instance ${this.id} runs ${run.requestId} of caller service ${run.caller}: ${method} ${url}`)
    await delay(this.workMs)
    this.#running--
    this.#startNext()
    if (this.losesAnswer(run)) {
      this.deployment.record(`instance ${this.id} has run ${run.requestId}, and resets the connection in place of the answer`)
      return response.socket?.resetAndDestroy()
    }
    const answer = Buffer.from(`${this.id} ${run.requestId} ${run.body}`)
    const signature = createHash('sha256').update(answer).digest('hex').slice(0, 16)
    const answerHeaders = {
      ...echo, 'x-response-signature': signature, 'x-instance-load': this.#load(), 'content-length': answer.length
    }
    const head = Object.entries(answerHeaders).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const spoiled = this.spoil(`HTTP/1.1 200 OK\r\n${head}\r\n${answer}`)
    if (spoiled !== undefined) {
      this.deployment.record(`instance ${this.id} answers ${run.requestId} with spoiled bytes: ${JSON.stringify(spoiled.toString('latin1'))}`)
      return response.socket?.write(spoiled)
    }
    response.writeHead(200, answerHeaders)
    response.end(answer)
  }
}
