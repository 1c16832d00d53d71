import type { Workspace } from '../routing/Types.js'

/**
 * Index of the API keys in force. It holds digests in place of keys, so that no dump of a node shows a key. A lookup
 * costs the same for any number of keys.
 *
 * Memory: one entry for each key.
 */
export class KeyTable {
  private readonly _byDigest = new Map<string, Workspace>()

  /**
   * @param workspaces Workspaces with the digests of their keys.
   */
  public constructor (workspaces: readonly Workspace[]) {
    for (const workspace of workspaces) {
      for (const digest of workspace.keys) this._byDigest.set(digest, workspace)
    }
  }

  /**
   * Returns the workspace that holds a key, or undefined when no workspace does.
   * @param digest Digest of the key.
   */
  public find (digest: string): Workspace | undefined {
    return this._byDigest.get(digest)
  }
}
