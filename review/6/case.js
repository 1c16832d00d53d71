/**
 * Case 6: two control machines are removed for good, one second apart, after their successors have run for longer than
 * `CatchUp`. What was acknowledged can't be read back any more.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeConfiguration, Recorder, Site, sleep } from '../lib-2/site.js'

const HERE = dirname(fileURLToPath(import.meta.url))
const TROUBLE = process.env.TROUBLE !== '0'

/** Time that the successors run before a machine is removed, in milliseconds; above `CatchUp`, 4 s. */
const SUCCESSORS_RUN_MS = 8000
/** Time between the two removals, in milliseconds. */
const GAP_MS = TROUBLE ? 1000 : 12_000
/** Time for which the configuration is read back, in milliseconds: above `Recover`, 15 s. */
const READ_BACK_MS = 25_000

const record = new Recorder(join(HERE, 'record.txt'))

const makeVersion = timeoutMs => makeConfiguration([
  { Name: 'read', PathPrefix: '/read/', RouteKind: 'idempotent', Service: 'catalogue', Timeout: `${timeoutMs}ms` }
], ['catalogue'])

async function remove (site, core) {
  record.line(`${core.name} is removed`)
  core.program.signal('SIGKILL')
  await core.program.exited()
  core.isRemoved = true
}

/** Reads the configuration at the machines that are left; undefined when it doesn't come in time. */
async function readBack (site) {
  const left = site.cores.filter(({ isRemoved }) => isRemoved !== true)
  const untilMs = performance.now() + READ_BACK_MS
  for (let i = 0; performance.now() < untilMs; i++) {
    const { name, host } = left[i % left.length]
    const answer = await site.read(host)
    record.line(`read at ${name}: ${answer.status ?? answer.error} ${answer.status === 200 ? JSON.parse(answer.body).Version : ''}`)
    if (answer.status === 200) return JSON.parse(answer.body).Version
    await sleep(300)
  }
  return undefined
}

async function play (site) {
  const first = ['a', 'b', 'c'].map(zone => site.addCore(zone))
  site.addNode('a', 'catalogue')
  await site.start()
  const put = await site.put(makeVersion(1000))
  if (put.status !== 200) throw new Error('the first configuration was not acknowledged')
  await site.ready()
  const successors = ['a', 'b'].map(zone => site.addCore(zone, { bootstrap: false }))
  site.writeSettings()
  successors.forEach(({ name, program }) => {
    record.line(`${name} starts, with an empty disk`)
    program.start()
  })
  await sleep(SUCCESSORS_RUN_MS)
  const second = await site.put(makeVersion(1100), { hosts: first.map(({ host }) => host) })
  if (second.status !== 200) throw new Error('the second configuration was not acknowledged')
  const acknowledged = `r${site.version}`
  await sleep(500)
  await remove(site, first[0])
  await sleep(GAP_MS)
  await remove(site, first[1])
  await sleep(3000)
  const version = await readBack(site)
  record.line(`acknowledged: ${acknowledged}, read back: ${version ?? 'nothing'}`)
  return version === acknowledged
}

let site
try {
  site = await Site.open({ record })
  const holds = await play(site)
  record.line(holds ? 'the rule held' : 'the rule was broken')
  process.exitCode = holds ? 0 : 1
} catch (error) {
  record.line(`could not run: ${error.stack}`)
  process.exitCode = 2
} finally {
  await site?.close()
}
process.exit()
