import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { NodeDaemon } from '../../src/node/NodeDaemon.js'
import { nodeSettings } from '../../src/node/NodeSettings.js'
import { findFreeAddresses } from '../../src/demo/FreePorts.js'
import { call } from './HttpCall.js'

/** Fields of a node's state dump that tests check. */
export interface NodeState {
  readonly configuration: { readonly state: string }
  readonly upstreamSide: { readonly upstream: object | null }
  readonly mesh: { readonly sessionCalls: number }
}

/** Settings that may differ between the nodes of a test. */
export interface InProcessOptions {
  readonly limits?: Readonly<Record<string, number>>
  /** Address of the listener for peers; a free one by default. */
  readonly peerAddress?: string
  readonly announceTimeoutMs?: number
}

/** A node in the process of the test, with an HTTP server of the test as its upstream. */
export class InProcessNode {
  private readonly _upstream: Server

  private constructor (
    public readonly id: string,
    public readonly callerPort: number,
    private readonly _adminUrl: string,
    private readonly _daemon: NodeDaemon,
    listener: RequestListener
  ) {
    this._upstream = createServer(listener)
  }

  /** Starts a node and its upstream; resolves when calls to the service can be answered. */
  public static async start (
    id: string,
    control: string,
    service: string,
    listener: RequestListener,
    options: InProcessOptions = {}
  ): Promise<InProcessNode> {
    const [freePeer, caller, admin] = await findFreeAddresses(3) as [string, string, string]
    const peer = options.peerAddress ?? freePeer
    const settings = nodeSettings.parse({
      id,
      place: { region: 'r', zone: 'z' },
      listen: { peer, caller, admin },
      control: [{ id: 'c0', address: control }],
      log: { level: 'silent' },
      metrics: { enabled: false },
      timing: { heartbeatMs: 50, announceTimeoutMs: options.announceTimeoutMs ?? 60_000 },
      limits: options.limits ?? {}
    })
    const daemon = await NodeDaemon.start(settings)
    const node = new InProcessNode(id, Number(caller.split(':')[1]), `http://${admin}`, daemon, listener)
    await node.announce(service, 'serving')
    await node._waitUntilServing(service)
    return node
  }

  /** Announces the upstream to its node; starts the upstream's listener first if necessary. */
  public async announce (service: string, state: 'starting' | 'serving' | 'draining', slots = 4): Promise<void> {
    if (!this._upstream.listening) await new Promise<void>(resolve => this._upstream.listen(0, '127.0.0.1', resolve))
    const { port } = this._upstream.address() as AddressInfo
    const body = { service, address: `127.0.0.1:${port}`, slots, connections: 20, state }
    const response = await fetch(`${this._adminUrl}/announce`, {
      method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body)
    })
    if (!response.ok) throw new Error(await response.text())
  }

  /** Returns the state dump of the node. */
  public async state (): Promise<NodeState> {
    return await (await fetch(`${this._adminUrl}/state`)).json() as NodeState
  }

  /** Stops the node as planned: it drains before it ends. */
  public async stop (): Promise<void> {
    await this._daemon.stop()
  }

  /** Stops the upstream and the node. */
  public async dispose (): Promise<void> {
    this._upstream.closeAllConnections()
    await new Promise(resolve => this._upstream.close(resolve))
    await this.stop()
  }

  /** Closes the upstream's listener and all its connections at once, as a crash of its process does. */
  public async crashUpstream (): Promise<void> {
    const closed = new Promise(resolve => this._upstream.close(resolve))
    this._upstream.closeAllConnections()
    await closed
  }

  private async _waitUntilServing (service: string): Promise<void> {
    for (;;) {
      const answer = await call('/ready', { service, port: this.callerPort })
      if (answer.headers['sassafras-disposition'] === undefined) return
    }
  }
}
