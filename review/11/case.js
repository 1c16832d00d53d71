/** An instance crashes for good, and its address goes to an instance of another service. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib-3/Case.js'
import { sleep, until } from '../lib-3/Deployment.js'
import { Instance } from '../lib-3/Instance.js'
import { Operator, route } from '../lib-3/Operator.js'
import { Traffic } from '../lib-3/Traffic.js'

/** `ReuseAfter` of the settings: an address is used again no earlier than this after its instance has ended. */
const REUSE_AFTER_MS = 2000

/** Work of a request, in milliseconds, as that of a checkout on the site. */
const WORK_MS = 120

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ deployment, record, hasTrouble }) => {
  for (let i = 0; i < 3; i++) deployment.addControl()
  const nodes = ['ledger', 'ledger', 'vault', 'vault'].map(service => deployment.addNode(service))
  const instances = nodes.map(({ machine, service }) => new Instance(machine, service, record.add, { workMs: WORK_MS }))
  for (const instance of instances) await instance.start()
  await deployment.start()
  const operator = new Operator(deployment.controls.map(({ machine }) => machine), record.add)
  await operator.put([
    route('checkout', 'ledger', 'non_idempotent'), route('lookup', 'ledger', 'idempotent'), route('pack', 'vault', 'download')
  ], ['ledger', 'vault'])
  await deployment.untilReady()
  await sleep(3000)

  const traffic = new Traffic(nodes.map(({ machine }) => machine), record.add)
  traffic.start({ checkout: 22, lookup: 22, pack: 10 })
  await sleep(3000)
  if (hasTrouble) {
    const [node] = nodes
    instances[0].crash()
    await sleep(REUSE_AFTER_MS + 500)
    // The platform places the settings that name the new service, then starts the new instance.
    node.service = 'vault'
    deployment.writeSettings(node)
    record.add('settings changed', { node: node.name, service: node.service })
    instances[0] = new Instance(node.machine, 'vault', record.add, { workMs: WORK_MS })
    await instances[0].start()
  }
  await sleep(5000)
  await traffic.stop()
  await until(() => traffic.open === 0, 'all requests ended')

  const serviceOf = { checkout: 'ledger', lookup: 'ledger', pack: 'vault' }
  const broken = record.of('ran').filter(({ path, service }) => serviceOf[path.split('/')[1]] !== service)
  const answered = new Map(record.of('answered').map(answer => [answer.request, answer]))
  return broken.map(({ request, path, service, instance }) => {
    const { status, body } = answered.get(request) ?? {}
    return `ROUTE broken: ${request} ${path} was run by ${instance} of service ${service}; its client got ${status} ${JSON.stringify(body)}`
  })
})
