/** Stand-in of the operator: puts configurations and reads them back, at any process that serves control. */
import { CannotRun, PORTS, sleep } from './Deployment.js'
import { call } from './Http.js'

export class Operator {
  constructor (machines, record) {
    this._machines = machines
    this._record = record
    this._next = 0
    this.version = 0
  }

  /** Sends a whole configuration until it is acknowledged, as the pages say: the same again, to the next process. */
  async put (routes, services, version = this.version + 1, limitMs = 20_000) {
    const body = JSON.stringify({
      Version: `r${version}`,
      Routes: routes,
      Services: services.map(name => ({ Name: name, HealthPath: '/healthz', MaxConnections: 240, Protocol: 'h1', Tls: false })),
      Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
      BaseVersion: `r${this.version}`
    })
    const endMs = performance.now() + limitMs
    this._record('configuration sent', { version })
    while (performance.now() < endMs) {
      const { status } = await this.send('POST', '/api/Config.Put', body)
      if (status === 200) {
        this.version = version
        this._record('configuration acknowledged', { version })
        return
      }
      if (status >= 400 && status < 500) throw new CannotRun(`configuration r${version} refused with ${status}`)
      await sleep(100)
    }
    throw new CannotRun(`configuration r${version} not acknowledged`)
  }

  /** Sends one call to the next process and follows redirects. */
  async send (method, path, body, machine = this._machines[this._next++ % this._machines.length]) {
    let target = { host: machine.host, port: PORTS.control, path }
    for (let redirects = 0; ; redirects++) {
      const headers = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
      const answer = await call({ ...target, method, headers, body })
      if (answer.status !== 307 || redirects === 2) return answer
      const { hostname, port, pathname } = new URL(answer.headers.location)
      target = { host: hostname, port: Number(port), path: pathname }
    }
  }
}

/** A route of the configuration. */
export function route (name, service, kind, changes = {}) {
  return {
    Name: name,
    Host: `${name}.example`,
    PathPrefix: `/${name}/`,
    RouteKind: kind,
    Timeout: '1200ms',
    TargetLatency: '400ms',
    Priority: 1,
    Service: service,
    MaxAttempts: 2,
    ...changes
  }
}
