import type { NodeVersion, Version } from '../parts/configuration/Types.js'
import type { AdminOutcome } from './AdminClient.js'
import { requireAnswer, CtlFailure, errorReport } from './CtlCommand.js'

/** Shows at which nodes a configuration version is in force and which nodes lag behind it. */
export class InForceView {
  public readonly lagging: readonly NodeVersion[]
  private readonly _nodes: readonly NodeVersion[]
  private readonly _version: Version

  /**
   * @param nodes Version in force at each node, as last reported to the control replicas.
   * @param version The version that the nodes should have.
   */
  public constructor (nodes: readonly NodeVersion[], version: Version) {
    this._nodes = nodes
    this._version = version
    this.lagging = nodes.filter(node => node.version < version)
  }

  /**
   * Reads the answer to `GET /in-force`.
   * @param outcome How the request ended.
   * @param version The version that the nodes should have.
   * @throws CtlFailure when there is no valid answer.
   */
  public static fromOutcome (outcome: AdminOutcome, version: Version): InForceView {
    const answer = requireAnswer(outcome)
    if (!Array.isArray(answer.body)) throw new CtlFailure(errorReport(answer))
    return new InForceView(answer.body as NodeVersion[], version)
  }

  /** Returns the view as human-readable text. */
  public text (): string {
    const upToDateCount = this._nodes.length - this.lagging.length
    const heading = `${upToDateCount} of ${this._nodes.length} nodes have version ${this._version} in force`
    if (this.lagging.length === 0) return heading
    const lines = this.lagging.map(node => `  ${node.node} has ${node.version}, reported ${Math.round(node.heardMsAgo)} ms ago`)
    return [`${heading}; lagging:`, ...lines].join('\n')
  }

  /** Returns the view as a JSON object. */
  public json (): object {
    return { nodes: this._nodes.length, lagging: this.lagging }
  }
}
