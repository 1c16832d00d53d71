import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import got from 'got'
import type { Response } from 'got'
import { findFreeAddresses } from '../../src/demo/FreePorts.js'
import { RequestFingerprint } from '../../src/parts/quarantine/RequestFingerprint.js'
import { computeSha1 } from '../../src/runtime/Digest.js'
import type { EvacuationState } from '../../src/parts/evacuation/Types.js'
import type { Route, RoutingChange, RoutingConfiguration } from '../../src/parts/routing/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { MemoryDisk } from '../../src/parts/storage/MemoryDisk.js'
import { RouteControlDaemon } from '../../src/routecontrol/RouteControlDaemon.js'
import { RouteNodeDaemon, type RouteNodeSettings } from '../../src/routenode/RouteNodeDaemon.js'
import type { HeaderNames } from '../../src/routenode/Types.js'
import { parseAddress } from '../../src/runtime/Address.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'
import type { Log, LogFields } from '../../src/runtime/Types.js'
import type { ControlGroup } from './ControlGroup.js'

const SILENT_LOG: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

/** Names of the platform's headers in these tests. */
export const HEADER_NAMES: HeaderNames = {
  requestId: 'call-id',
  deadlineMs: 'deadline-ms',
  targetInstance: 'target-instance',
  instanceId: 'instance-id',
  notExecuted: 'not-executed',
  load: 'instance-load',
  callerService: 'caller-service',
  signature: 'signature',
  requestLimit: 'request-limit',
  leaving: 'leaving',
  apiKey: 'api-key',
  workspace: 'workspace',
  coldMs: 'cold-ms'
}

/** Handles a request that an instance runs; undefined answers it at once. */
export type Behaviour =
  ((request: IncomingMessage, response: ServerResponse, instance: MockInstance) => void) | undefined

/** A mock instance that records the requests that it ran. */
export class MockInstance {
  /** Ids of the requests that the instance started to run. */
  public readonly ran: string[] = []
  /** Ids of the requests whose connection was closed before their answer was complete. */
  public readonly cut: string[] = []
  public behaviour: Behaviour
  /** All requests that reached the instance, health checks included, but for those answered with 421. */
  public readonly arrivals: Array<{ readonly atMs: number, readonly isCold: boolean }> = []
  /** Until when the instance is cold, as its answers to health checks tell, in monotonic milliseconds. */
  public coldUntilMs: number | undefined
  /** Returns the bytes that are sent in place of the next answer to a health check; undefined for the proper answer. */
  public spoilHealth: () => Uint8Array | undefined = () => undefined
  /** Number of times that the instance has crashed. */
  public crashes = 0
  private _server = this._createServer()

  /**
   * @param _name Beginning of the id of each incarnation.
   */
  public constructor (private readonly _name: string, public readonly address: string) {}

  /** Id of the incarnation that runs now. */
  public get id (): string {
    return this.crashes === 0 ? this._name : `${this._name}.${this.crashes}`
  }

  public async listen (): Promise<void> {
    const { host, port } = parseAddress(this.address)
    await new Promise<void>(resolve => this._server.listen(port, host, resolve))
  }

  /** Answers a request as a healthy instance does, with additional headers. */
  public answer (
    request: IncomingMessage, response: ServerResponse, headers: Readonly<Record<string, string>> = {}
  ): void {
    response.writeHead(200, {
      [HEADER_NAMES.requestId]: String(request.headers[HEADER_NAMES.requestId]),
      [HEADER_NAMES.signature]: 's',
      [HEADER_NAMES.load]: '1,0,6,100',
      ...headers
    })
    response.end(`${this.id} ${request.headers[HEADER_NAMES.callerService]}`)
  }

  /** Ends all connections and the listener at once; the next incarnation listens after `listen`. */
  public crash (): void {
    this.dispose()
    this.crashes++
    this._server = this._createServer()
  }

  public dispose (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** How long the instance stays cold, in whole milliseconds. */
  public get coldMs (): number {
    return Math.ceil(Math.max(0, (this.coldUntilMs ?? 0) - performance.now()))
  }

  private _recordArrival (): void {
    this.arrivals.push({ atMs: performance.now(), isCold: this.coldMs > 0 })
  }

  private _createServer (): Server {
    return createServer((request, response) => this._handle(request, response))
  }

  private _handle (request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/healthz') {
      this._recordArrival()
      const spoiled = this.spoilHealth()
      if (spoiled !== undefined) {
        request.socket.end(spoiled)
        return
      }
      const headers = { [HEADER_NAMES.instanceId]: this.id, [HEADER_NAMES.load]: '0,0,6,100' }
      const coldMs = this.coldUntilMs === undefined ? {} : { [HEADER_NAMES.coldMs]: String(this.coldMs) }
      response.writeHead(200, { ...headers, ...coldMs }).end()
      return
    }
    const id = String(request.headers[HEADER_NAMES.requestId])
    if (request.headers[HEADER_NAMES.targetInstance] !== this.id) {
      response.writeHead(421, { [HEADER_NAMES.requestId]: id }).end()
      return
    }
    this._recordArrival()
    this.ran.push(id)
    response.once('close', () => { if (!response.writableFinished) this.cut.push(id) })
    if (this.behaviour === undefined) this.answer(request, response)
    else this.behaviour(request, response, this)
  }
}

