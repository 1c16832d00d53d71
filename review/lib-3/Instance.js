/** Stand-in of an application instance beside a node: it follows the pages on requests, health and heartbeats. */
import { createServer } from 'node:http'
import { PORTS } from './Deployment.js'
import { call } from './Http.js'

/** Interval of heartbeats, in milliseconds; `Heartbeat` of the settings. */
const HEARTBEAT_MS = 1500

const SLOTS = 6

let lastId = 0

/** One incarnation of an instance. */
export class Instance {
  /**
   * @param machine Machine of the node beside it.
   * @param service Service that it runs.
   * @param record Called with each event.
   */
  constructor (machine, service, record, { id, workMs = 20 } = {}) {
    this.machine = machine
    this.service = service
    this.id = id ?? `i-${process.pid.toString(16)}${(++lastId).toString(16).padStart(4, '0')}`
    this.workMs = workMs
    this.state = 'ready'
    this.running = 0
    this._record = record
    this._sequence = 0
    this._sockets = new Set()
    this._server = createServer({ keepAliveTimeout: 10_000 }, (message, response) => this._handle(message, response))
    this._server.on('connection', socket => {
      this._sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => this._sockets.delete(socket))
    })
  }

  get address () {
    return `${this.machine.host}:${PORTS.app}`
  }

  /** Starts to listen, then sends the first heartbeat at once and the others at their interval. */
  async start () {
    this.bornMs = Date.now()
    await new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(PORTS.app, this.machine.host, resolve)
    })
    this._record('instance started', { instance: this.id, service: this.service, address: this.address })
    this.heartbeat()
    this._timer = setInterval(() => this.heartbeat(), HEARTBEAT_MS)
  }

  /** Sends a heartbeat; resolves to whether it was acknowledged. */
  async heartbeat (state = this.state) {
    const body = JSON.stringify({
      Service: this.service,
      Address: this.address,
      Zone: this.machine.zone,
      Version: 'v1',
      Slots: SLOTS,
      State: state,
      ColdRemaining: '0ms',
      Seq: ++this._sequence,
      born: this.bornMs
    })
    const { status } = await this._report('Heartbeat', body)
    return status >= 200 && status < 300
  }

  /** Says that the instance leaves; resolves to whether that was acknowledged. */
  async drain () {
    this.state = 'draining'
    return await this.heartbeat()
  }

  async deregister () {
    const { status } = await this._report('Deregister', JSON.stringify({ born: this.bornMs }))
    return status >= 200 && status < 300
  }

  /** Ends at once, as a crash does: its connections are reset and nothing listens any more. */
  crash () {
    clearInterval(this._timer)
    this._hasEnded = true
    this._server.close()
    for (const socket of this._sockets) socket.resetAndDestroy()
    this._record('instance ended', { instance: this.id, service: this.service })
  }

  async _report (operation, body) {
    return await call({
      host: this.machine.host,
      port: PORTS.control,
      method: 'POST',
      path: `/api/Instances.${operation}/${this.id}`,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      body
    })
  }

  _handle (message, response) {
    if (this._hasEnded) return
    const load = { 'x-instance-load': `${this.running},0,${SLOTS},100`, 'x-instance-id': this.id }
    if (message.url === '/healthz') {
      response.writeHead(this.state === 'ready' ? 200 : 503, { ...load, 'content-length': 0 }).end()
      return
    }
    const chunks = []
    message.on('data', chunk => chunks.push(chunk))
    message.on('end', () => this._run(message, response, load, Buffer.concat(chunks)))
  }

  _run ({ headers, method, url }, response, load, body) {
    const id = headers['x-request-id']
    const echo = id === undefined ? {} : { 'x-request-id': id }
    const reject = status => {
      this._record('rejected', { request: id, instance: this.id, status })
      response.writeHead(status, { ...load, ...echo, 'x-not-executed': '1', 'content-length': 0 }).end()
    }
    if (id === undefined) return reject(400)
    if ((headers['x-target-instance'] ?? this.id) !== this.id) return reject(421)
    if (this.running >= SLOTS) return reject(503)
    this.running++
    this._record('ran', {
      request: id, method, path: url, bytes: body.length, instance: this.id, service: this.service, caller: headers['x-caller-service']
    })
    const timer = setTimeout(() => {
      end()
      const text = `${this.service} ${this.id} ${id}`
      this._answer(response, {
        ...load, ...echo, 'x-response-signature': `s.${this.id}.${id}`, 'content-length': Buffer.byteLength(text)
      }, text)
    }, this.workMs)
    const end = () => {
      if (this._isEnded(response)) return
      response.isRunEnded = true
      clearTimeout(timer)
      this.running--
    }
    response.once('close', end)
  }

  _answer (response, headers, text) {
    response.writeHead(200, headers).end(text)
  }

  _isEnded (response) {
    return response.isRunEnded === true
  }
}
