import got from 'got'
import type { BehaviourChange } from './LoadPlan.js'

/** Result of one behaviour change of a test upstream. */
export interface ChangeResult {
  readonly atMs: number
  readonly upstream: string
  /** Body of the test upstream's answer, or the error message when the request failed. */
  readonly answer: string
}

const CHANGE_TIMEOUT_MS = 2000

/** Changes the behaviour of test upstreams at given times of a run, through their admin servers. */
export class BehaviourSchedule {
  private readonly _changes: readonly BehaviourChange[]

  /**
   * @param changes The changes with their times.
   */
  public constructor (changes: readonly BehaviourChange[]) {
    this._changes = changes
  }

  /** Starts the schedule; resolves after the last change with the result of each. Failed changes don't reject. */
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
