import { COUNT_HALF_LIFE_MS, MAX_CANDIDATES, MAX_NAMED_WORKSPACES, REPLACEMENT_FACTOR } from './Constants.js'

/** Why requests of workspaces are refused, as operators tell them apart; `share` stands for a lack of capacity. */
export type RefusalKind = 'key' | 'quota' | 'share' | 'other'

/** Counts of one workspace, or of several together. */
export interface WorkspaceRow {
  /** Name of the workspace, or `OTHER_WORKSPACES` or `NO_WORKSPACE`. */
  readonly workspace: string
  requests: number
  readonly refusals: Record<RefusalKind, number>
  /** Share used that was computed last; undefined when it isn't known. */
  shareUsed: number | undefined
}

/** Row of the workspaces without a row of their own. */
export const OTHER_WORKSPACES = '_other'

/** Row of the requests without a key in force. */
export const NO_WORKSPACE = '_none'

/**
 * Counts requests and refusals of the largest workspaces separately and of all others together, so that there are few
 * rows for any number of workspaces. A workspace that becomes larger takes the row of the smallest one, whose counts go
 * to the others; the sums over all rows never fall.
 *
 * Memory: `MAX_NAMED_WORKSPACES` rows and two, and counts of `MAX_CANDIDATES` names.
 */
export class WorkspaceCounts {
  private readonly _named = new Map<string, WorkspaceRow>()
  private readonly _other = makeRow(OTHER_WORKSPACES)
  private readonly _none = makeRow(NO_WORKSPACE)
  /** Recent requests by name, those of the least frequent names estimated (the space-saving algorithm). */
  private readonly _recent = new Map<string, number>()
  private _halvedAtMs = 0

  /** Rows to report, without those that have counted nothing. */
  public get rows (): readonly WorkspaceRow[] {
    return [...this._named.values(), this._other, this._none].filter(({ requests }) => requests > 0)
  }

  /**
   * Counts a request.
   * @param workspace Name of the workspace.
   * @param shareUsed Share that the workspace has used; undefined when it isn't known.
   * @param nowMs Monotonic time in milliseconds.
   */
  public countRequest (workspace: string, shareUsed: number | undefined, nowMs: number): void {
    this._countRecent(workspace, nowMs)
    const row = this._named.get(workspace) ?? this._assignRow(workspace)
    row.requests++
    row.shareUsed = row === this._other ? undefined : shareUsed
  }

  /**
   * Counts a refusal.
   * @param workspace Name of the workspace; undefined for a request without a key in force.
   */
  public countRefusal (workspace: string | undefined, kind: RefusalKind): void {
    const row = workspace === undefined ? this._none : this._named.get(workspace) ?? this._other
    if (workspace === undefined) row.requests++
    row.refusals[kind]++
  }

  private _countRecent (workspace: string, nowMs: number): void {
    if (nowMs - this._halvedAtMs >= COUNT_HALF_LIFE_MS) {
      this._halvedAtMs = nowMs
      for (const [name, count] of this._recent) this._recent.set(name, count / 2)
    }
    const known = this._recent.get(workspace)
    if (known !== undefined || this._recent.size < MAX_CANDIDATES) {
      this._recent.set(workspace, (known ?? 0) + 1)
      return
    }
    const [least, count] = findLeast(this._recent.keys(), name => this._recent.get(name) ?? 0)
    this._recent.delete(least)
    this._recent.set(workspace, count + 1)
  }

  private _assignRow (workspace: string): WorkspaceRow {
    if (this._named.size >= MAX_NAMED_WORKSPACES) {
      const [least, count] = findLeast(this._named.keys(), name => this._recent.get(name) ?? 0)
      if ((this._recent.get(workspace) ?? 0) < REPLACEMENT_FACTOR * (count + 1)) return this._other
      this._retire(least)
    }
    const row = makeRow(workspace)
    this._named.set(workspace, row)
    return row
  }

  private _retire (workspace: string): void {
    const row = this._named.get(workspace)
    if (row === undefined) return
    this._named.delete(workspace)
    this._other.requests += row.requests
    for (const kind of REFUSAL_KINDS) this._other.refusals[kind] += row.refusals[kind]
  }
}

/** All kinds of refusals. */
export const REFUSAL_KINDS: readonly RefusalKind[] = ['key', 'quota', 'share', 'other']

function makeRow (workspace: string): WorkspaceRow {
  return { workspace, requests: 0, refusals: { key: 0, quota: 0, share: 0, other: 0 }, shareUsed: undefined }
}

function findLeast (names: Iterable<string>, read: (name: string) => number): [string, number] {
  let least = ''
  let leastCount = Infinity
  for (const name of names) {
    const count = read(name)
    if (count >= leastCount) continue
    least = name
    leastCount = count
  }
  return [least, leastCount]
}
