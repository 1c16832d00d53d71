import { Agent, request } from 'undici'
import type { Disposable } from '../runtime/Types.js'
import type { RequestRun } from './RequestRun.js'
import type { TestUpstreamSettings } from './TestUpstreamSettings.js'

/** Answer of the next service in a chain. */
export interface ChainAnswer {
  readonly status: number
  readonly body: unknown
  /** `Retry-After` of the answer; empty when it has none. */
  readonly retryAfter: string
}

/** Makes the nested calls of a call chain, through the caller address of the local node. */
export class ChainEndpoint implements Disposable {
  private readonly _settings: TestUpstreamSettings
  private readonly _agent = new Agent({ connections: 64 })

  /**
   * @param settings Name of the next service and address of the node.
   */
  public constructor (settings: TestUpstreamSettings) {
    this._settings = settings
  }

  /**
   * Calls `/chain/N - 1` at the next service.
   * @param run The request for `/chain/N`.
   * @returns The answer, or undefined when N is 0, or no next service or node is configured.
   */
  public async call (run: RequestRun): Promise<ChainAnswer | undefined> {
    const left = Number(run.segments[1])
    const { chain, node } = this._settings
    if (!(left > 0) || chain === undefined || node === undefined) return undefined
    const depth = Number(run.header('sassafras-depth') || 0) + 1
    const answer = await request(`http://${node.caller}/chain/${left - 1}`, {
      dispatcher: this._agent,
      signal: run.ended,
      headers: {
        host: `${chain.next}.mesh`,
        'sassafras-depth': String(depth),
        'sassafras-deadline-ms': String(Math.floor(run.leftMs)),
        'x-request-id': run.header('x-request-id')
      }
    })
    return { status: answer.statusCode, body: await answer.body.json(), retryAfter: String(answer.headers['retry-after'] ?? '') }
  }

  /** Closes the connections. */
  public dispose (): void {
    this._agent.destroy().catch(() => {})
  }
}
