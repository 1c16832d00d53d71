/**
 * A machine of the core loses power for good, after its successor has long been ready; then another one loses its disk.
 */
import { rmSync, mkdirSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib-3/Case.js'
import { CannotRun, RESTART_DELAY_MS, sleep } from '../lib-3/Deployment.js'
import { Operator, route } from '../lib-3/Operator.js'

/** Time for which the successor has run when the first machine goes: twice `CatchUp`. */
const SUCCESSOR_LEAD_MS = 8000

/** Time from the loss of the first machine to that of the disk of the second, in milliseconds. */
const GAP_MS = 1500

/** `Recover`, and the time for which the configuration is read after it, in milliseconds. */
const RECOVER_MS = 15_000
const READ_MS = 12_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ deployment, record, hasTrouble }) => {
  for (let i = 0; i < 3; i++) deployment.addControl()
  const founders = [...deployment.controls]
  await deployment.start()
  const operator = new Operator(founders.map(({ machine }) => machine), record.add)
  await operator.put([route('checkout', 'ledger', 'non_idempotent')], ['ledger'])
  const successor = deployment.addControl({ bootstrap: false })
  deployment.writeSettings(successor)
  successor.start()
  record.add('successor started', { machine: successor.name })
  await sleep(SUCCESSOR_LEAD_MS)
  await operator.put([route('checkout', 'ledger', 'non_idempotent'), route('lookup', 'ledger', 'idempotent')], ['ledger'])
  const acknowledged = operator.version

  const first = findLeader(founders)
  const second = founders.find(control => control !== first)
  const survivor = founders.find(control => control !== first && control !== second)
  await sleep(500)
  // Without power a machine doesn't answer, and connections to it hang.
  first.signal('SIGSTOP')
  record.add('machine without power, for good', { machine: first.name })
  await sleep(hasTrouble ? GAP_MS : 2 * 4000)
  await second.kill()
  rmSync(second.dataFolder, { recursive: true })
  mkdirSync(second.dataFolder)
  second.bootstrap = false
  deployment.writeSettings(second)
  await sleep(RESTART_DELAY_MS)
  second.start()
  record.add('machine started again with an empty disk', { machine: second.name })

  await sleep(RECOVER_MS)
  const alive = [survivor, second, successor]
  let newest = 0
  let reads = 0
  const endMs = performance.now() + READ_MS
  while (performance.now() < endMs) {
    const { machine, name } = alive[reads++ % alive.length]
    const { status, body } = await operator.send('GET', '/api/Config.Get', undefined, machine)
    const version = status === 200 ? Number(JSON.parse(body).Version.slice(1)) : undefined
    record.add('read', { at: name, status, version })
    newest = Math.max(newest, version ?? 0)
    await sleep(250)
  }
  if (reads === 0) throw new CannotRun('nothing was read')
  if (newest === acknowledged) return []
  return [`CONFIG broken: version r${acknowledged} was acknowledged; in ${reads} reads, from ${RECOVER_MS / 1000} s after the last loss on, ` +
    (newest === 0 ? 'no configuration came' : `the newest was r${newest}`)]
})

/** Finds the replica that says in its log that it leads. */
function findLeader (controls) {
  const roles = controls.flatMap(control => control.log()
    .filter(({ msg, role }) => msg === 'role changed' && role === 'leader')
    .map(({ term, time }) => ({ control, term, time })))
  if (roles.length === 0) throw new CannotRun('no leader found')
  return roles.sort((one, other) => one.term - other.term).at(-1).control
}
