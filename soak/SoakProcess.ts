import { type ChildProcess, spawn } from 'node:child_process'
import { openSync } from 'node:fs'

/** Environment variable that names the settings file of the programs. */
const SETTINGS_VARIABLE = 'SASSAFRASLEAD_SETTINGS'

/** One of the product's programs as a process, ended and started again by id. */
export class SoakProcess {
  private _child: ChildProcess | undefined
  private _exitCode: Promise<number | null> = Promise.resolve(0)
  /** Grows with each start. */
  public incarnation = 0

  /**
   * @param name Name for logs.
   * @param _programPath Path of the bundled program.
   * @param _settingsPath Path of its settings file.
   * @param _logPath Path of the file that takes its output.
   */
  public constructor (
    public readonly name: string,
    private readonly _programPath: string,
    private readonly _settingsPath: string,
    private readonly _logPath: string
  ) {}

  /** True while the process runs, paused or not. */
  public get isRunning (): boolean {
    return this._child !== undefined
  }

  /** Starts the process unless it runs. */
  public start (): void {
    if (this._child !== undefined) return
    const output = openSync(this._logPath, 'a')
    const child = spawn(process.execPath, [this._programPath], {
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

  /** Sends a signal to the process, if it runs. */
  public signal (signal: NodeJS.Signals): void {
    this._child?.kill(signal)
  }

  /** Waits for the end of the process and returns its code, null after a kill. */
  public async waitForExit (): Promise<number | null> {
    return await this._exitCode
  }

  /** Ends the process at once, also a paused one, and waits for its end. */
  public async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this._exitCode
  }
}
