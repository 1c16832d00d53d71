/** Measures the cost of distributing configuration and membership by number of nodes, on a virtual clock. */
import { deflateRawSync } from 'node:zlib'
import { Encoder } from 'cbor-x'
import { writeReport } from './BenchReport.js'
import { SpreadMesh } from './spread/SpreadMesh.js'
import type { Endpoint } from './spread/VirtualNetwork.js'

const CUT_SCENARIO = 'a region cut off from control hears of a change from peers'
const CUT_REGION = 2
const CUT_MS = 10_000
const SIZES = [10, 50, 150, 500, 1_000]
const REPLICAS = 5
const SERVICES = 140
const SEED = 71
const DELAYS = { inRegionMs: 1, acrossMs: 30 }
const CHANGES_PER_DAY = 9_100
const MS_PER_DAY = 86_400_000
const WARM_UP_MS = 15_000
const REST_MS = 20_000
const CHANGES = 10
const RESTARTS = 10
const RESTART_INTERVAL_MS = 2_000
const REJOIN_MS = 20_000
/** Resolution of the time until all nodes know the live members. */
const CHECK_MS = 50

const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

/** Mean and peak resource usage of the nodes or of the replicas over a span of virtual time. */
interface Cost {
  readonly messagesPerSecond: number
  readonly bytesPerSecond: number
  /** Largest number of bytes that any process sent and received in one second. */
  readonly peakBytesInOneSecond: number
  readonly cpuPercentOfCore: number
}

/** Measured costs of one scenario at one number of nodes. */
interface Point {
  readonly nodes: number
  readonly scenario: string
  readonly node: Cost
  readonly replica: Cost
  /** Virtual milliseconds until every node had the change: median and maximum. */
  readonly spreadMs?: { readonly median: number, readonly max: number }
}

function computeCost (endpoints: readonly Endpoint[], ms: number): Cost {
  const seconds = ms / 1_000
  const sum = (pick: (endpoint: Endpoint) => number) => endpoints.reduce((total, each) => total + pick(each), 0)
  const perProcess = endpoints.length * seconds
  return {
    messagesPerSecond: round(sum((each) => each.resourceUsage.messages) / perProcess),
    bytesPerSecond: round(sum((each) => each.resourceUsage.bytes) / perProcess),
    peakBytesInOneSecond: Math.max(...endpoints.map((each) => each.resourceUsage.peakSecondBytes)),
    cpuPercentOfCore: round(sum((each) => each.resourceUsage.cpuMs) / perProcess / 10)
  }
}

function makePoint (mesh: SpreadMesh, scenario: string, ms: number, spread?: readonly number[]): Point {
  const sorted = [...(spread ?? [])].sort((a, b) => a - b)
  const median = sorted[Math.floor(sorted.length / 2)]
  const times = median === undefined ? {} : { spreadMs: { median, max: sorted.at(-1) as number } }
  const costs = { node: computeCost(mesh.nodes, ms), replica: computeCost(mesh.replicas, ms) }
  return { nodes: mesh.nodes.length, scenario, ...costs, ...times }
}

function measureRest (mesh: SpreadMesh): Point {
  mesh.resetUsage()
  mesh.run(REST_MS)
  return makePoint(mesh, 'rest', REST_MS)
}

function measureChanges (mesh: SpreadMesh): Point {
  const intervalMs = Math.round(MS_PER_DAY / CHANGES_PER_DAY)
  const first = mesh.committedAtMs.size + 1
  mesh.resetUsage()
  for (let change = 0; change < CHANGES; change += 1) {
    mesh.change()
    mesh.run(intervalMs)
  }
  const spread = Array.from({ length: CHANGES }, (_, index) => computeSpreadMs(mesh, first + index))
  return makePoint(mesh, 'changes at 9,100 a day', CHANGES * intervalMs, spread)
}

function measureRestarts (mesh: SpreadMesh): Point {
  const spread: number[] = []
  mesh.resetUsage()
  for (let restart = 0; restart < RESTARTS; restart += 1) {
    const node = mesh.nodes[(restart * 37) % mesh.nodes.length]
    if (node !== undefined) mesh.restart(node)
    spread.push(measureUntilMembersKnown(mesh, RESTART_INTERVAL_MS))
  }
  return makePoint(mesh, 'one restart every 2 s', RESTARTS * RESTART_INTERVAL_MS, spread)
}

function measureLostReplica (mesh: SpreadMesh): Point {
  mesh.resetUsage()
  const lost = mesh.replicas.at(-1)
  const moved = lost === undefined ? [] : mesh.loseReplica(lost)
  const spread = [measureUntilMembersKnown(mesh, REJOIN_MS)]
  return makePoint(mesh, `${moved.length} nodes move to other replicas`, REJOIN_MS, spread)
}

function measureRejoin (mesh: SpreadMesh): Point {
  mesh.resetUsage()
  mesh.nodes.forEach((node) => mesh.restart(node))
  return makePoint(mesh, 'all nodes restart at once', REJOIN_MS, [measureUntilMembersKnown(mesh, REJOIN_MS)])
}