/** A node and the instance on its VM. */
export interface MeshNode {
  /** Replaced when the node is restarted. */
  daemon: RouteNodeDaemon
  readonly settings: RouteNodeSettings
  readonly instance: MockInstance
  /** URL of the node's listener for callers. */
  readonly callerUrl: string
  /** Address of the node's listener for other nodes, `host:port`. */
  readonly nodeAddress: string
}

/** What may differ from nodes in one zone with one control replica. */
export interface MeshOptions {
  /** Availability zones; each node is in the next one. */
  readonly zones?: readonly string[]
  /** Control replicas that are running already; the mesh does not end them. */
  readonly group?: ControlGroup
  /** Returns what differs in the settings of a node. */
  readonly settings?: (index: number) => Partial<RouteNodeSettings>
}

/** Fields of a node's state that the tests check. */
interface NodeState {
  readonly version: number
  readonly evacuation: EvacuationState
  readonly placement: {
    readonly services: Readonly<Record<string, readonly unknown[]>>
  }
}

/** A control replica and nodes with instances of one service, all in this process and on loopback. */
export class RouteMesh {
  public readonly nodes: MeshNode[] = []
  /** Lines of the information level that the nodes have logged. */
  public readonly logLines: Array<{ readonly message: string, readonly fields: LogFields }> = []
  private readonly _log: Log = {
    ...SILENT_LOG, info: (fields, message) => { this.logLines.push({ message, fields }) }
  }

  private _control!: Pick<RouteControlDaemon, 'change'>
  private _ownControl: RouteControlDaemon | undefined
  private _seedAddress = ''
  private readonly _disk = Object.assign(new MemoryDisk(), { dispose: () => {} })
  private _version = 0
  private _lastId = 0
  private _seed = 0

  /** Starts a control replica and nodes with two routes: `/read/` is idempotent, `/once/` runs at most once. */
  public static async start (
    count: number, { zones = ['a'], group, settings = () => ({}) }: MeshOptions = {}
  ): Promise<RouteMesh> {
    const mesh = new RouteMesh()
    const seeds = group?.addresses ?? await findFreeAddresses(1)
    mesh._seedAddress = seeds[0] as string
    mesh._control = group ?? await mesh._startControl()
    for (let i = 0; i < count; i++) {
      await mesh._addNode(seeds, i, { zone: zones[i % zones.length] as string, ...settings(i) })
    }
    await mesh.configure(makeRoute('read', 'idempotent'), makeRoute('once', 'once'))
    const instanceCount = mesh.nodes.filter(({ settings }) => settings.service === 'svc').length
    for (const node of mesh.nodes) await mesh.awaitInstances(node, instanceCount)
    return mesh
  }

  /** Replaces all routes and waits until they are in force at every node. */
  public async configure (...routes: Route[]): Promise<void> {
    await this.configureWith({ routes })
  }

