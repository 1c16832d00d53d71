/**
 * Measures the latency that two nodes add to a call compared with calling the upstream directly, and for comparison
 * that of two plain proxies in a row. All routes are measured in one run with interleaved calls.
 * Usage: `npm run bench:path -- [CALLS]`, with the number of calls per route and rate.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { findFreeAddresses } from '../src/demo/FreePorts.js'
import { ProcessGroup } from '../src/demo/ProcessGroup.js'
import { SettingsWriter } from '../src/demo/SettingsWriter.js'
import type { MeshLayout, PairLayout } from '../src/demo/Types.js'
import { InterleavedLoad } from './support/InterleavedLoad.js'
import type { Route, RouteResult } from './support/InterleavedLoad.js'
import type { ProxyKind } from './support/BaselineProxy.js'
import type { ProcessUsage } from '../src/runtime/AdminServer.js'
import { writeReport } from './BenchReport.js'

/** Calls per second on each route. */
const RATES = [50, 100, 200, 400]
const DEFAULT_CALLS = 4000
const WARM_UP_CALLS = 1500
const WARM_UP_RATE = 300
/** Number of routes through both nodes. */
const NODE_ROUTES = 2
const TARGET_ADDED_P99_MS = 0.33
const LOOKUP_PATH = '/lookups/1'
const LOOKUP = { host: 'echo.mesh', method: 'GET', path: LOOKUP_PATH } as const
const PROXY_KINDS: readonly ProxyKind[] = ['express-got', 'http-undici']

interface RateResult {
  /** Calls per second on each route. */
  readonly rate: number
  readonly routes: readonly RouteResult[]
  /** Latency of each route above that of the direct one. */
  readonly added: ReadonlyArray<{ readonly name: string, readonly p50Ms: number, readonly p99Ms: number }>
  /** Processor time of each node per call, over lookups and at-most-once calls, in microseconds. */
  readonly ingressMicros: number
  readonly upstreamSideMicros: number
}

async function fetchStatus (url: string, host: string): Promise<number> {
  try {
    const answer = await request(url, { headers: { host } })
    await answer.body.dump()
    return answer.statusCode
  } catch {
    return 0
  }
}

async function waitForOk (url: string, host: string): Promise<void> {
  while (await fetchStatus(url, host) !== 200) await delay(50)
}

async function fetchCpuMicros (pair: PairLayout): Promise<number> {
  const answer = await request(`http://${pair.admin}/state`)
  const { usage } = await answer.body.json() as { readonly usage: ProcessUsage }
  return usage.userMicros + usage.systemMicros
}

async function startMesh (group: ProcessGroup, folder: string): Promise<MeshLayout> {
  const plan = { region: 'r', zones: ['z'], services: { echo: 1, front: 1 }, slots: 1, connections: 1, serviceTimeMs: 0 }
  const layout = await new SettingsWriter(plan, folder).write()
  for (const { id } of layout.replicas) group.start('sassafras-control', id)
  for (const { id } of layout.pairs) group.start('sassafras-node', `node-${id}`)
  for (const { admin } of layout.replicas) await waitForOk(`http://${admin}/health`, '')
  const body = JSON.stringify({ operation: 'bench', base: 0, configuration: buildConfiguration() })
  await fetch(`http://${layout.replicas[0]?.admin}/changes`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body
  })
  return layout
}

function parsePort (address: string): string {
  return address.split(':')[1] as string
}

function startProgram (name: string, args: readonly string[]): ChildProcess {
  return spawn(process.execPath, [fileURLToPath(new URL(`support/${name}.js`, import.meta.url)), ...args])
}

function buildConfiguration (): object {
  const rule = {
    guarded: ['POST /checkouts'], downloads: [], keyless: 'refuse', deadlineMs: 5000, drainMs: 1000, retryShare: 0.1, maxBodyBytes: 65536
  }
  return {
    services: ['echo', 'front'].map(name => ({ name, ...rule })),
    zones: [{ region: 'r', zone: 'z' }],
    measuring: { bytesPerSecond: 12_000, messagesPerCall: 0.01 }
  }
}

