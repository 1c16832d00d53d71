import type { Clock, Disposable, Log } from './Types.js'

/** How a supervisor treats a child that fails. */
export type RestartPolicy = 'restart' | 'stop-process'

/** A running child. */
export interface Child {
  /** Ends the child; resolves when it holds nothing any more. */
  stop (): Promise<void> | void
}

/** How to start a child. `fail` may be called at any time after the start. */
export interface ChildSpec {
  readonly name: string
  readonly rule: RestartPolicy
  start (fail: (error: Error) => void): Promise<Child> | Child
}

/** Limits on restarts. */
export interface SupervisorOptions {
  readonly name: string
  readonly maxRestarts: number
  readonly restartWindowMs: number
}

interface SupervisedChild {
  readonly spec: ChildSpec
  child: Child | undefined
  restarts: number[]
}

/**
 * Starts children in order and stops them in reverse. A child that fails is started again up to a limit;
 * past it, or when its rule says so, the supervisor itself fails.
 */
export class Supervisor implements Disposable {
  private readonly _children: SupervisedChild[] = []
  private _stopping = false

  /**
   * @param _onFailure Called once when the supervisor gives up.
   */
  public constructor (
    private readonly _options: SupervisorOptions,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _onFailure: (error: Error) => void
  ) {}

  /**
   * Starts a child and keeps it running.
   * @throws What the child's first start throws.
   */
  public async add (spec: ChildSpec): Promise<void> {
    const supervised: SupervisedChild = { spec, child: undefined, restarts: [] }
    this._children.push(supervised)
    await this._startChild(supervised)
  }

  /** Names and restarts of all children, for the state dump. */
  public describe (): ReadonlyArray<{ readonly name: string, readonly running: boolean, readonly restarts: number }> {
    return this._children.map(supervised => ({
      name: `${this._options.name}/${supervised.spec.name}`,
      running: supervised.child !== undefined,
      restarts: supervised.restarts.length
    }))
  }

  /** Stops all children, the last started first. */
  public async stop (): Promise<void> {
    this._stopping = true
    for (const supervised of this._children.slice().reverse()) {
      const child = supervised.child
      supervised.child = undefined
      await child?.stop()
    }
  }

  /** Stops without waiting. */
  public dispose (): void {
    this.stop().catch((error: Error) => this._log.error({ error: error.message }, 'stop failed'))
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
