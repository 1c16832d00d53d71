import { SHARE_STEPS, USUAL_SHARE } from '../gate/Constants.js'
import {
  MAX_REPEAT_SHARE, MAX_TRACKED_WORKSPACES, RECENT_USE_MS, REFUSALS_PER_SHARE, SHARE_PER_USUAL_USE, USE_ALLOWANCE,
  USUAL_USE_MS
} from './Constants.js'

/** Exponentially decaying counts of the requests of one workspace, by their time constants. */
interface Use {
  /** `RECENT_USE_MS`. */
  recent: number
  /** `USUAL_USE_MS`. */
  usual: number
  /** Refused requests; `RECENT_USE_MS`. */
  refused: number
  countedAtMs: number
}

/**
 * Computes the share used that the gates order calls by. For a workspace without a quota, it compares the requests of
 * the last 5 s with the workspace's own average over the last minute, where the average gives `USUAL_SHARE`. It knows
 * what passes this node only, so a workspace that is hot everywhere is found at each node by itself.
 *
 * A request that was refused without having run is taken back, so what counts is what the workspace got: the more of
 * its requests are refused, the sooner the next one goes. So that this is no reason to repeat requests at once, many
 * refusals for each request that is served raise the share, also that of workspaces with a quota.
 *
 * Memory: four numbers for each of at most `MAX_TRACKED_WORKSPACES` workspaces. Each event costs the same for any
 * number of them.
 */
export class WorkspaceUsage {
  /** Workspaces with a request since the last rotation; it becomes `_older` at half of the bound. */
  private _uses = new Map<string, Use>()
  private _older = new Map<string, Use>()
  private _firstAtMs: number | undefined

  /** Number of workspaces that are tracked. */
  public get size (): number {
    return this._uses.size + this._older.size
  }

  /**
   * Counts a request and returns the share used before it, 0 to 1, in steps of an eighth.
   * @param workspace Name of the workspace.
   * @param quotaShare Share of its quota that the workspace has used over all nodes; undefined without a quota.
   * @param nowMs Monotonic time in milliseconds.
   */
  public take (workspace: string, quotaShare: number | undefined, nowMs: number): number {
    this._firstAtMs ??= nowMs
    const use = this._uses.get(workspace) ?? this._renew(workspace, nowMs)
    decay(use, nowMs)
    const share = (quotaShare ?? computeShare(use, nowMs - this._firstAtMs)) + computeRepeatShare(use)
    use.recent++
    use.usual++
    return Math.min(SHARE_STEPS, Math.round(SHARE_STEPS * share)) / SHARE_STEPS
  }

  /**
   * Takes back a request that was refused without having run.
   * @param workspace Name of the workspace.
   * @param takenAtMs When it was counted.
   * @param nowMs Monotonic time in milliseconds.
   */
  public giveBack (workspace: string, takenAtMs: number, nowMs: number): void {
    const use = this._uses.get(workspace) ?? this._older.get(workspace)
    if (use === undefined) return
    decay(use, nowMs)
    const ageMs = nowMs - takenAtMs
    use.recent = Math.max(0, use.recent - Math.exp(-ageMs / RECENT_USE_MS))
    use.usual = Math.max(0, use.usual - Math.exp(-ageMs / USUAL_USE_MS))
    use.refused++
  }

  private _renew (workspace: string, nowMs: number): Use {
    if (this._uses.size >= MAX_TRACKED_WORKSPACES / 2) {
      this._older = this._uses
      this._uses = new Map()
    }
    const use = this._older.get(workspace) ?? { recent: 0, usual: 0, refused: 0, countedAtMs: nowMs }
    this._older.delete(workspace)
    this._uses.set(workspace, use)
    return use
  }
}

/**
 * Returns the share used of a workspace without a quota.
 * @param knownMs Time since the first request of any workspace; shortly after a start, the counts cover only that.
 */
function computeShare ({ recent, usual }: Use, knownMs: number): number {
  const coveredMs = USUAL_USE_MS * (1 - Math.exp(-Math.max(RECENT_USE_MS, knownMs) / USUAL_USE_MS))
  const useRatio = (recent + USE_ALLOWANCE) / (usual * RECENT_USE_MS / coveredMs + USE_ALLOWANCE)
  return USUAL_SHARE + SHARE_PER_USUAL_USE * (useRatio - 1)
}

/** Returns what is added to the share of a workspace whose requests are refused many times for each one served. */
function computeRepeatShare ({ recent, refused }: Use): number {
  return Math.min(MAX_REPEAT_SHARE, refused / (recent + 1) / REFUSALS_PER_SHARE)
}

function decay (use: Use, nowMs: number): void {
  const elapsedMs = nowMs - use.countedAtMs
  if (elapsedMs <= 0) return
  const recentFactor = Math.exp(-elapsedMs / RECENT_USE_MS)
  use.recent *= recentFactor
  use.refused *= recentFactor
  use.usual *= Math.exp(-elapsedMs / USUAL_USE_MS)
  use.countedAtMs = nowMs
}
