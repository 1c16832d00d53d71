import { afterEach, expect, test, vi } from 'vitest'
import { InstanceProxy } from '../src/routenode/InstanceProxy.js'
import { ControlGroup } from './support/ControlGroup.js'
import { HEADER_NAMES, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'

const ZONES = ['a', 'b', 'c']

/** Time from the acknowledgement of an order until the zone must be empty, in milliseconds; operators rely on it. */
const EMPTY_AFTER_MS = 5000

/** Requests that are enough to show that a zone gets none, or gets some. */
const SAMPLE = 60

let group: ControlGroup
let mesh: RouteMesh
let traffic: Traffic | undefined

afterEach(() => {
  vi.restoreAllMocks()
  traffic?.stop()
  traffic = undefined
  mesh.dispose()
  group.dispose()
})

/** Starts three control replicas, and two nodes with an instance in each of three zones. */
async function startMesh (): Promise<void> {
  group = await ControlGroup.start(3, ZONES)
  mesh = await RouteMesh.start(2 * ZONES.length, { zones: ZONES, group })
}

function nodesIn (zone: string): MeshNode[] {
  return mesh.nodes.filter(({ settings }) => settings.zone === zone)
}

function findNode (zone: string): MeshNode {
  return nodesIn(zone)[0]!
}

/** Callers at all nodes, each with one request after the other. Each run of `/once/x` makes a call of its own. */
class Traffic {
  /** Starts of runs, of the calls that instances make too. */
  public readonly runs: Array<{ readonly zone: string, readonly atMs: number }> = []
  public readonly statuses: number[] = []
  public readonly nestedStatuses: number[] = []
  private _isStopped = false

  public start (): void {
    for (const node of mesh.nodes) {
      this._record(node)
      this._loop(node).catch(() => this.statuses.push(0))
    }
  }

  public stop (): void {
    this._isStopped = true
  }

  /** Waits for requests that begin after this call, and returns the zones in which they and their calls ran. */
  public async awaitAnswers (count = SAMPLE): Promise<Set<string>> {
    const [answered, since] = [this.statuses.length, performance.now()]
    // One request of each caller may have begun before.
    while (this.statuses.length < answered + count + mesh.nodes.length) await pause()
    return new Set(this.runs.filter(({ atMs }) => atMs >= since).map(({ zone }) => zone))
  }

  /** Waits for a run in a zone. */
  public async awaitRun (zone: string): Promise<void> {
    const since = performance.now()
    while (!this.runs.some(run => run.zone === zone && run.atMs >= since)) await pause()
  }

  public countRuns (zone: string, sinceMs: number): number {
    return this.runs.filter(run => run.zone === zone && run.atMs >= sinceMs).length
  }

  private _record (node: MeshNode): void {
    node.instance.behaviour = (request, response, instance) => {
      this.runs.push({ zone: node.settings.zone, atMs: performance.now() })
      const id = String(request.headers[HEADER_NAMES.requestId])
      if (request.url !== '/once/x') return instance.answer(request, response)
      mesh.call(node, '/read/x', 5000, { [HEADER_NAMES.requestId]: `${id}.1` })
        .then(({ statusCode }) => this.nestedStatuses.push(statusCode))
        .catch(() => this.nestedStatuses.push(0))
        .finally(() => instance.answer(request, response))
    }
  }

  private async _loop (node: MeshNode): Promise<void> {
    for (let i = 0; !this._isStopped; i++) {
      const { statusCode } = await mesh.call(node, i % 2 === 0 ? '/read/x' : '/once/x')
      this.statuses.push(statusCode)
      await pause()
    }
  }
}

function startTraffic (): Traffic {
  traffic = new Traffic()
  traffic.start()
  return traffic
}

/** Waits until the gates of all instances in a zone admit nothing. */
async function awaitClosed (zone: string): Promise<void> {
  const isOpen = ({ daemon }: MeshNode): boolean => (daemon.state() as { load: { limit: number } }).load.limit > 0
  while (nodesIn(zone).some(isOpen)) await pause()
}

/** Sends requests to a node and returns the statuses, and the zones in which they ran. */
async function sample (node: MeshNode): Promise<{ readonly statuses: Set<number>, readonly zones: Set<string> }> {
  const before = mesh.nodes.map(({ instance }) => instance.ran.length)
  const statuses = new Set<number>()
  for (let i = 0; i < SAMPLE; i++) statuses.add((await mesh.call(node, i % 2 === 0 ? '/read/x' : '/once/x')).statusCode)
  const used = mesh.nodes.filter(({ instance }, index) => instance.ran.length > before[index]!)
  return { statuses, zones: new Set(used.map(({ settings }) => settings.zone)) }
}

/** Checks that requests to a node of one zone are all answered, and none in another zone. */
async function expectServedElsewhere (zone: string, evacuated: string): Promise<void> {
  const { statuses, zones } = await sample(findNode(zone))
  expect(statuses).toEqual(new Set([200]))
  expect(zones).not.toContain(evacuated)
}

test('an evacuated zone is empty in time, its callers are served elsewhere, and its instances return', async () => {
  await startMesh()
  const callers = startTraffic()
  expect(await callers.awaitAnswers()).toEqual(new Set(ZONES))
  const acknowledgedMs = await group.orderUntilDone('start', 'a')
  await mesh.awaitEvacuated('a')
  // The other zones must not get all of the load at once.
  await callers.awaitRun('a')
  while (performance.now() < acknowledgedMs + EMPTY_AFTER_MS) await pause()
  expect(await callers.awaitAnswers()).toEqual(new Set(['b', 'c']))
  expect(callers.countRuns('a', acknowledgedMs + EMPTY_AFTER_MS)).toBe(0)
  const assumeCold = vi.spyOn(InstanceProxy.prototype, 'assumeCold')
  await group.orderUntilDone('end', 'a')
  await callers.awaitRun('a')
  await mesh.awaitEvacuated()
  expect(assumeCold).toHaveBeenCalledTimes(nodesIn('a').length)
  callers.stop()
  expect(new Set(callers.statuses)).toEqual(new Set([200]))
  expect(new Set(callers.nestedStatuses)).toEqual(new Set([200]))
})

// A restarted node has no state; it must not send requests to the zone, nor admit those of its own callers.
test('nodes and control replicas that restart during an evacuation keep to it', async () => {
  await startMesh()
  await group.orderUntilDone('start', 'a')
  await mesh.awaitEvacuated('a')
  await awaitClosed('a')
  for (const zone of ZONES) {
    await mesh.restart(findNode(zone))
    await expectServedElsewhere(zone, 'a')
  }
  const [one, two, three] = [0, 1, 2]
  for (const index of [one, two, three]) group.stop(index)
  await expectServedElsewhere('a', 'a')
  for (const index of [one, two, three]) await group.restart(index)
  for (const zone of ZONES) await mesh.restart(findNode(zone))
  await mesh.awaitEvacuated('a')
  for (const zone of ZONES) await expectServedElsewhere(zone, 'a')
  await group.orderUntilDone('end', 'a')
  await mesh.awaitEvacuated()
  const callers = startTraffic()
  await callers.awaitRun('a')
})

test('an order that is sent twice, or to a follower, is one order, and without a quorum there is none', async () => {
  await startMesh()
  await group.orderUntilDone('start', 'a')
  const { leader, follower } = group
  const repeated = await Promise.all([leader!, follower, leader!].map(async index => await group.order(index, 'start', 'a')))
  for (const { status, body } of repeated) expect([status, JSON.parse(body)]).toEqual([200, { Revision: 1, Zones: ['a'] }])
  expect(repeated.map(({ wasRedirected }) => wasRedirected)).toEqual([false, false, false])
  expect((await group.order(follower, 'start', 'd')).status).toBe(400)
  const lost = [0, 1, 2].filter(index => index !== follower)
  lost.forEach(index => group.stop(index))
  let answer = await group.order(follower, 'end', 'a')
  // The lost leader is named until the follower misses it; nothing answers there.
  while (answer.status === 0) answer = await group.order(follower, 'end', 'a')
  expect(answer.status).toBe(503)
  await mesh.awaitEvacuated('a')
})

test('several zones are evacuated one after the other, and requests are refused when all are', async () => {
  await startMesh()
  await group.orderUntilDone('start', 'a')
  await group.orderUntilDone('start', 'c')
  await mesh.awaitEvacuated('a', 'c')
  for (const zone of ['a', 'c']) await awaitClosed(zone)
  for (const zone of ZONES) expect(await sample(findNode(zone))).toEqual({ statuses: new Set([200]), zones: new Set(['b']) })
  await group.orderUntilDone('start', 'b')
  await mesh.awaitEvacuated(...ZONES)
  await awaitClosed('b')
  for (const zone of ZONES) expect(await sample(findNode(zone))).toEqual({ statuses: new Set([503]), zones: new Set() })
  const refusal = await mesh.call(findNode('a'), '/read/x')
  expect(JSON.parse(refusal.body)).toEqual({ reason: 'zones-evacuated', notRun: true })
  expect(Number(refusal.headers['retry-after'])).toBeGreaterThan(0)
  await group.orderUntilDone('end', 'c')
  await mesh.awaitEvacuated('a', 'b')
  // Nothing else is left, so the zone takes all traffic at once.
  for (const zone of ZONES) expect(await sample(findNode(zone))).toEqual({ statuses: new Set([200]), zones: new Set(['c']) })
})
