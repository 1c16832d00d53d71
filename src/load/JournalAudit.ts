import { readJournal } from '../standin/Journal.js'
import type { JournalLine } from '../standin/Types.js'
import type { AuditCounts, CallResult } from './Types.js'

const MAX_EXAMPLES = 20

/** Counts lost and duplicate runs by comparing what callers received with the journals of the upstreams. */
export class JournalAudit {
  private readonly _startCounts = new Map<string, number>()

  /**
   * @param lines Lines of all journals together.
   */
  public constructor (lines: readonly JournalLine[]) {
    for (const line of lines) {
      if (line.event === 'start') this._startCounts.set(line.requestId, (this._startCounts.get(line.requestId) ?? 0) + 1)
    }
  }

  /**
   * Creates an audit of journal files.
   * @param files Journals of all test upstreams that may have run a call.
   */
  public static fromFiles (files: readonly string[]): JournalAudit {
    return new JournalAudit(files.flatMap(file => readJournal(file)))
  }

  /**
   * Counts the faults. Two results with the same call id, of a call that was sent twice at once, count as one call.
   * @param results Results of all calls of one load run.
   */
  public count (results: readonly CallResult[]): AuditCounts {
    const calls = Array.from(
      groupById(results), ([id, copies]) => ({ id, copies, runs: this._startCounts.get(id) ?? 0 })
    )
    const examples: string[] = []
    const countFaults = (name: string, isFault: (call: AuditedCall) => boolean): number => {
      const faults = calls.filter(isFault)
      examples.push(...faults.map(call => `${name}: ${call.id}`))
      return faults.length
    }
    return {
      runs: calls.reduce((sum, call) => sum + call.runs, 0),
      doubled: countFaults('doubled', call => isGuarded(call) && call.runs > 1),
      lost: countFaults('lost', ({ copies, runs }) => runs === 0 && copies.some(copy => copy.end === 'ok')),
      falseNotRun: countFaults('falseNotRun', ({ copies, runs }) => runs > 0 && copies.every(copy => copy.reportedNotRun)),
      ranUnknown: countFaults('ranUnknown', call => isGuarded(call) && call.runs > 0 && call.copies.every(hasUnknownOutcome)),
      examples: examples.slice(0, MAX_EXAMPLES)
    }
  }
}

/** One call with the results of its copies and the number of its journalled runs. */
interface AuditedCall {
  readonly id: string
  readonly copies: readonly CallResult[]
  readonly runs: number
}

function groupById (results: readonly CallResult[]): Map<string, CallResult[]> {
  const groups = new Map<string, CallResult[]>()
  for (const result of results) {
    const group = groups.get(result.call.id)
    if (group === undefined) groups.set(result.call.id, [result])
    else group.push(result)
  }
  return groups
}

function isGuarded ({ copies }: AuditedCall): boolean {
  return copies.some(copy => copy.call.stream.kind === 'guarded')
}

function hasUnknownOutcome (copy: CallResult): boolean {
  return copy.end === 'unknown' || copy.end === 'failed'
}
