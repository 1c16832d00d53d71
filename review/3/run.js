// Sends hundreds of changes of a large configuration, one after the other, until one is not acknowledged.
import { runCase } from '../support/Deployment.js'
import { makeConfiguration, Operator } from '../support/Operator.js'

/** Routes of the configuration; the pages let it grow by up to 1,460 in one step. */
const ROUTES = { many: 1460, few: 8 }

/** Changes that are sent; the pages speak of hundreds in a day. */
const CHANGES = 400

/** Time within which an order must be acknowledged, in milliseconds: `Ack`, and 3 ms for each route. */
const ackLimitMs = routes => 4000 + 3 * routes

/** Time for which the first change without an acknowledgement is sent again, in milliseconds. */
const RESEND_MS = 8000

const SERVICES = ['huvo11a', 'kafi81c', 'wuno96b']

function makeVersion (routeCount, change) {
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    name: `r-${index.toString(36).padStart(7, '0')}`,
    host: `hulo${index % 90}.example`,
    prefix: `/xapu${index}/ny95/`,
    kind: index % 3 === 0 ? 'non_idempotent' : 'idempotent',
    service: SERVICES[index % SERVICES.length]
  }))
  return makeConfiguration(routes, SERVICES, { timeoutMs: 1000 + change })
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const machines = ['core-1', 'core-2', 'core-3'].map(name => deployment.addMachine(name))
  const operator = new Operator(deployment, () => machines)
  machines.forEach(machine => deployment.start(machine, { role: 'control', seeds: machines, bootstrap: true }))
  const routeCount = hasTrouble ? ROUTES.many : ROUTES.few
  let version = 0
  for (let change = 1; change <= CHANGES; change++) {
    const isReported = change === 1 || change % 50 === 0
    const label = isReported ? `change ${change}, Config.Put r${version + 2} on r${version}` : null
    const configuration = makeVersion(routeCount, change)
    const limitMs = change === 1 ? 10_000 : ackLimitMs(routeCount)
    let answer = await operator.put(configuration, version + 2, version, limitMs, label)
    if (answer.status !== 200) {
      if (change === 1) throw new Error('the first configuration was not acknowledged')
      deployment.record(`change ${change} has no acknowledgement within ${limitMs} ms: ${answer.status} ${answer.body}`)
      answer = await operator.put(configuration, version + 2, version, RESEND_MS, `change ${change} sent again`)
      const running = machines.filter(({ child }) => child.exitCode === null && child.signalCode === null).length
      const text = `${change - 1} changes acknowledged, the next one after ${RESEND_MS / 1000} s more: ${answer.status}; ${running} of 3 processes run`
      return { held: false, text }
    }
    version += 2
  }
  return { held: true, text: `${CHANGES} changes acknowledged` }
})
