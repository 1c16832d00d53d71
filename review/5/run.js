// A heartbeat from another writer names a service that no configuration has.
import { delay, runCase } from '../support/Deployment.js'
import { Client, waitUntilReady } from '../support/Client.js'
import { Instance } from '../support/Instance.js'
import { makeConfiguration, Operator, send } from '../support/Operator.js'

/** Time for which clients send requests after the heartbeat, in milliseconds. */
const OBSERVED_MS = 10_000

/** Interval of the requests of each machine's client, in milliseconds. */
const REQUEST_INTERVAL_MS = 250

const SERVICES = ['catalogue', 'ledger']

const CONFIGURATION = makeConfiguration([
  { name: 'r-1', host: 'jepu9.example', prefix: '/catalogue/', kind: 'idempotent', service: 'catalogue' },
  { name: 'r-2', host: 'jepu9.example', prefix: '/ledger/', kind: 'non_idempotent', service: 'ledger' }
], SERVICES)

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const cores = ['core-1', 'core-2', 'core-3'].map(name => deployment.addMachine(name))
  const nodes = SERVICES.flatMap(service => [1, 2].map(number => deployment.addMachine(`node-${service}-${number}`, { service })))
  cores.forEach(machine => deployment.start(machine, { role: 'control', seeds: cores, bootstrap: true }))
  nodes.forEach(machine => deployment.start(machine, { role: 'node', seeds: cores, bootstrap: true }))
  const instances = nodes.map((machine, index) => new Instance(deployment, machine, { id: `i-${index + 1}` }))
  for (const instance of instances) await instance.start()
  const operator = new Operator(deployment, () => cores)
  const accepted = await operator.put(CONFIGURATION, 2, 0)
  if (accepted.status !== 200 || !await waitUntilReady(deployment, nodes, 10_000)) throw new Error('the deployment is not ready')
  await delay(3000)

  const clients = nodes.map(machine => new Client(deployment, machine))
  const sendAll = async () => await Promise.all(clients.flatMap((client, index) => [
    client.send({ host: 'jepu9.example', path: `/catalogue/${index}` }),
    client.send({ host: 'jepu9.example', path: `/ledger/${index}`, method: 'POST', body: `order ${index}` })
  ]))
  await sendAll()
  if (hasTrouble) {
    const { Address, ...heartbeat } = instances[0].heartbeat()
    const foreign = { ...heartbeat, Address, Service: 'no-such-service', Seq: 1, born: Date.now() }
    const answer = await send(deployment.address(nodes[0], 'control'), 'POST', '/api/Instances.Heartbeat/i-foreign', foreign)
    deployment.record(`heartbeat of another writer at ${nodes[0].name}: ${JSON.stringify(foreign)}, answered ${answer.status}`)
  }
  const untilMs = performance.now() + OBSERVED_MS
  while (performance.now() < untilMs) {
    await sendAll()
    await delay(REQUEST_INTERVAL_MS)
  }
  const serviceOf = requestId => nodes.find(({ name }) => requestId.startsWith(`${name}-`)).service
  const runs = instances.flatMap(instance => instance.runs)
  const wrong = runs.filter(({ requestId, caller }) => caller !== serviceOf(requestId))
  const statuses = {}
  for (const { status } of clients.flatMap(({ answers }) => answers)) statuses[status] = (statuses[status] ?? 0) + 1
  const text = `${wrong.length} of ${runs.length} runs with another caller service than that of the machine where the ` +
    `request began; runs at ${instances.map(({ id, runs }) => `${id} ${runs.length}`).join(', ')}; answers ${JSON.stringify(statuses)}`
  return { held: wrong.length === 0, text }
})
