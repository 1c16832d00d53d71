import type { IncomingMessage, ServerResponse } from 'node:http'
import { findFreeAddresses } from '../../src/demo/FreePorts.js'
import type { InstanceIncarnation } from '../../src/parts/instances/Types.js'
import { RequestFingerprint } from '../../src/parts/quarantine/RequestFingerprint.js'
import { InstanceProxy, type InstanceProxyOptions } from '../../src/routenode/InstanceProxy.js'
import { Quarantine } from '../../src/routenode/Quarantine.js'
import type { RoutedCall } from '../../src/routenode/Types.js'
import { computeSha1 } from '../../src/runtime/Digest.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'
import { HEADER_NAMES, MockInstance, pause } from './RouteMesh.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const SERVICE = 'svc'

/** An instance of one slot that answers when it is told to, behind a proxy without a node. */
export class ProxiedInstance {
  /** Requests that have run, and their responses, in the order of their arrival. */
  public readonly pending: Array<{ readonly request: IncomingMessage, readonly response: ServerResponse }> = []

  private constructor (private readonly _instance: MockInstance, public readonly proxy: InstanceProxy) {
    _instance.behaviour = (request, response) => this.pending.push({ request, response })
    this.report({ id: 'i-1', bornMs: 1 }, 1, 'ready')
  }

  /** Starts the instance `i-1`, which is ready. */
  public static async start (options: Partial<InstanceProxyOptions>): Promise<ProxiedInstance> {
    const [address] = await findFreeAddresses(1) as [string]
    const instance = new MockInstance('i-1', address)
    await instance.listen()
    const clock = new SystemClock()
    const fingerprint = new RequestFingerprint(computeSha1)
    return new ProxiedInstance(instance, new InstanceProxy({
      address,
      service: SERVICE,
      names: HEADER_NAMES,
      clock,
      log: SILENT,
      quarantine: new Quarantine({ node: 'n', incarnation: 1, fingerprint, clock, log: SILENT }),
      findHealthPath: () => '/healthz',
      ...options
    }))
  }

  /** Ids of the requests that have run. */
  public get ran (): readonly string[] {
    return this._instance.ran
  }

  /** Reports an instance to the proxy. */
  public report (instance: InstanceIncarnation, sequence: number, state: 'ready' | 'draining'): void {
    const { address } = this._instance
    this.proxy.report({ ...instance, sequence, service: SERVICE, address, slots: 1, state, coldMs: 0 })
  }

  /** Offers an idempotent call; the outcome is the status of its answer, or why there is none. */
  public async offer (requestId: string, leftMs = 20_000): Promise<string> {
    const call: RoutedCall = {
      id: 1,
      service: SERVICE,
      method: 'GET',
      target: '/read/x',
      headers: ['host', 'h', HEADER_NAMES.requestId, requestId],
      body: new Uint8Array(0),
      requestId,
      work: 'read',
      kind: 'idempotent',
      nested: false,
      priority: 1,
      leftMs,
      objectiveLeftMs: 10_000,
      moveMs: undefined,
      attempt: 'first'
    }
    return await new Promise(resolve => this.proxy.start(call, {
      onAnswer: ({ status }) => resolve(String(status)),
      onDeclined: reason => resolve(reason),
      onFailed: (proof, reason) => resolve(`${proof} ${reason}`)
    }))
  }

  /** Waits until so many requests have run. */
  public async awaitRuns (count: number): Promise<void> {
    while (this._instance.ran.length < count) await pause()
  }

  /** Answers a request that has run. */
  public answer (index: number): void {
    const { request, response } = this.pending[index]!
    this._instance.answer(request, response)
  }

  /** Stops the instance and the proxy. */
  public dispose (): void {
    this.proxy.dispose()
    this._instance.dispose()
  }
}
