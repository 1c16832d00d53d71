/**
 * Case 9: an instance crashes and starts again under its id. Its first heartbeat is late, and it deregisters before
 * that. The node acknowledges the deregistration, yet goes on sending work to the instance.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeConfiguration, Recorder, Site, sleep, until } from '../lib-2/site.js'

const HERE = dirname(fileURLToPath(import.meta.url))
const TROUBLE = process.env.TROUBLE !== '0'

/** Bound `Drain` of the settings, in milliseconds. */
const DRAIN_MS = 2000
/** Time for which the instance serves after the acknowledgement: `Drain` and a little longer. */
const SERVES_ON_MS = 8000
/** Work of a request, as long as that of `die-checkout`, in milliseconds. */
const WORK_MS = 120
/** Time for which the crashed instance is down, in milliseconds. */
const DOWN_MS = 2500
/** Times after its start: when it deregisters, and when its first heartbeat arrives, in milliseconds. */
const LEAVES_AFTER_MS = 1000
const LATE_MS = 4000

const record = new Recorder(join(HERE, 'record.txt'))
const state = { isEnded: false }

async function sendRequests (site, callers, answers) {
  for (let i = 0; !state.isEnded; i++) {
    const node = callers[i % callers.length]
    const options = i % 2 === 0 ? {} : { method: 'POST', body: `order ${i}` }
    site.send(node, i % 2 === 0 ? `/read/${i}` : `/once/${i}`, options).then(answer => answers.push(answer), () => {})
    await sleep(15)
  }
}

async function play (site) {
  for (const zone of ['a', 'b', 'c']) site.addCore(zone)
  for (const zone of ['a', 'b', 'c']) site.addNode(zone, 'ledger', { workMs: WORK_MS })
  const caller = site.addNode('a', 'catalogue')
  await site.start()
  const put = await site.put(makeConfiguration([
    { Name: 'read', PathPrefix: '/read/', RouteKind: 'idempotent', Service: 'ledger' },
    { Name: 'once', PathPrefix: '/once/', RouteKind: 'non_idempotent', Service: 'ledger' }
  ], ['ledger', 'catalogue']))
  if (put.status !== 200) throw new Error('the configuration was not accepted')
  await site.ready()
  const victim = site.nodes[0].instance
  const answers = []
  const traffic = sendRequests(site, [caller, site.nodes[1], site.nodes[2]], answers)
  await sleep(4500)
  if (victim.runs.length === 0) throw new Error('the instance gets no work')
  if (TROUBLE) await crashAndRestart(victim)
  else await sleep(DOWN_MS)
  const startedAtMs = performance.now()
  // A heartbeat of the instance is under way for some seconds; until it arrives, no other one is due.
  victim.beats = false
  const late = victim.makeBeat()
  await sleep(LEAVES_AFTER_MS)
  let acknowledgedAtMs
  victim.state = 'left'
  await until(async () => {
    record.line(`${victim.id} deregisters, born ${victim.born}`)
    const isAcknowledged = await victim.deregister()
    acknowledgedAtMs = performance.now()
    return isAcknowledged
  }, 4000)
  record.line(`the deregistration of ${victim.id} is acknowledged`)
  await sleep(Math.max(0, startedAtMs + LATE_MS - performance.now()))
  record.line(`the late heartbeat of ${victim.id} arrives, Seq ${late.Seq}, born ${late.born}`)
  await victim.sendBeat(late)
  await sleep(Math.max(0, acknowledgedAtMs + SERVES_ON_MS - performance.now()))
  const tooLate = victim.runs.filter(run => run.atMs > acknowledgedAtMs + DRAIN_MS)
  record.line(`${victim.id} exits`)
  const open = victim.runs.filter(run => run.end === 'open').map(({ id }) => id)
  victim.close()
  await sleep(1000)
  state.isEnded = true
  await traffic
  await sleep(2500)
  const lost = answers.filter(({ id }) => open.includes(id)).map(({ id, status, error }) => `${id}: ${status ?? error}`)
  record.line(`requests that ${victim.id} ran: ${victim.runs.length}; later than ${DRAIN_MS} ms after the acknowledgement: ${tooLate.length}`)
  for (const run of tooLate) record.line(`  ${run.id} ${run.method} ${run.url} ${Math.round(run.atMs - acknowledgedAtMs)} ms after it`)
  record.line(`requests that were running there at its exit, with their answers: ${lost.join(', ') || 'none'}`)
  return tooLate.length === 0
}

async function crashAndRestart (victim) {
  record.line(`${victim.id} crashes`)
  victim.close()
  await sleep(DOWN_MS)
  record.line(`${victim.id} starts again under its id`)
  await victim.restart()
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
  state.isEnded = true
  await site?.close()
}
process.exit()
