/**
 * Measures processor time and memory of a node, idle and under load, and of an idle control replica, as real processes.
 * Usage: `npm run bench:footprint`.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { LocalMesh } from '../src/demo/LocalMesh.js'
import type { ProcessUsage } from '../src/runtime/AdminServer.js'
import { writeReport } from './BenchReport.js'
import { InterleavedLoad } from './support/InterleavedLoad.js'

/** Time after the start in which JIT compilation and the first garbage collections would distort the idle figures. */
const SETTLE_MS = 10_000
/** Duration of the idle measurement. */
const IDLE_MS = 15_000
/** Calls per second under load. */
const LOAD_RATE = 195
const LOAD_CALLS = 3000
/** Numbers of nodes to measure, each with its upstream. */
const PAIRS = [1, 2, 4]

/** Resources of one process; memory is resident memory at the end. */
interface Footprint {
  readonly cpuPercentOfCore: number
  readonly memoryMegabytes: number
}

interface MeshFootprint {
  /** Nodes in the mesh, each with its upstream. */
  readonly nodes: number
  readonly nodeAtRest: Footprint
  readonly nodeUnderLoad: Footprint
  readonly replicaAtRest: Footprint
}

async function fetchUsage (admin: string): Promise<ProcessUsage> {
  const answer = await request(`http://${admin}/state`)
  return (await answer.body.json() as { readonly usage: ProcessUsage }).usage
}

async function measureWhile (admin: string, work: Promise<unknown>): Promise<Footprint> {
  const before = await fetchUsage(admin)
  const startMs = performance.now()
  await work
  const ms = performance.now() - startMs
  const after = await fetchUsage(admin)
  const total = ({ userMicros, systemMicros }: ProcessUsage): number => userMicros + systemMicros
  return {
    cpuPercentOfCore: Number(((total(after) - total(before)) / ms / 10).toFixed(2)),
    memoryMegabytes: Math.round(after.memoryBytes / 1e6)
  }
}

async function measure (pairs: number): Promise<MeshFootprint> {
  const plan = {
    region: 'kyushu', zones: ['z'], services: { custody: pairs }, slots: 32, connections: 64, serviceTimeMs: 0
  }
  const mesh = new LocalMesh(plan, mkdtempSync(join(tmpdir(), 'sassafras-footprint-')))
  const { layout } = await mesh.start(join('examples', 'kagamino', 'mesh.toml'), () => {})
  const pair = layout.pairs[0] as typeof layout.pairs[number]
  const replica = layout.replicas[0] as typeof layout.replicas[number]
  await delay(SETTLE_MS)
  const [nodeAtRest, replicaAtRest] = await Promise.all([
    measureWhile(pair.admin, delay(IDLE_MS)), measureWhile(replica.admin, delay(IDLE_MS))
  ])
  const route = { name: 'lookup', origin: `http://${pair.caller}`, host: 'custody.mesh', method: 'GET', path: '/lookups/1' } as const
  const load = new InterleavedLoad([route], 1)
  const nodeUnderLoad = await measureWhile(pair.admin, load.run(LOAD_RATE, LOAD_CALLS))
  await load.dispose()
  await mesh.processGroup.stopAll()
  return { nodes: pairs, nodeAtRest, nodeUnderLoad, replicaAtRest }
}

const points: MeshFootprint[] = []
for (const pairs of PAIRS) points.push(await measure(pairs))
console.table(points.map(({ nodes, nodeAtRest, nodeUnderLoad, replicaAtRest }) => ({
  nodes,
  restCpu: nodeAtRest.cpuPercentOfCore,
  restMegabytes: nodeAtRest.memoryMegabytes,
  loadCpu: nodeUnderLoad.cpuPercentOfCore,
  loadMegabytes: nodeUnderLoad.memoryMegabytes,
  replicaCpu: replicaAtRest.cpuPercentOfCore,
  replicaMegabytes: replicaAtRest.memoryMegabytes
})))
writeReport('footprint', { loadRate: LOAD_RATE, points })
