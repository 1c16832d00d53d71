// Replaces two control machines, one after the other, each only after its successor has run for CatchUp.
import { delay, runCase, within } from '../support/Deployment.js'
import { makeConfiguration, Operator } from '../support/Operator.js'

/** Time that a new machine gets before the machine that it replaces is stopped, in milliseconds; above `CatchUp`, 4 s. */
const SUCCESSOR_RUNS_MS = 6000

/** Time from the end of the first machine's process to the stop of the second, in milliseconds; above `CatchUp`, 4 s. */
const BETWEEN_STOPS_MS = 4020

/** Time without the second replacement, in milliseconds. */
const UNTROUBLED_BETWEEN_STOPS_MS = 12_000

/** Time for which the configuration is read back at the end, in milliseconds: `StableWindow` and `Recover` fit in. */
const READ_BACK_MS = 25_000

const CONFIGURATION = makeConfiguration(
  [{ name: 'r-1', host: 'jepu9.example', prefix: '/lepu270/', kind: 'idempotent', service: 'huvo11a' }], ['huvo11a']
)

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const first = ['core-1', 'core-2', 'core-3'].map(name => deployment.addMachine(name))
  const successors = ['core-4', 'core-5'].map(name => deployment.addMachine(name))
  const running = new Set(first)
  const operator = new Operator(deployment, () => [...running])
  first.forEach(machine => deployment.start(machine, { role: 'control', seeds: first, bootstrap: true }))
  const accepted = await operator.put(CONFIGURATION, 2, 0)
  if (accepted.status !== 200) throw new Error('the first configuration was not acknowledged')

  const addSuccessor = machine => {
    deployment.start(machine, { role: 'control', seeds: first, bootstrap: false })
    running.add(machine)
  }
  const remove = async machine => {
    running.delete(machine)
    deployment.signal(machine, 'SIGTERM')
    return await within(machine.ended, 6000, `${machine.name} does not end`)
  }
  successors.forEach(addSuccessor)
  await delay(SUCCESSOR_RUNS_MS)
  const beforeStops = await operator.put(CONFIGURATION, 4, 2)
  if (beforeStops.status !== 200) throw new Error('the second configuration was not acknowledged')
  await remove(first[0])
  await delay(hasTrouble ? BETWEEN_STOPS_MS : UNTROUBLED_BETWEEN_STOPS_MS)
  await remove(first[1])

  const read = await operator.read(READ_BACK_MS, 'configuration read back')
  const change = await operator.put(CONFIGURATION, 6, 4, 10_000)
  const version = read.status === 200 ? JSON.parse(read.body).Version : 'none'
  const held = version === 'r4'
  return { held, text: `read back: ${version}, acknowledged: r4; the next change: ${change.status === 0 ? 'no response' : change.status}` }
})
