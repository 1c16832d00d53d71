import type { Clock, Disposable, Log } from './Types.js'

/**
 * What a supervisor does when a child fails: `restart` starts it again; `stop-process` gives up at once, for a child
 * that must not lose its state.
 */
export type RestartPolicy = 'restart' | 'stop-process'

/** A running component that a supervisor started. */
export interface Child {
  /** Stops the child; resolves when it has released all its resources. */
  stop (): Promise<void> | void
}

/** Name, restart policy and start function of a child. */
export interface ChildSpec {
  readonly name: string
  readonly rule: RestartPolicy
  /** Starts the child, which may call `fail` at any later time to report that it failed. */
  start (fail: (error: Error) => void): Promise<Child> | Child
}

/** Name of a supervisor and its limit on restarts. */
export interface SupervisorOptions {
  readonly name: string
  /** Restarts of one child within `restartWindowMs`; at the next failure the supervisor gives up. */
  readonly maxRestarts: number
  readonly restartWindowMs: number
}

interface SupervisedChild {
  readonly spec: ChildSpec
  child: Child | undefined
  /** Monotonic times of the failures within the restart window. */
  restarts: number[]
}

/**
 * Starts children in order and stops them in reverse order. A child that fails is restarted up to a limit; beyond it,
 * or when its policy is `stop-process`, the supervisor itself fails.
 */
export class Supervisor implements Disposable {
  private readonly _children: SupervisedChild[] = []
  private _stopping = false

  /**
   * @param _onFailure Called once, with the error of the child, when the supervisor gives up.
   */
  public constructor (
    private readonly _options: SupervisorOptions,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _onFailure: (error: Error) => void
  ) {}

  /**
   * Starts a child and keeps it running.
   * @throws The error of the child's first start.
   */
  public async add (spec: ChildSpec): Promise<void> {
    const supervised: SupervisedChild = { spec, child: undefined, restarts: [] }
    this._children.push(supervised)
    await this._startChild(supervised)
  }

  /** Names, running states and restart counts of all children, for the state dump. */
  public describe (): ReadonlyArray<{ readonly name: string, readonly running: boolean, readonly restarts: number }> {
    return this._children.map(supervised => ({
      name: `${this._options.name}/${supervised.spec.name}`,
      running: supervised.child !== undefined,
      restarts: supervised.restarts.length
    }))
  }

  /** Stops all children one by one, the last started first. */
  public async stop (): Promise<void> {
    this._stopping = true
    for (const supervised of this._children.slice().reverse()) {
      const child = supervised.child
      supervised.child = undefined
      await child?.stop()
    }
  }

  /** Stops all children without waiting for them. */
  public dispose (): void {
    this.stop().catch((error: Error) => this._log.error({ error: error.message }, 'failed to stop the children'))
  }

  private async _startChild (supervised: SupervisedChild): Promise<void> {
    let failed = false
    supervised.child = await supervised.spec.start(error => {
      if (failed) return
      failed = true
      this._onChildFailure(supervised, error)
    })
  }

  private _onChildFailure (supervised: SupervisedChild, error: Error): void {
    if (this._stopping) return
    this._log.error({ child: supervised.spec.name, error: error.message }, 'child failed')
    const nowMs = this._clock.nowMs()
    supervised.restarts = supervised.restarts.filter(atMs => nowMs - atMs < this._options.restartWindowMs)
    supervised.restarts.push(nowMs)
    if (supervised.spec.rule === 'stop-process' || supervised.restarts.length > this._options.maxRestarts) {
      this._stopping = true
      this._onFailure(error)
      return
    }
    this._restart(supervised).catch((error: Error) => this._onFailure(error))
  }

  private async _restart (supervised: SupervisedChild): Promise<void> {
    const child = supervised.child
    supervised.child = undefined
    try {
      await child?.stop()
      await this._startChild(supervised)
    } catch (error) {
      this._onChildFailure(supervised, error as Error)
    }
  }
}
