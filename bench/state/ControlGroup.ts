import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findFreeAddresses } from '../../src/demo/FreePorts.js'
import type { ReplicaView } from '../../src/parts/agreement/Replica.js'
import type { ChangeReply, ChangeRequest, VersionedConfiguration } from '../../src/parts/configuration/Types.js'

/** Fields of `GET /state` of a control replica that are used here. */
export interface ControlState {
  readonly replica: ReplicaView
  readonly version: number
  readonly corruptions: ReadonlyArray<{ readonly file: string, readonly offset: number, readonly problem: string }>
  readonly records: { readonly count: number }
}

/** One replica process. */
interface Member {
  readonly id: string
  readonly peer: string
  readonly admin: string
  readonly settings: string
  readonly data: string
  process: ChildProcess | undefined
}

/** Returns the address at which replica `from` reaches the peer listener of replica `to`. */
export type PeerAddressResolver = (from: number, to: number, address: string) => Promise<string>

const PROGRAM = fileURLToPath(new URL('../../src/bin/sassafras-control.js', import.meta.url))
const BUILT_PROGRAM = fileURLToPath(new URL('../../dist/src/bin/sassafras-control.js', import.meta.url))
const POLL_MS = 5
const REQUEST_TIMEOUT_MS = 3000

/** Killed at exit, so that a bench or test that fails leaves no processes running. */
const CHILD_PROCESSES = new Set<ChildProcess>()
process.once('exit', () => CHILD_PROCESSES.forEach(child => child.kill('SIGKILL')))

/** Runs a control group of real processes on the loopback interface, for benches and tests. */
export class ControlGroup {
  private constructor (private readonly _members: readonly Member[]) {}

  /**
   * Writes settings for a group with free ports.
   * @param folder Folder for settings, data and logs; it is emptied first.
   * @param size Number of replicas.
   * @param extra TOML lines for all replicas.
   * @param resolvePeerAddress Returns the address under which one replica reaches another's peer listener; the
   *   listener's own address by default.
   */
  public static async create (
    folder: string,
    size: number,
    extra = '',
    resolvePeerAddress: PeerAddressResolver = async (_from, _to, address) => address
  ): Promise<ControlGroup> {
    rmSync(folder, { recursive: true, force: true })
    mkdirSync(folder, { recursive: true })
    const addresses = await findFreeAddresses(2 * size)
    const members = Array.from({ length: size }, (_, index): Member => {
      const id = `c${index + 1}`
      return {
        id,
        peer: addresses[2 * index] as string,
        admin: addresses[2 * index + 1] as string,
        settings: join(folder, `${id}.toml`),
        data: join(folder, id),
        process: undefined
      }
    })
    for (const [from, member] of members.entries()) {
      const peers = members.map(async (other, to) => ({
        ...other, peer: await resolvePeerAddress(from, to, other.peer)
      }))
      writeFileSync(member.settings, formatSettings(member, await Promise.all(peers), extra))
    }
    return new ControlGroup(members)
  }

  /** Number of replicas. */
  public get size (): number {
    return this._members.length
  }

  /** Addresses of the peer listeners, to which nodes connect as well. */
  public get addresses (): string[] {
    return this._members.map(member => member.peer)
  }

  /** Process ids of the replicas that were started. */
  public get pids (): number[] {
    return this._members.flatMap(member => member.process?.pid ?? [])
  }

  /** Data folder of a replica. */
  public dataFolderOfReplica (index: number): string {
    return this._members[index]!.data
  }

  /** Starts one replica, or all. */
  public start (index?: number): void {
    const members = index === undefined ? this._members : [this._members[index]!]
    for (const member of members) {
      const log = openSync(`${member.settings}.log`, 'a')
      const program = PROGRAM.includes('/dist/') ? PROGRAM : BUILT_PROGRAM
      member.process = spawn(process.execPath, [program, '--settings', member.settings], { stdio: ['ignore', log, log] })
      CHILD_PROCESSES.add(member.process)
    }
  }