async function startProxies (target: string): Promise<{ routes: Route[], stop: () => void }> {
  const routes: Route[] = []
  const children: ChildProcess[] = []
  for (const kind of PROXY_KINDS) {
    const [first, second] = await findFreeAddresses(2) as [string, string]
    children.push(startProgram('BaselineProxy', [kind, parsePort(first), parsePort(second)]))
    children.push(startProgram('BaselineProxy', [kind, parsePort(second), parsePort(target)]))
    routes.push({ name: kind, origin: `http://${first}`, ...LOOKUP })
    await waitForOk(`http://${first}${LOOKUP_PATH}`, 'echo.mesh')
  }
  return { routes, stop: () => children.forEach(child => child.kill('SIGKILL')) }
}

async function measure (
  load: InterleavedLoad, rate: number, calls: number, ingress: PairLayout, upstreamPair: PairLayout
): Promise<RateResult> {
  const before = [await fetchCpuMicros(ingress), await fetchCpuMicros(upstreamPair)] as const
  const routes = await load.run(rate, calls)
  const after = [await fetchCpuMicros(ingress), await fetchCpuMicros(upstreamPair)] as const
  const direct = routes[0] as RouteResult
  const added = routes.slice(1).map(({ name, p50Ms, p99Ms }) => ({
    name, p50Ms: p50Ms - direct.p50Ms, p99Ms: p99Ms - direct.p99Ms
  }))
  return {
    rate,
    routes,
    added,
    ingressMicros: (after[0] - before[0]) / (NODE_ROUTES * calls),
    upstreamSideMicros: (after[1] - before[1]) / (NODE_ROUTES * calls)
  }
}

async function main (): Promise<void> {
  const calls = Number(process.argv[2] ?? DEFAULT_CALLS)
  const folder = mkdtempSync(join(tmpdir(), 'sassafras-path-'))
  const group = new ProcessGroup(folder)
  const layout = await startMesh(group, folder)
  const [upstreamPair, ingress] = layout.pairs as [PairLayout, PairLayout]
  const echoes = layout.pairs.map(pair => startProgram('EchoServer', [pair.service, parsePort(pair.upstream), pair.admin]))
  await waitForOk(`http://${ingress.caller}${LOOKUP_PATH}`, 'echo.mesh')
  const proxies = await startProxies(upstreamPair.upstream)
  const routes: Route[] = [
    { name: 'direct', origin: `http://${upstreamPair.upstream}`, ...LOOKUP },
    { name: 'nodes', origin: `http://${ingress.caller}`, ...LOOKUP },
    { name: 'nodes, guarded', origin: `http://${ingress.caller}`, ...LOOKUP, method: 'POST', path: '/checkouts' },
    ...proxies.routes
  ]
  const load = new InterleavedLoad(routes, 1)
  await load.run(WARM_UP_RATE, WARM_UP_CALLS)
  const results: RateResult[] = []
  for (const rate of RATES) results.push(await measure(load, rate, calls, ingress, upstreamPair))
  await load.dispose()
  proxies.stop()
  echoes.forEach(echo => echo.kill('SIGKILL'))
  await group.stopAll()
  report(results, calls)
}

function report (results: readonly RateResult[], calls: number): void {
  const rows = results.flatMap(({ rate, routes, added, ingressMicros, upstreamSideMicros }) => added.map(extra => {
    const route = routes.find(({ name }) => name === extra.name)
    return {
      rate,
      route: extra.name,
      addedP50Ms: extra.p50Ms.toFixed(3),
      addedP99Ms: extra.p99Ms.toFixed(3),
      failed: route?.failed,
      ...(extra.name === 'nodes'
        ? { ingressMicros: Math.round(ingressMicros), upstreamSideMicros: Math.round(upstreamSideMicros) }
        : {})
    }
  }))
  console.table(rows)
  const worst = Math.max(...results.map(({ added }) => added[0]?.p99Ms ?? Number.NaN))
  console.log(`target ${TARGET_ADDED_P99_MS} ms added at p99: ${worst <= TARGET_ADDED_P99_MS ? 'met' : `missed, ${worst.toFixed(3)} ms at worst`}`)
  writeReport('path', { calls, targetAddedP99Ms: TARGET_ADDED_P99_MS, rates: results })
}

await main()
