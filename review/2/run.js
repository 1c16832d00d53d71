// A faulty instance spoils one byte in the head of some of its answers.
import { delay, runCase } from '../support/Deployment.js'
import { waitUntilReady } from '../support/Client.js'
import { Instance } from '../support/Instance.js'
import { KeptClient } from '../support/KeptClient.js'
import { makeConfiguration, Operator } from '../support/Operator.js'

/** One in so many answers of the faulty instance is spoiled: a share of 0.02. */
const SPOIL_EVERY = 50

/** Time for which the instance is faulty, in milliseconds. */
const FAULTY_MS = 5500

/** Time for which clients send requests before and after that, in milliseconds. */
const CALM_MS = { before: 2000, after: 6000 }

/** Delay before the platform starts a process again that has ended, in milliseconds. */
const RESTART_DELAY_MS = 500

/** Lost requests that the rule allows. */
const ALLOWED_LOST = 3

/** Clients with kept connections, whose requests go to sound instances and to the faulty one. */
const LEDGER_CLIENTS = 12
const CATALOGUE_CLIENTS = 8

const HOST = 'jepu9.example'

const CONFIGURATION = makeConfiguration([
  { name: 'r-1', host: HOST, prefix: '/catalogue/', kind: 'idempotent', service: 'catalogue' },
  { name: 'r-2', host: HOST, prefix: '/ledger/', kind: 'non_idempotent', service: 'ledger' }
], ['catalogue', 'ledger'])

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const cores = ['core-1', 'core-2', 'core-3'].map(name => deployment.addMachine(name))
  const nodes = ['catalogue', 'ledger', 'ledger'].map((service, index) => deployment.addMachine(`node-${index + 1}`, { service }))
  let isOver = false
  let ends = 0
  // As the platform does: a process that has ended is started again after a short delay.
  const keepRunning = async (machine, settings) => {
    deployment.start(machine, settings)
    await machine.ended
    if (isOver) return
    ends++
    await delay(RESTART_DELAY_MS)
    if (!isOver) keepRunning(machine, { ...settings, bootstrap: false })
  }
  cores.forEach(machine => keepRunning(machine, { role: 'control', seeds: cores, bootstrap: true }))
  nodes.forEach(machine => keepRunning(machine, { role: 'node', seeds: cores, bootstrap: true }))

  let answers = 0
  let isFaulty = false
  const spoil = text => {
    if (!isFaulty || ++answers % SPOIL_EVERY !== 0) return undefined
    return text.replace('x-instance-load', 'x instance-load')
  }
  const faulty = new Instance(deployment, nodes[0], { id: 'i-1', workMs: 30, spoil })
  const sound = nodes.slice(1).map((machine, index) => new Instance(deployment, machine, { id: `i-${index + 2}`, slots: 12, workMs: 300 }))
  for (const instance of [faulty, ...sound]) await instance.start()
  const operator = new Operator(deployment, () => cores)
  const accepted = await operator.put(CONFIGURATION, 2, 0)
  if (accepted.status !== 200 || !await waitUntilReady(deployment, nodes, 10_000)) throw new Error('the deployment is not ready')
  await delay(4000)

  const clients = Array.from({ length: LEDGER_CLIENTS + CATALOGUE_CLIENTS }, (_, index) => new KeptClient(deployment, nodes[0], `c${index + 1}`))
  const runs = clients.map((client, index) => index < LEDGER_CLIENTS
    ? client.run(count => ({ host: HOST, path: `/ledger/${index}`, method: 'POST', body: `order ${index} ${count}` }), 20)
    : client.run(count => ({ host: HOST, path: `/catalogue/${index}/${count}` }), 200))
  await delay(CALM_MS.before)
  isFaulty = hasTrouble
  await delay(FAULTY_MS)
  isFaulty = false
  await delay(CALM_MS.after)
  isOver = true
  clients.forEach(client => client.stop())
  await Promise.all(runs)

  const ran = new Set(sound.flatMap(instance => instance.runs.map(({ requestId }) => requestId)))
  const lost = clients.flatMap(client => client.answers)
    .filter(({ requestId, status, kept }) => status === 0 && kept && ran.has(requestId))
  lost.forEach(({ requestId }) => deployment.record(`lost: ${requestId} was passed on to a sound instance, and its kept connection was closed without an answer`))
  const text = `${lost.length} requests of kept connections passed on to sound instances and lost (${ALLOWED_LOST} allowed); ` +
    `processes ended by themselves ${ends} times`
  return { held: lost.length <= ALLOWED_LOST, text }
})