  /** Sends a signal to one replica. */
  public signal (index: number, signal: NodeJS.Signals): void {
    this._members[index]!.process?.kill(signal)
  }

  /** Sends a signal that ends one replica, and waits for its exit. */
  public async kill (index: number, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const { process } = this._members[index]!
    if (process === undefined || process.exitCode !== null || process.signalCode !== null) return
    const exited = once(process, 'exit')
    process.kill(signal)
    await exited
  }

  /** Resolves with the exit status of one replica. */
  public async awaitExit (index: number): Promise<number | null> {
    const { process } = this._members[index]!
    if (process !== undefined && process.exitCode === null) await once(process, 'exit')
    return process?.exitCode ?? null
  }

  /** Kills all replicas, also stopped ones, and waits for their exit. */
  public async stop (): Promise<void> {
    this._members.forEach(member => member.process?.kill('SIGCONT'))
    await Promise.all(this._members.map((_, index) => this.kill(index)))
  }

  /** Deletes the data folder of a replica that does not run. */
  public wipe (index: number): void {
    rmSync(this._members[index]!.data, { recursive: true, force: true })
  }

  /** Returns the health of one replica, or undefined when it does not answer. */
  public async health (index: number): Promise<{ readonly status: string, readonly reason?: string } | undefined> {
    return await this._request(index, '/health', undefined)
  }

  /** Returns the state of one replica, or undefined when it does not answer. */
  public async state (index: number): Promise<ControlState | undefined> {
    return await this._request<ControlState>(index, '/state', 200)
  }

  /** Returns the configuration that one replica serves by quorum read, or undefined when it refuses. */
  public async configuration (index: number): Promise<VersionedConfiguration | undefined> {
    return await this._request<VersionedConfiguration>(index, '/configuration', 200)
  }

  /** Sends a change to one replica, which forwards it to the leader. */
  public async change (index: number, change: ChangeRequest): Promise<ChangeReply | undefined> {
    const body = JSON.stringify(change)
    return await this._request<ChangeReply>(index, '/changes', undefined, { method: 'POST', body })
  }

  /** Sends a change again until the reply is anything but `unavailable`. */
  public async changeWithRetries (index: number, change: ChangeRequest): Promise<ChangeReply> {
    for (;;) {
      const reply = await this.change(index, change)
      if (reply !== undefined && reply.type !== 'unavailable') return reply
      await pause()
    }
  }

  /** Waits for a condition on the state of one replica. */
  public async awaitState (index: number, condition: (state: ControlState) => boolean): Promise<ControlState> {
    for (;;) {
      const state = await this.state(index)
      if (state !== undefined && condition(state)) return state
      await pause()
    }
  }

  /** Waits for a leader and returns its index. */
  public async leader (): Promise<number> {
    for (;;) {
      const states = await Promise.all(this._members.map((_, index) => this.state(index)))
      const terms = states.map(state => state?.replica.role === 'leader' ? state.replica.term : -1)
      const newest = Math.max(...terms)
      if (newest >= 0) return terms.indexOf(newest)
      await pause()
    }
  }

  private async _request<Reply> (
    index: number,
    path: string,
    status: number | undefined,
    init: RequestInit = {}
  ): Promise<Reply | undefined> {
    try {
      const headers = { 'content-type': 'application/json', connection: 'close' }
      const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS)
      const response = await fetch(`http://${this._members[index]!.admin}${path}`, { ...init, headers, signal })
      const reply = await response.json() as Reply
      return status === undefined || response.status === status ? reply : undefined
    } catch {
      return undefined
    }
  }
}

/** Lets other processes run before the next poll. */
export async function pause (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, POLL_MS))
}

function formatSettings (self: Member, members: readonly Member[], extra: string): string {
  const replicas = members.map(({ id, peer, admin }) => `  { id = "${id}", address = "${peer}", admin = "${admin}" },`)
  return `id = "${self.id}"
place = { region = "kyushu", zone = "${self.id}" }
listen = { peer = "${self.peer}", admin = "${self.admin}" }
dataFolder = "${self.data}"
replicas = [
${replicas.join('\n')}
]
${extra}
`
}
