import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Programs of this package that can be started. */
export type ProgramName = 'sassafras-control' | 'sassafras-node' | 'sassafras-upstream'

/** How a process ended: its exit code, or the name of the signal that killed it. */
export type ProcessExit = number | NodeJS.Signals

const BIN_FOLDER = new URL('../bin/', import.meta.url)

/** Starts this package's programs as separate processes with their output in files, and stops those that it started. */
export class ProcessGroup {
  private readonly _folder: string
  private readonly _binFolder: URL
  private readonly _children = new Map<string, ChildProcess>()

  /**
   * @param folder Folder of the settings `NAME.toml`, to which the logs `NAME.log` are written.
   * @param binFolder Folder of the built programs.
   */
  public constructor (folder: string, binFolder = BIN_FOLDER) {
    this._folder = folder
    this._binFolder = binFolder
    process.once('exit', () => { this.kill() })
  }

  /**
   * Starts a process.
   * @param program The program.
   * @param name Name of its settings file without `.toml`.
   */
  public start (program: ProgramName, name: string): void {
    const file = fileURLToPath(new URL(`${program}.js`, this._binFolder))
    const settings = join(this._folder, `${name}.toml`)
    const child = spawn(process.execPath, [file, '--settings', settings], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this._folder, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this._children.set(name, child)
  }

  /** Returns the names of processes that have ended by themselves or by a signal, and were not stopped by `stop`. */
  public exitedNames (): string[] {
    return [...this._children].filter(([, child]) => readExit(child) !== undefined).map(([name]) => name)
  }

  /**
   * Sends a signal to a process, unless it has ended already, and waits for its end.
   * @param name Name under which it was started.
   * @param signal The signal.
   * @returns How it ended.
   */
  public async stop (name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<ProcessExit> {
    const child = this._children.get(name)
    if (child === undefined) throw new Error(`no process was started under the name ${name}, or it was stopped`)
    if (readExit(child) === undefined) {
      const exit = once(child, 'exit')
      child.kill(signal)
      await exit
    }
    this._children.delete(name)
    return readExit(child) as ProcessExit
  }

  /** Stops all processes with SIGTERM. Resolves to how each ended, by name. */
  public async stopAll (): Promise<Record<string, ProcessExit>> {
    const ends = await Promise.all([...this._children.keys()].map(async name => [name, await this.stop(name)] as const))
    return Object.fromEntries(ends)
  }

  /** Kills all processes with SIGKILL. */
  public kill (): void {
    for (const child of this._children.values()) child.kill('SIGKILL')
  }
}

function readExit (child: ChildProcess): ProcessExit | undefined {
  return child.exitCode ?? child.signalCode ?? undefined
}
