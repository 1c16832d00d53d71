import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { CtlProgram } from '../ctl/CtlProgram.js'
import type { Disposable } from '../runtime/Types.js'
import { ProcessGroup } from './ProcessGroup.js'
import { SettingsWriter } from './SettingsWriter.js'
import type { MeshLayout, MeshPlan } from './Types.js'

/** A mesh whose nodes all reach all services. */
export interface StartedMesh {
  readonly layout: MeshLayout
  /** Number of processes. */
  readonly processes: number
  /** Version of the configuration that a quorum accepted. */
  readonly version: number
  readonly startedInMs: number
}

interface KnownMember {
  readonly node: string
  readonly state: string
  readonly silent: boolean
}

/** The part of a node's state dump that holds its view of the other nodes. */
interface NodeState {
  readonly membership: { readonly members: readonly KnownMember[] }
}

/** The part of a control replica's state dump that holds its role. */
interface ReplicaState {
  readonly replica: { readonly role: string }
}

const READY_TIMEOUT_MS = 20_000
const POLL_MS = 50

/** A small mesh of separate processes on loopback: control replicas, nodes and test upstreams. */
export class LocalMesh implements Disposable {
  public readonly processGroup: ProcessGroup
  private readonly _plan: MeshPlan
  private readonly _folder: string

  /**
   * @param plan Services and instances.
   * @param folder Empty folder for settings, logs, journals and data.
   * @param binFolder Folder of the built programs; by default the one beside this module.
   */
  public constructor (plan: MeshPlan, folder: string, binFolder?: URL) {
    this._plan = plan
    this._folder = folder
    this.processGroup = new ProcessGroup(folder, binFolder)
  }

  /**
   * Starts all processes, applies a configuration and waits until each node reaches each service.
   * @param configurationFile Path of the configuration file.
   * @param onProgress Called with a line of text at each step.
   */
  public async start (configurationFile: string, onProgress: (line: string) => void): Promise<StartedMesh> {
    const startedAtMs = performance.now()
    const layout = await new SettingsWriter(this._plan, this._folder).write()
    const processes = this._startAll(layout)
    onProgress(`started ${processes} processes; settings and logs are in ${this._folder}`)
    await this._waitForHealth(layout.replicas.map(replica => replica.admin))
    const version = await this._applyConfiguration(configurationFile)
    onProgress(`a quorum accepted version ${version}`)
    await this._waitForHealth(layout.pairs.map(pair => pair.admin))
    await this._waitForAnswers(layout)
    const startedInMs = Math.round(performance.now() - startedAtMs)
    onProgress(`every node reaches every service after ${startedInMs} ms`)
    return { layout, processes, version, startedInMs }
  }

  /**
   * Restarts a stopped upstream and waits until every node knows that it serves.
   * @param layout Addresses of the mesh.
   * @param id Id of the node beside it.
   */
  public async restartUpstream (layout: MeshLayout, id: string): Promise<void> {
    this.processGroup.start('sassafras-upstream', `upstream-${id}`)
    await Promise.all(layout.pairs.map(async ({ admin }) => {
      await this._waitUntil(`${admin} knows that ${id} serves`, async () => await isKnownToServe(admin, id))
    }))
  }

  /**
   * Restarts a stopped node and waits until it is healthy and every node knows that its upstream serves.
   * @param layout Addresses of the mesh.
   * @param id Id of the node.
   */
  public async restartNode (layout: MeshLayout, id: string): Promise<void> {
    this.processGroup.start('sassafras-node', `node-${id}`)
    await this._waitForHealth(layout.pairs.filter(pair => pair.id === id).map(pair => pair.admin))
    await Promise.all(layout.pairs.map(async ({ admin }) => {
      await this._waitUntil(`${admin} knows that ${id} serves`, async () => await isKnownToServe(admin, id))
    }))
  }

