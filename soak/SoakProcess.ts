import { type ChildProcess, spawn } from 'node:child_process'
import { openSync } from 'node:fs'

/** Environment variable with the path of a program's settings file. */
const SETTINGS_VARIABLE = 'SASSAFRASLEAD_SETTINGS'

/** Arguments of a process: of Node.js, and of the program that it runs. */
export interface ProcessArguments {
  readonly runtime: readonly string[]
  readonly program: readonly string[]
}

/** A process of one of the programs, which can be signalled, killed and started again. */
export class SoakProcess {
  private _child: ChildProcess | undefined
  private _exitCode: Promise<number | null> = Promise.resolve(0)
  /** Number of starts so far. */
  public incarnation = 0

  /**
   * @param name Name in reports.
   * @param _programPath Path of the bundled program.
   * @param _settingsPath Path of its settings file.
   * @param _logPath Path of the file to which its output is appended.
   * @param _arguments Arguments of Node.js before the program's path, and of the program after it.
   */
  public constructor (
    public readonly name: string,
    private readonly _programPath: string,
    private readonly _settingsPath: string,
    private readonly _logPath: string,
    private readonly _arguments: ProcessArguments = { runtime: [], program: [] }
  ) {}

  /** True while the process exists, also when it is stopped by SIGSTOP. */
  public get isRunning (): boolean {
    return this._child !== undefined
  }

  /** Id of the process; undefined when it is not running. */
  public get pid (): number | undefined {
    return this._child?.pid
  }

  /** Starts the process unless it is running. */
  public start (): void {
    if (this._child !== undefined) return
    const output = openSync(this._logPath, 'a')
    const { runtime, program } = this._arguments
    const child = spawn(process.execPath, [...runtime, this._programPath, ...program], {
      stdio: ['ignore', output, output], env: { ...process.env, [SETTINGS_VARIABLE]: this._settingsPath }
    })
    this._child = child
    this.incarnation++
    this._exitCode = new Promise(resolve => {
      child.once('exit', code => {
        if (this._child === child) this._child = undefined
        resolve(code)
      })
    })
  }

  /** Sends a signal to the process if it is running. */
  public signal (signal: NodeJS.Signals): void {
    this._child?.kill(signal)
  }

  /** Waits for the process to exit and returns its exit code, or null if a signal ended it. */
  public async waitForExit (): Promise<number | null> {
    return await this._exitCode
  }

  /** Kills the process, also a stopped one, and waits for its exit. */
  public async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this._exitCode
  }
}