  /**
   * Replaces the configuration and waits until it is in force at every node.
   * @param changes What differs from one service, default limits and no workspaces.
   */
  public async configureWith (changes: Partial<RoutingConfiguration> & Pick<RoutingConfiguration, 'routes'>): Promise<void> {
    const services = [{ name: 'svc', healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false }]
    const limits = { maxHeaderBytes: 16384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
    const base = this._version++
    const configuration = { services, limits, ...changes }
    const change: RoutingChange = { type: 'replace', version: base + 1, base, configuration }
    for (;;) {
      const outcome = await this._control.change(change)
      if (outcome.type === 'decided') break
      await pause()
    }
    const versions = (): number[] => this.nodes.map(({ daemon }) => (daemon.state() as NodeState).version)
    while (versions().some(version => version < this._version)) await pause()
  }

  /** Sends a request to a node as a caller does, without retries. */
  public async call (
    node: MeshNode, path: string, deadlineMs = 5000, headers: Readonly<Record<string, string>> = {}
  ): Promise<Response<string>> {
    const id = `r-${++this._lastId}`
    return await got(`${node.callerUrl}${path}`, {
      headers: { host: 'h.example', [HEADER_NAMES.requestId]: id, [HEADER_NAMES.deadlineMs]: String(deadlineMs), ...headers },
      throwHttpErrors: false,
      retry: { limit: 0 }
    })
  }

  /** Number of runs that all instances together have started. */
  public get startedCount (): number {
    return this.nodes.reduce((sum, { instance }) => sum + instance.ran.length, 0)
  }

  /** Waits until a node knows `count` instances. */
  public async awaitInstances (node: MeshNode, count: number): Promise<void> {
    while (this.readyCount(node) < count) await pause()
  }

  /** Waits until every node knows exactly these zones as evacuated. */
  public async awaitEvacuated (...zones: string[]): Promise<void> {
    const known = (): string[] => this.nodes.map(({ daemon }) => (daemon.state() as NodeState).evacuation.zones.join())
    while (known().some(names => names !== zones.join())) await pause()
  }

  /** Waits for the next line of the information level with a message, and returns its fields. */
  public async awaitLog (message: string): Promise<LogFields> {
    const before = this.logLines.length
    for (;;) {
      const line = this.logLines.slice(before).find(line => line.message === message)
      if (line !== undefined) return line.fields
      await pause()
    }
  }

  /** Number of instances that a node sends requests to. */
  public readyCount ({ daemon }: MeshNode): number {
    return (daemon.state() as NodeState).placement.services['svc']?.length ?? 0
  }

  /**
   * Ends a node at once and starts it anew, while its instance keeps running and reports itself again.
   * @param instances Instances that the node must know before it counts as started.
   */
  public async restart (node: MeshNode, instances = this.nodes.length): Promise<void> {
    node.daemon.dispose()
    node.daemon = await this._startDaemon(node.settings)
    reportReady(node.daemon, node.instance, 2)
    await this.awaitInstances(node, instances)
  }

  /** Ends all nodes and the control replica at once and starts them anew, while the instances keep running. */
  public async restartAll (): Promise<void> {
    this.nodes.forEach(({ daemon }) => daemon.dispose())
    await this.restartControl()
    for (const node of this.nodes) node.daemon = await this._startDaemon(node.settings)
    for (const { daemon } of this.nodes) {
      while ((daemon.state() as NodeState).version < this._version) await pause()
    }
  }

  /** Ends the control replica at once and starts it anew with its disk. */
  public async restartControl (): Promise<void> {
    this._ownControl?.dispose()
    this._control = await this._startControl()
  }

  /** Ends the control replica for good. */
  public stopControl (): void {
    this._ownControl?.dispose()
    this._ownControl = undefined
  }

  /** Crashes an instance; its next incarnation starts and reports itself after a short while. */
  public async crash ({ daemon, instance }: MeshNode): Promise<void> {
    instance.crash()
    await pause()
    await instance.listen()
    reportReady(daemon, instance, 1)
  }

  public dispose (): void {
    this.nodes.forEach(({ daemon, instance }) => {
      daemon.dispose()
      instance.dispose()
    })
    this._ownControl?.dispose()
  }

  private async _startControl (): Promise<RouteControlDaemon> {
    this._ownControl = new RouteControlDaemon({
      settings: { address: this._seedAddress, seeds: [this._seedAddress], bootstrap: true, toleratedLosses: 0 },
      disk: this._disk,
      clock: new SystemClock(),
      random: new SeededRandom(1),
      log: SILENT_LOG,
      onFault: error => { throw error }
    })
    await this._ownControl.start()
    return this._ownControl
  }

  private async _addNode (seeds: readonly string[], index: number, changes: Partial<RouteNodeSettings>): Promise<void> {
    const [callerAddress, nodeAddress, instanceAddress] = await findFreeAddresses(3) as [string, string, string]
    const instance = new MockInstance(`i-${index}`, instanceAddress)
    await instance.listen()
    const settings: RouteNodeSettings = {
      callerAddress,
      nodeAddress,
      instanceAddress,
      service: 'svc',
      zone: 'a',
      toleratesZoneLoss: false,
      seeds,
      retryLimits: { ratio: 1, slack: 1000, windowMs: 10_000 },
      names: HEADER_NAMES,
      stopLimitMs: 6000,
      ...changes
    }
    const daemon = await this._startDaemon(settings)
    this.nodes.push({ daemon, settings, instance, callerUrl: `http://${callerAddress}`, nodeAddress })
    reportReady(daemon, instance, 1, settings.service)
  }

  private async _startDaemon (settings: RouteNodeSettings): Promise<RouteNodeDaemon> {
    const random = new SeededRandom(++this._seed)
    const fingerprint = new RequestFingerprint(computeSha1)
    const daemon = new RouteNodeDaemon({ settings, clock: new SystemClock(), random, log: this._log, fingerprint })
    await daemon.start()
    return daemon
  }
}

function reportReady (
  daemon: RouteNodeDaemon, { id, address, crashes }: MockInstance, sequence: number, service = 'svc'
): void {
  daemon.report({ id, bornMs: 1 + crashes, sequence, service, address, slots: 6, state: 'ready', coldMs: 0 })
}

/** Builds a route to the mesh's one service. */
export function makeRoute (name: string, kind: Route['kind'], changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'h.example',
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 4000,
    latencyObjectiveMs: 1000,
    priority: 1,
    maxAttempts: 2,
    destination: { type: 'service', service: 'svc' },
    ...changes
  }
}

/** Waits 10 ms between two polls of a condition. */
export async function pause (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 10))
}
