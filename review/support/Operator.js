import { request } from 'node:http'
import { delay } from './Deployment.js'

/** Time for which an operator waits for the response to an order before it asks another machine, in milliseconds. */
const ORDER_TIMEOUT_MS = 1000

/** First and longest delay before the next machine is asked, in milliseconds; it doubles. */
const BACKOFF_MS = { first: 50, longest: 800 }

/** Statuses that end an order at once. */
const FINAL_STATUSES = new Set([200, 400, 409, 412, 413, 422])

/** Sends one HTTP request with a JSON body; the status is 0 without a response in time. */
export async function send (address, method, path, body, timeoutMs = ORDER_TIMEOUT_MS) {
  const [host, port] = address.split(':')
  const text = body === undefined ? '' : JSON.stringify(body)
  const headers = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
  return await new Promise(resolve => {
    const outgoing = request({ host, port, method, path, headers, agent: false }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => finish(response.statusCode, Buffer.concat(chunks).toString()))
      response.on('error', error => finish(0, error.message))
    })
    const timer = setTimeout(() => {
      finish(0, 'no response in time')
      outgoing.destroy()
    }, timeoutMs)
    const finish = (status, answer) => {
      clearTimeout(timer)
      resolve({ status, body: answer })
    }
    outgoing.on('error', error => finish(0, error.message))
    outgoing.end(text)
  })
}

/** An operator: asks one machine after the other, with increasing backoff, until an order has a clear response. */
export class Operator {
  #next = 0

  /**
   * @param listMachines Returns the machines that serve `control` and run.
   */
  constructor (deployment, listMachines) {
    this.deployment = deployment
    this.listMachines = listMachines
  }

  /** Repeats a call until it has a clear response or the time is over; the last response is returned. */
  async call (method, path, body, limitMs, label) {
    const untilMs = performance.now() + limitMs
    let backoffMs = BACKOFF_MS.first
    let last
    let attempts = 0
    for (;;) {
      const machines = this.listMachines()
      const machine = machines[this.#next++ % machines.length]
      last = { ...await send(this.deployment.address(machine, 'control'), method, path, body), machine }
      attempts++
      if (FINAL_STATUSES.has(last.status)) break
      if (performance.now() + backoffMs >= untilMs) break
      await delay(backoffMs)
      backoffMs = Math.min(2 * backoffMs, BACKOFF_MS.longest)
    }
    if (label !== null) {
      const why = last.status === 200 ? '' : ` ${last.body.slice(0, 160)}`
      this.deployment.record(`${label}: ${last.status === 0 ? 'no response' : last.status} from ${last.machine.name} after ${attempts} calls${why}`)
    }
    return last
  }

  /** Sends a complete configuration. */
  async put (configuration, version, base, limitMs = 10_000, label = `Config.Put r${version} on r${base}`) {
    const body = { Version: `r${version}`, ...configuration, BaseVersion: base === 0 ? 0 : `r${base}` }
    return await this.call('POST', '/api/Config.Put', body, limitMs, label)
  }

  /** Reads the newest configuration. */
  async read (limitMs, label = 'Config.Get') {
    return await this.call('GET', '/api/Config.Get', undefined, limitMs, label)
  }
}

/** A complete configuration; `routes` are given as name, host, prefix, kind and service. */
export function makeConfiguration (routes, services, { timeoutMs = 1500 } = {}) {
  return {
    Routes: routes.map(({ name, host, prefix, kind, service }) => ({
      Name: name,
      Host: host,
      PathPrefix: prefix,
      RouteKind: kind,
      Timeout: `${timeoutMs}ms`,
      TargetLatency: '600ms',
      Priority: 1,
      Service: service,
      MaxAttempts: 2
    })),
    Services: services.map(name => ({ Name: name, HealthPath: '/healthz', MaxConnections: 220, Protocol: 'h1', Tls: false })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
  }
}