/** Measures a change while the nodes of one region reach control only through their peers in other regions. */
function measureCutOff (mesh: SpreadMesh): Point {
  const cutOff = new Set(mesh.nodes.filter((node) => node.region === CUT_REGION).map((node) => node.name))
  mesh.network.isCut = (from, to) => {
    return (cutOff.has(from) && !to.startsWith('node-')) || (cutOff.has(to) && !from.startsWith('node-'))
  }
  mesh.resetUsage()
  mesh.change()
  mesh.run(CUT_MS)
  mesh.network.isCut = () => false
  const point = makePoint(mesh, CUT_SCENARIO, CUT_MS, [computeSpreadMs(mesh, mesh.committedAtMs.size)])
  mesh.run(REST_MS)
  return point
}

/** Returns the virtual milliseconds from the commit of a version until it was in force at the last node. */
function computeSpreadMs (mesh: SpreadMesh, version: number): number {
  const applied = mesh.nodes.map((node) => node.appliedAtMs.get(version) ?? Number.POSITIVE_INFINITY)
  return Math.max(...applied) - (mesh.committedAtMs.get(version) as number)
}

/** Runs for `ms` and returns the time until every node was current and knew the live members, or Infinity if never. */
function measureUntilMembersKnown (mesh: SpreadMesh, ms: number): number {
  const startedAtMs = mesh.network.nowMs
  let knownAfterMs = Number.POSITIVE_INFINITY
  mesh.run(ms, () => {
    const passedMs = mesh.network.nowMs - startedAtMs
    if (knownAfterMs === Number.POSITIVE_INFINITY && passedMs % CHECK_MS === 0 && passedMs > 0) {
      const ready = mesh.nodes.every((node) => node.isCurrent) && mesh.allMembersKnown()
      knownAfterMs = ready ? passedMs : knownAfterMs
    }
  })
  return knownAfterMs
}

/** Fits a straight line through the points by least squares. */
function fitLine (points: readonly Point[], pick: (point: Point) => number) {
  const meanX = points.reduce((sum, point) => sum + point.nodes, 0) / points.length
  const meanY = points.reduce((sum, point) => sum + pick(point), 0) / points.length
  const covariance = points.reduce((sum, point) => sum + (point.nodes - meanX) * (pick(point) - meanY), 0)
  const variance = points.reduce((sum, point) => sum + (point.nodes - meanX) ** 2, 0)
  const perNode = covariance / variance
  return { perNode: round(perNode, 5), atZero: round(meanY - perNode * meanX, 2) }
}

function round (value: number, digits = 3): number {
  return Number(value.toFixed(digits))
}

let frames: ReturnType<typeof startFrames> | undefined

function measure (nodes: number): Point[] {
  const mesh = new SpreadMesh({ nodes, replicas: REPLICAS, services: SERVICES, delays: DELAYS, seed: SEED })
  mesh.attachAll()
  mesh.run(WARM_UP_MS)
  const scenarios = [measureRest, measureChanges, measureCutOff, measureRestarts, measureRejoin, measureLostReplica]
  const measured = scenarios.map((scenario) => scenario(mesh))
  frames = startFrames(mesh)
  return measured
}

/** Sizes of the largest frames that a starting node receives, plain and deflated. */
function startFrames (mesh: SpreadMesh) {
  const [node] = mesh.nodes
  const copy = CODEC.encode({ type: 'copy', confirmed: true, copy: mesh.inForce })
  const members = CODEC.encode({ type: 'membership', members: node?.knownMembers ?? [] })
  return {
    copyBytes: copy.length,
    copyDeflatedBytes: deflateRawSync(copy).length,
    members: node?.knownMembers.length,
    membersBytes: members.length,
    membersDeflatedBytes: deflateRawSync(members).length
  }
}

const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : SIZES
const points = sizes.flatMap((nodes) => {
  const measured = measure(nodes)
  process.stdout.write(measured.map((point) => JSON.stringify(point)).join('\n') + '\n')
  return measured
})
const scenarios = ['rest', 'changes at 9,100 a day', 'one restart every 2 s', 'all nodes restart at once']
const slopes = scenarios.map((scenario) => {
  const line = points.filter((point) => point.scenario === scenario)
  return {
    scenario,
    nodeBytesPerSecond: fitLine(line, (point) => point.node.bytesPerSecond),
    nodeCpuPercent: fitLine(line, (point) => point.node.cpuPercentOfCore),
    nodePeakBytes: fitLine(line, (point) => point.node.peakBytesInOneSecond),
    replicaBytesPerSecond: fitLine(line, (point) => point.replica.bytesPerSecond),
    replicaCpuPercent: fitLine(line, (point) => point.replica.cpuPercentOfCore)
  }
})
const setup = {
  replicas: REPLICAS,
  services: SERVICES,
  delays: DELAYS,
  clock: 'virtual; CPU is the time that the steps took on the machine'
}
writeReport('spread', { seeds: [SEED], setup, startFrames: frames, points, slopes })
