/**
 * Case 10: all processes of the system are killed at the same moment and start again. The first that a node hears of its
 * instance is that it deregisters; the node acknowledges that and forgets it. A heartbeat that the instance had sent
 * before comes late, and the instance gets work again.
 */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { makeConfiguration, Recorder, Site, sleep, until } from '../lib-2/site.js'

const HERE = dirname(fileURLToPath(import.meta.url))
const TROUBLE = process.env.TROUBLE !== '0'

/** Bound `Drain` of the settings, in milliseconds. */
const DRAIN_MS = 2000
/** Twice `StableWindow`, after which machines are in touch again, with a margin, in milliseconds. */
const IN_TOUCH_AFTER_MS = 6500
/** Time for which the instance serves after the acknowledgement: `Drain` and many seconds. */
const SERVES_ON_MS = 13_000
/** Delay of the restarts, and of the late heartbeat, in milliseconds. */
const RESTART_MS = 300
const LATE_MS = 5000
/** Work of a request, as long as that of `die-checkout`, in milliseconds. */
const WORK_MS = 120

const record = new Recorder(join(HERE, 'record.txt'))
const state = { isEnded: false }

async function sendRequests (site, callers, answers) {
  for (let i = 0; !state.isEnded; i++) {
    const node = callers[i % callers.length]
    const options = i % 2 === 0 ? {} : { method: 'POST', body: `order ${i}` }
    site.send(node, i % 2 === 0 ? `/read/${i}` : `/once/${i}`, options).then(answer => answers.push(answer), () => {})
    await sleep(25)
  }
}

async function killAll (site) {
  const programs = [...site.cores, ...site.nodes].map(({ program }) => program)
  record.line('all processes are killed')
  programs.forEach(program => program.signal('SIGKILL'))
  await Promise.all(programs.map(async program => await program.exited()))
  await sleep(RESTART_MS)
  programs.forEach(program => program.start())
  record.line('all processes start again')
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
  await sleep(4000)
  if (victim.runs.length === 0) throw new Error('the instance gets no work')
  // The next heartbeat is under way for some seconds; until the instance leaves, no other one is due.
  victim.beats = false
  const late = victim.makeBeat()
  const sentAtMs = performance.now()
  record.line(`${victim.id} sends the heartbeat with Seq ${late.Seq}, which will be late`)
  if (TROUBLE) await killAll(site)
  const startedAtMs = performance.now()
  let acknowledgedAtMs
  victim.state = 'left'
  await until(async () => {
    record.line(`${victim.id} deregisters`)
    const isAcknowledged = await victim.deregister()
    acknowledgedAtMs = performance.now()
    return isAcknowledged
  }, 4000)
  record.line(`the deregistration of ${victim.id} is acknowledged`)
  await sleep(Math.max(0, sentAtMs + LATE_MS - performance.now()))
  record.line(`the late heartbeat of ${victim.id} arrives, Seq ${late.Seq}`)
  await victim.sendBeat(late)
  await sleep(Math.max(0, acknowledgedAtMs + SERVES_ON_MS - performance.now()))
  record.line(`${victim.id} exits`)
  victim.close()
  state.isEnded = true
  await traffic
  await sleep(2500)
  const fromMs = Math.max(acknowledgedAtMs + DRAIN_MS, startedAtMs + IN_TOUCH_AFTER_MS)
  const tooLate = victim.runs.filter(run => run.atMs > fromMs)
  record.line(`requests that reached ${victim.id} later than ${DRAIN_MS} ms after the acknowledgement, from machines in touch: ${tooLate.length}`)
  for (const run of tooLate) record.line(`  ${run.id} ${run.method} ${run.url} ${Math.round(run.atMs - acknowledgedAtMs)} ms after it`)
  return tooLate.length === 0
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
