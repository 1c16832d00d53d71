import got from 'got'
import type { BehaviourChange } from './LoadPlan.js'

/** How a change of a stand-in's behaviour went. */
export interface ChangeResult {
  readonly atMs: number
  readonly upstream: string
  /** What the stand-in answered, or what failed. */
  readonly answer: string
}

const CHANGE_TIMEOUT_MS = 2000

/** Changes the behaviour of stand-ins at set times of a run, over their admin surfaces. */
export class BehaviourSchedule {
  private readonly _changes: readonly BehaviourChange[]

  /**
   * @param changes What to change and when.
   */
  public constructor (changes: readonly BehaviourChange[]) {
    this._changes = changes
  }

  /** Starts the schedule; resolves after the last change with how each went. */
  public async run (): Promise<ChangeResult[]> {
    return await Promise.all(this._changes.map(async change => {
      await new Promise(resolve => { setTimeout(resolve, change.atMs) })
      return await this._send(change)
    }))
  }

  private async _send ({ atMs, upstream, behaviour }: BehaviourChange): Promise<ChangeResult> {
    try {
      const answer = await got.post(`http://${upstream}/behaviour`, {
        json: behaviour,
        timeout: { request: CHANGE_TIMEOUT_MS },
        retry: { limit: 0 }
      })
      return { atMs, upstream, answer: answer.body }
    } catch (error) {
      return { atMs, upstream, answer: (error as Error).message }
    }
  }
}