  /**
   * Waits until a control replica is the leader.
   * @param layout Addresses of the mesh.
   * @returns Id of the leader in the settings.
   */
  public async findLeader (layout: MeshLayout): Promise<string> {
    let leader: string | undefined
    await this._waitUntil('a control replica is the leader', async () => {
      const roles = await Promise.all(layout.replicas.map(
        async ({ id, admin }) => ({ id, role: await fetchRole(admin) })
      ))
      leader = roles.find(({ role }) => role === 'leader')?.id
      return leader !== undefined
    })
    return leader as string
  }

  /**
   * Restarts a stopped control replica and waits until it is healthy, that is, a member of its group.
   * @param layout Addresses of the mesh.
   * @param id Id of the replica.
   */
  public async restartReplica (layout: MeshLayout, id: string): Promise<void> {
    this.processGroup.start('sassafras-control', id)
    await this._waitForHealth(layout.replicas.filter(replica => replica.id === id).map(replica => replica.admin))
  }

  /** Kills all processes. */
  public dispose (): void {
    this.processGroup.kill()
  }

  private _startAll (layout: MeshLayout): number {
    for (const { id } of layout.replicas) this.processGroup.start('sassafras-control', id)
    for (const { id } of layout.pairs) {
      this.processGroup.start('sassafras-node', `node-${id}`)
      this.processGroup.start('sassafras-upstream', `upstream-${id}`)
    }
    return layout.replicas.length + 2 * layout.pairs.length
  }

  private async _applyConfiguration (configurationFile: string): Promise<number> {
    const settings = join(this._folder, 'sassafrasctl.toml')
    const args = ['apply', configurationFile, '--base', '0', '--operation', 'demo-1', '--settings', settings, '--json']
    const stdout = new PassThrough()
    const exit = await new CtlProgram().run(args, { stdout })
    const report = String(stdout.read())
    if (exit !== 0) throw new Error(`the configuration was not accepted: ${report}`)
    return (JSON.parse(report) as { readonly version: number }).version
  }

  private async _waitForHealth (addresses: readonly string[]): Promise<void> {
    await Promise.all(addresses.map(async address => {
      const isHealthy = async (): Promise<boolean> => await fetchStatus(`http://${address}/health`, {}) === 200
      await this._waitUntil(`${address} is healthy`, isHealthy)
    }))
  }

  /** Waits until each node reaches each service, so that the calls of a test or demo find a complete mesh. */
  private async _waitForAnswers (layout: MeshLayout): Promise<void> {
    const services = Object.keys(this._plan.services)
    await Promise.all(layout.pairs.flatMap(({ id, caller }) => services.map(async service => {
      const headers = { host: `${service}.mesh` }
      const isReached = async (): Promise<boolean> => await fetchStatus(`http://${caller}/lookups/warm`, headers) === 200
      await this._waitUntil(`${id} reaches ${service}`, isReached)
    })))
  }

  private async _waitUntil (description: string, condition: () => Promise<boolean>): Promise<void> {
    const endAtMs = performance.now() + READY_TIMEOUT_MS
    while (!await condition()) {
      const ended = this.processGroup.exitedNames()
      if (ended.length > 0) throw new Error(`${ended.join(', ')} exited during the wait; see the logs in ${this._folder}`)
      if (performance.now() > endAtMs) throw new Error(`timed out after ${READY_TIMEOUT_MS} ms waiting until ${description}`)
      await delay(POLL_MS)
    }
  }
}

async function isKnownToServe (admin: string, id: string): Promise<boolean> {
  const answer = await request(`http://${admin}/state`)
  const { membership } = await answer.body.json() as NodeState
  return membership.members.some(({ node, state, silent }) => node === id && state === 'serving' && !silent)
}

/** Resolves to the role of a replica, undefined while the replica is unreachable. */
async function fetchRole (admin: string): Promise<string | undefined> {
  try {
    const answer = await request(`http://${admin}/state`)
    const { replica } = await answer.body.json() as ReplicaState
    return replica.role
  } catch {
    return undefined
  }
}

async function fetchStatus (url: string, headers: Record<string, string>): Promise<number> {
  try {
    const answer = await request(url, { headers })
    await answer.body.dump()
    return answer.statusCode
  } catch {
    return 0
  }
}
