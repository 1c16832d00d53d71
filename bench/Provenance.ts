import { execFileSync } from 'node:child_process'
import { availableParallelism, loadavg } from 'node:os'

/** Commit and machine that a result comes from. */
export interface Provenance {
  readonly commit: string
  /** True when the code differed from that commit. */
  readonly changed: boolean
  readonly cores: number
  readonly node: string
  readonly date: string
  /** One-minute load average of the machine when the bench started. */
  readonly loadAverage: number
}

/** Describes the run that starts now. Call it at the start, as commits may be made during the run. */
export function describeRun (): Provenance {
  return {
    commit: git(['rev-parse', '--short', 'HEAD']),
    changed: git(['status', '--porcelain', '--', 'src', 'bench/*.ts', 'bench/**/*.ts']) !== '',
    cores: availableParallelism(),
    node: process.version,
    date: new Date().toISOString(),
    loadAverage: Number((loadavg()[0] ?? 0).toFixed(1))
  }
}

function git (args: string[]): string {
  try {
    return execFileSync('git', args, { encoding: 'utf8' }).trim()
  } catch {
    return 'unknown'
  }
}
