/** Stand-in of the clients on the machines: requests at a steady rate, each on a new connection and with its own id. */
import { PORTS } from './Deployment.js'
import { call } from './Http.js'

const METHODS = { checkout: 'POST' }

let lastId = 0

export class Traffic {
  /**
   * @param machines Machines whose clients send.
   * @param record Called with each event.
   */
  constructor (machines, record) {
    this._machines = machines
    this._record = record
    this._timers = []
    this._next = 0
    this.open = 0
  }

  /** Sends so many requests a second of each route. */
  start (rates) {
    for (const [name, perS] of Object.entries(rates)) {
      this._timers.push(setInterval(() => this.send(name), 1000 / perS))
    }
  }

  stop () {
    this._timers.forEach(timer => clearInterval(timer))
  }

  /** Sends one request and records what came back. */
  async send (name, { machine = this._machines[this._next++ % this._machines.length], deadlineMs = 2500 } = {}) {
    const request = `q${process.pid.toString(16)}x${(++lastId).toString(16).padStart(6, '0')}`
    const body = METHODS[name] === undefined ? undefined : `body of ${request}`
    this._record('sent', { request, route: name, at: machine.host })
    this.open++
    const answer = await call({
      host: machine.host,
      port: PORTS.outbound,
      method: METHODS[name] ?? 'GET',
      path: `/${name}/${request}`,
      headers: {
        host: `${name}.example`,
        'x-request-id': request,
        'x-deadline-ms': String(deadlineMs),
        ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) })
      },
      body,
      timeoutMs: deadlineMs + 500
    })
    this.open--
    const { status, error, headers, tookMs } = answer
    const signature = headers['x-response-signature']
    this._record('answered', { request, status, ...(error === undefined ? {} : { error }), signature, body: answer.body, tookMs: Math.round(tookMs) })
    return { request, ...answer }
  }
}
