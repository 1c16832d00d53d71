import { Agent, request } from 'undici'
import type { Disposable } from '../runtime/Types.js'
import type { RequestRun } from './RequestRun.js'
import type { TestUpstreamSettings } from './TestUpstreamSettings.js'

/** What a link of a chain answers. */
export interface ChainAnswer {
  readonly status: number
  readonly body: unknown
  /** `Retry-After` of an answer that is not 200; empty when it has none. */
  readonly retryAfter: string
}

/** Calls the next service through the local node's ingress side, as services that need others do. */
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
   * Calls `/chain/LEFT - 1` at the next service; the last link calls nobody.
   * @param run The request for `/chain/LEFT`.
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
