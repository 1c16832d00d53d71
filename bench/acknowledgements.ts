/**
 * Measures how long changes wait for an acknowledgement while one control replica stands still and acknowledgements are
 * lost. Each round freezes the leader or a follower, sends changes, and thaws it. Prints JSON.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import { type Acknowledgement, ProtocolOperator } from './acknowledgements/ProtocolOperator.js'
import { OperatedGroup } from './acknowledgements/OperatedGroup.js'
import { writeReport } from './BenchReport.js'
import { computeQuantiles } from './state/Quantiles.js'

/** Folder of the programs of this version. */
const DEFAULT_PROGRAMS = 'dist/platform'

const { values } = parseArgs({
  options: {
    changes: { type: 'string', default: '1000' },
    groups: { type: 'string', default: '5' },
    replicas: { type: 'string', default: '3' },
    nodes: { type: 'string', default: '12' },
    loss: { type: 'string', default: '0.6' },
    programs: { type: 'string', default: DEFAULT_PROGRAMS },
    /** Hosts that the operator calls. */
    operators: { type: 'string', default: 'all' }
  }
})

/** Longest time to an acknowledgement that the platform allows, in milliseconds. */
const ACKNOWLEDGEMENT_LIMIT_MS = 4000

/** Changes in a round, between the freeze of one replica and that of the next. */
const ROUND_CHANGES = 20

/** Second octet of the loopback addresses of the first group; the soak and the tests use lower ones. */
const FIRST_NETWORK = 230

/** Time for a thawed replica to follow the leader again, in milliseconds. */
const SETTLE_MS = 1500

const hostSelections: Readonly<Record<string, (group: OperatedGroup) => string[]>> = {
  all: group => [...group.replicaHosts, ...group.nodeHosts],
  replicas: group => group.replicaHosts
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

async function awaitGroup (group: OperatedGroup, operator: ProtocolOperator): Promise<void> {
  const body = group.nextChange()
  while ((await operator.attempt(group.replicaHosts[0]!, '/api/Config.Put', body)).status !== 200) await pause(100)
  await pause(SETTLE_MS)
}

async function measureGroup (index: number, changes: number, folder: string): Promise<Acknowledgement[]> {
  const group = new OperatedGroup({
    folder: join(folder, `group-${index}`),
    programs: values.programs,
    network: FIRST_NETWORK + index,
    replicas: Number(values.replicas),
    nodes: Number(values.nodes)
  })
  try {
    const random = new SeededRandom(index + 1)
    const hosts = hostSelections[values.operators]!(group)
    const operator = new ProtocolOperator({ hosts, port: group.port, random, lossShare: Number(values.loss) })
    await awaitGroup(group, operator)
    const acknowledgements: Acknowledgement[] = []
    for (let round = 0; acknowledgements.length < changes; round++) {
      const leader = group.leaderHost!
      const frozen = round % 2 === 0 ? leader : group.replicaHosts.find(host => host !== leader)!
      group.freeze(frozen)
      for (let i = 0; i < ROUND_CHANGES && acknowledgements.length < changes; i++) {
        acknowledgements.push(await operator.send('/api/Config.Put', group.nextChange()))
      }
      group.thaw(frozen)
      await pause(SETTLE_MS)
    }
    return acknowledgements
  } finally {
    await group.dispose()
  }
}

const folder = mkdtempSync(join(tmpdir(), 'acknowledgements-'))
const groups = Number(values.groups)
const changesPerGroup = Math.ceil(Number(values.changes) / groups)
const acknowledgements = (await Promise.all(
  Array.from({ length: groups }, async (_, index) => await measureGroup(index, changesPerGroup, folder))
)).flat()
rmSync(folder, { recursive: true, force: true })
const times = acknowledgements.map(({ afterMs }) => afterMs)
const report = {
  // The folder of the programs is a path of this machine.
  settings: { ...values, programs: values.programs === DEFAULT_PROGRAMS ? 'this version' : 'another version' },
  afterMs: computeQuantiles(times),
  p90Ms: Math.round([...times].sort((a, b) => a - b)[Math.floor(0.9 * times.length)]!),
  overLimit: times.filter(ms => ms > ACKNOWLEDGEMENT_LIMIT_MS).length,
  overOneSecond: times.filter(ms => ms > 1000).length
}
writeReport('acknowledgements', report)
console.log(JSON.stringify(report, null, 2))
