import type { Clock, Disposable, Log } from './Types.js'

/** How a supervisor treats a child that fails. */
export type RestartRule = 'restart' | 'stop-process'

/** A running child. */
export interface Child {
  /** Ends the child; resolves when it holds nothing any more. */
  stop (): Promise<void> | void
}

/** How to start a child. `fail` may be called at any time after the start. */
export interface ChildSpec {
  readonly name: string
  readonly rule: RestartRule
  start (fail: (error: Error) => void): Promise<Child> | Child
}

/** Limits on restarts. */
export interface SupervisorOptions {
  readonly name: string
  readonly maxRestarts: number
  readonly withinMs: number
}

interface Slot {
  readonly spec: ChildSpec
  child: Child | undefined
  restarts: number[]
}

/**
 * Starts children in order and stops them in reverse. A child that fails is started again up to a limit;
 * past it, or when its rule says so, the supervisor itself fails.
 */
export class Supervisor implements Disposable {
  private readonly _slots: Slot[] = []
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
    const slot: Slot = { spec, child: undefined, restarts: [] }
    this._slots.push(slot)
    await this._startSlot(slot)
  }

  /** Names and restarts of all children, for the state dump. */
  public describe (): ReadonlyArray<{ readonly name: string, readonly running: boolean, readonly restarts: number }> {
    return this._slots.map(slot => ({
      name: `${this._options.name}/${slot.spec.name}`,
      running: slot.child !== undefined,
      restarts: slot.restarts.length
    }))
  }

  /** Stops all children, the last started first. */
  public async stop (): Promise<void> {
    this._stopping = true
    for (const slot of this._slots.slice().reverse()) {
      const child = slot.child
      slot.child = undefined
      await child?.stop()
    }
  }

  /** Stops without waiting. */
  public dispose (): void {
    this.stop().catch((error: Error) => this._log.error({ error: error.message }, 'stop failed'))
  }

  private async _startSlot (slot: Slot): Promise<void> {
    let failed = false
    slot.child = await slot.spec.start(error => {
      if (failed) return
      failed = true
      this._handleFailure(slot, error)
    })
  }

  private _handleFailure (slot: Slot, error: Error): void {
    if (this._stopping) return
    this._log.error({ child: slot.spec.name, error: error.message }, 'child failed')
    const now = this._clock.nowMs()
    slot.restarts = slot.restarts.filter(at => now - at < this._options.withinMs)
    slot.restarts.push(now)
    if (slot.spec.rule === 'stop-process' || slot.restarts.length > this._options.maxRestarts) {
      this._stopping = true
      this._onFailure(error)
      return
    }
    this._restart(slot).catch((error: Error) => this._onFailure(error))
  }

  private async _restart (slot: Slot): Promise<void> {
    const child = slot.child
    slot.child = undefined
    try {
      await child?.stop()
      await this._startSlot(slot)
    } catch (error) {
      this._handleFailure(slot, error as Error)
    }
  }
}
