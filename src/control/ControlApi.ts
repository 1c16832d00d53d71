import type { Express, Request, Response } from 'express'
import type { ChangeReply, ChangeRequest } from '../parts/configuration/Types.js'
import type { Metrics } from '../runtime/Metrics.js'
import type { Clock } from '../runtime/Types.js'
import { NO_LEADER_RETRY_MS } from './Constants.js'
import type { ControlMetric } from './ControlMetrics.js'
import type { ControlReplica } from './ControlReplica.js'
import type { NodeSessions } from './NodeSessions.js'

/** HTTP status code of each reply to a change. */
const HTTP_STATUS: { readonly [Type in ChangeReply['type']]: number } = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  unavailable: 503,
  operationReused: 409
}

/**
 * HTTP API for operators: changes the configuration and the members of the group, and reads the configuration and the
 * versions in force at the nodes. Changes that reach a follower are redirected to the leader.
 */
export class ControlApi {
  /**
   * @param _replica Replica of this process.
   * @param _sessions Connections of nodes to the replica.
   * @param _metrics Counts changes and measures their duration.
   */
  public constructor (
    private readonly _replica: ControlReplica,
    private readonly _sessions: NodeSessions,
    private readonly _metrics: Metrics<ControlMetric>,
    private readonly _clock: Clock
  ) {}

  /**
   * Adds the routes of the API to the admin server.
   * @param app Application of the admin server.
   */
  public addRoutes (app: Express): void {
    app.post('/changes', async (request: Request, response: Response) => await this._handleChange(request, response))
    app.get('/configuration', async (_request: Request, response: Response) => await this._sendConfiguration(response))
    app.get('/in-force', (_request: Request, response: Response) => { response.json(this._sessions.nodeVersions()) })
    app.post('/members', async (request: Request, response: Response) => await this._handleMembersChange(request, response))
  }

  private async _handleChange (request: Request, response: Response): Promise<void> {
    if (this._redirectUnlessLeader(request, response)) return
    const startMs = this._clock.nowMs()
    const reply = await this._replica.proposeChange(request.body as ChangeRequest)
    this._metrics.send('changes', 1)
    this._metrics.send('changeDuration', this._clock.nowMs() - startMs)
    if (reply.type === 'unavailable') return this._sendUnavailable(response)
    response.status(HTTP_STATUS[reply.type]).json(reply)
  }

  private async _sendConfiguration (response: Response): Promise<void> {
    if (!await this._replica.readBarrier()) return this._sendUnavailable(response)
    response.json(this._replica.stateMachine.configurationStore.inForce)
  }

  private async _handleMembersChange (request: Request, response: Response): Promise<void> {
    if (this._redirectUnlessLeader(request, response)) return
    const { members } = (request.body ?? {}) as { readonly members?: unknown }
    if (!isStringArray(members)) {
      const finding = { place: 'members', problem: 'is not a list of replica ids', expected: 'all ids after the change' }
      response.status(422).json({ type: 'invalid', findings: [finding] })
      return
    }
    const changed = await this._replica.changeMembers(members)
    if (!changed) return this._sendUnavailable(response)
    response.json({ type: 'changed', members: this._replica.view.members })
  }

  /**
   * Redirects the operator to the leader, or answers that there is none.
   * @returns False when this replica leads, so that the request is still to be handled.
   */
  private _redirectUnlessLeader (request: Request, response: Response): boolean {
    if (this._replica.isLeader) return false
    const leader = this._replica.remoteLeader()
    if (leader === undefined) this._sendUnavailable(response)
    else response.redirect(307, `http://${leader.admin}${request.originalUrl}`)
    return true
  }

  private _sendUnavailable (response: Response): void {
    const body = { type: 'unavailable', retryAfterMs: NO_LEADER_RETRY_MS } satisfies ChangeReply
    response.status(503).set('Retry-After', '1').json(body)
  }
}

function isStringArray (value: unknown): value is string[] {
  return Array.isArray(value) && value.every(item => typeof item === 'string')
}
