import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Programs of the package that a group may run. */
export type ProgramName = 'sassafras-control' | 'sassafras-node' | 'sassafras-upstream'

/** How a process ended: exit code, or the name of the signal that ended it. */
export type ProcessEnd = number | NodeJS.Signals

const BIN_FOLDER = new URL('../bin/', import.meta.url)

/** Separate processes of this package's programs, with their output in files. Ends only what it started. */
export class ProcessGroup {
  private readonly folder: string
  private readonly binFolder: URL
  private readonly children = new Map<string, ChildProcess>()

  /**
   * @param folder Holds the settings `NAME.toml` and takes the logs `NAME.log`.
   * @param binFolder Holds the built programs.
   */
  public constructor (folder: string, binFolder = BIN_FOLDER) {
    this.folder = folder
    this.binFolder = binFolder
    process.once('exit', () => { this.kill() })
  }

  /**
   * Starts a process.
   * @param program What to run.
   * @param name Name of its settings file without `.toml`.
   */
  public start (program: ProgramName, name: string): void {
    const file = fileURLToPath(new URL(`${program}.js`, this.binFolder))
    const settings = join(this.folder, `${name}.toml`)
    const child = spawn(process.execPath, [file, '--settings', settings], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.children.set(name, child)
  }

  /** Names of processes that have ended. */
  public ended (): string[] {
    return [...this.children].filter(([, child]) => endOf(child) !== undefined).map(([name]) => name)
  }

  /**
   * Sends a signal to one process and waits for its end.
   * @param name Name under which it was started.
   * @param signal The signal.
   * @returns How it ended.
   */
  public async stop (name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<ProcessEnd> {
    const child = this.children.get(name)
    if (child === undefined) throw new Error(`no process ${name}`)
    if (endOf(child) === undefined) {
      const exit = once(child, 'exit')
      child.kill(signal)
      await exit
    }
    this.children.delete(name)
    return endOf(child) as ProcessEnd
  }

  /** Stops all processes and tells how each ended. */
  public async stopAll (): Promise<Record<string, ProcessEnd>> {
    const ends = await Promise.all([...this.children.keys()].map(async name => [name, await this.stop(name)] as const))
    return Object.fromEntries(ends)
  }

  /** Ends all processes at once. */
  public kill (): void {
    for (const child of this.children.values()) child.kill('SIGKILL')
  }
}

function endOf (child: ChildProcess): ProcessEnd | undefined {
  return child.exitCode ?? child.signalCode ?? undefined
}
