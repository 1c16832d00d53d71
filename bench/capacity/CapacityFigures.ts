import {
  CALLS_PER_NODE, COMMITS_PER_GUARDED_CALL, CONFIGURATION_REPLICAS, DESIGN, LIMITS, RECORD_GROUPS
} from './DesignSize.js'
import { formatNumber, LinearFit } from './LinearFit.js'
import type { Results, SpreadResult } from './ResultReader.js'

/** One computed value of the capacity page. */
export interface Figure {
  readonly what: string
  readonly value: string
  /** Formula and result file that the value comes from. */
  readonly from: string
}

/** A figure that is compared with a limit. */
export interface LimitCheck extends Figure {
  readonly limit: string
  readonly met: boolean
}

const REST = 'rest'
const CHANGES = 'changes at 9,100 a day'
const REJOIN = 'all nodes restart at once'
const MICROS_PER_SECOND = 1e6
const MS_PER_DAY = 86_400_000

/** Computes every figure of docs/CAPACITY.md from the measured results. */
export class CapacityFigures {
  public constructor (private readonly _results: Results) {}

  /** Compares the system with each of its limits. */
  public limits (): LimitCheck[] {
    return [
      this._addedLatency(),
      this._inForce(),
      this._nodeCpu(),
      this._nodeMemory(),
      this._nodeBytes(),
      this._rejoinBytes()
    ]
  }

  /** Cost of the data path in each node, which the limits on control don't include. */
  public dataPath (): Figure[] {
    const nearest = this._nearestRate()
    const percent = (micros: number): string => `${formatNumber(micros * CALLS_PER_NODE / MICROS_PER_SECOND * 100)}% of a core`
    const from = (micros: number): string =>
      `${formatNumber(micros)} µs a call (path.json, ${nearest.rate} calls/s) × ${formatNumber(CALLS_PER_NODE)} calls/s`
    return [
      { what: 'ingress side, processor', value: percent(nearest.ingressMicros), from: from(nearest.ingressMicros) },
      { what: 'upstream side, processor', value: percent(nearest.upstreamSideMicros), from: from(nearest.upstreamSideMicros) },
      ...this._decisions()
    ]
  }

  /** Load of one control replica of the configuration group. */
  public replica (): Figure[] {
    const bytes = this._spreadLine(CHANGES, point => point.replica.bytesPerSecond)
    const messages = this._spreadLine(CHANGES, point => point.replica.messagesPerSecond)
    const nodeMessages = this._spreadLine(CHANGES, point => point.node.messagesPerSecond)
    const { inForce } = this._results.state
    const cpu = new LinearFit(inForce.map(point => ({ x: point.nodes, y: point.controlCorePercent / 3 })))
    const rejoin = this._spreadLine(REJOIN, point => point.replica.peakBytesInOneSecond)
    const memory = Math.max(...this._results.footprint.points.map(point => point.replicaAtRest.memoryMegabytes))
    const { nodes } = DESIGN
    return [
      {
        what: 'messages a second of a node',
        value: formatNumber(nodeMessages.at(nodes)),
        from: `${nodeMessages.explain(nodes, 'a second')} (spread.json)`
      },
      {
        what: `messages a second, one of ${CONFIGURATION_REPLICAS}`,
        value: formatNumber(messages.at(nodes)),
        from: `${messages.explain(nodes, 'a second')} (spread.json)`
      },
      {
        what: `bytes a second, one of ${CONFIGURATION_REPLICAS}`,
        value: formatNumber(bytes.at(nodes)),
        from: `${bytes.explain(nodes, 'B/s')} (spread.json)`
      },
      {
        what: 'processor, nodes at rest, one of 3',
        value: `${formatNumber(cpu.at(nodes))}% of a core`,
        from: `${cpu.explain(nodes, '%')} (state.json, real processes)`
      },
      {
        what: 'bytes in the worst second when all nodes restart at once',
        value: formatNumber(rejoin.at(nodes)),
        from: `${rejoin.explain(nodes, 'B')} (spread.json)`
      },
      { what: 'memory of a replica without records', value: `${memory} MB`, from: 'footprint.json' }
    ]
  }

  /** Guarded calls that one record group carries, and all groups that fit on the control VMs. */
  public records (): Figure[] {
    const { commits } = this._results.state
    const best = commits.reduce((most, point) => point.commitsPerSecond > most.commitsPerSecond ? point : most)
    const oneInFlight = commits[0] as typeof best
    const perGroup = best.commitsPerSecond / COMMITS_PER_GUARDED_CALL
    const all = perGroup * RECORD_GROUPS
    const bytes = Math.max(...this._results.records.points.map(point => point.bytesPerRecord))
    const share = (rate: number): string => `${formatNumber(rate)} calls/s, ${formatNumber(rate / DESIGN.callsPerSecond * 100)}% of all`
    return [
      {
        what: 'latency that a permission adds, one at a time',
        value: `${formatNumber(oneInFlight.latencyMs.p50)} ms at p50, ${formatNumber(oneInFlight.latencyMs.p99)} ms at p99`,
        from: 'state.json, commits at 1 in flight; replicas on one machine, so without distance'
      },
      {
        what: 'most guarded calls of one group (today\'s build)',
        value: share(perGroup),
        from: `${formatNumber(best.commitsPerSecond)} commits/s at ${best.inFlight} in flight ÷ ${COMMITS_PER_GUARDED_CALL} (state.json)`
      },
      {
        what: `most guarded calls of ${RECORD_GROUPS} record groups beside the configuration group`,
        value: share(all),
        from: `${formatNumber(perGroup)} × ${RECORD_GROUPS} groups; needs the shard map, which is built but not hosted`
      },
      {
        what: 'memory of one group\'s records kept a day at that rate',
        value: `${formatNumber(perGroup * bytes * MS_PER_DAY / 1000 / 1e9)} GB`,
        from: `${formatNumber(bytes)} B a record with 512 B of answer (records.json) × ${formatNumber(perGroup)}/s × 86,400 s`
      },
      {
        what: 'rate that 8 GB of records hold for a day',
        value: `${formatNumber(8e9 / bytes / 86_400)} calls/s a group`,
        from: `8 GB ÷ ${formatNumber(bytes)} B ÷ 86,400 s`
      }
    ]
  }

  /** Durations of interruptions after failures. */
  public recovery (): Figure[] {
    const { leaderLoss, restart, catchUp, snapshots } = this._results.state
    const longest = catchUp[catchUp.length - 1]
    const largest = snapshots[snapshots.length - 1]
    return [
      {
        what: 'without a leader after kill -9, until the next commit',
        value: `${formatNumber(leaderLoss.untilCommitMs.p50)} ms at p50, ${formatNumber(leaderLoss.untilCommitMs.max)} ms at most`,
        from: `${leaderLoss.kills} kills (state.json)`
      },
      {
        what: `restart after ${formatNumber(restart.changes)} changes, until it serves`,
        value: `${formatNumber(restart.untilServedMs)} ms`,
        from: 'state.json'
      },
      {
        what: `replica with an empty disk catches up ${formatNumber(longest?.entries ?? 0)} entries`,
        value: `${formatNumber(longest?.emptyDiskMs ?? 0)} ms`,
        from: 'state.json'
      },
      {
        what: `longest pause for a snapshot of ${formatNumber(largest?.records ?? 0)} records`,
        value: `${formatNumber(largest?.takeMs ?? 0)} ms to take, then parts of ${formatNumber(largest?.partMs.max ?? 0)} ms at most`,
        from: 'state.json'
      }
    ]
  }

  private _addedLatency (): LimitCheck {
    const nearest = this._nearestRate()
    const added = nearest.added.find(route => route.name === 'nodes')?.p99Ms ?? Number.NaN
    return {
      what: 'added to a call by both nodes, p99',
      value: `${formatNumber(added)} ms`,
      limit: `${LIMITS.addedP99Ms} ms`,
      met: added <= LIMITS.addedP99Ms,
      from: `path.json at ${nearest.rate} calls/s, without distance`
    }
  }

  private _inForce (): LimitCheck {
    const line = new LinearFit(
      this._results.state.inForce.map(point => ({ x: point.nodes, y: point.untilAllHaveMs.max }))
    )
    const value = line.at(DESIGN.nodes)
    return {
      what: 'change in force at every node, slowest of 20',
      value: `${formatNumber(value)} ms`,
      limit: `${formatNumber(LIMITS.inForceMs)} ms`,
      met: value <= LIMITS.inForceMs,
      from: `${line.explain(DESIGN.nodes, 'ms')} (state.json, real replicas, listening nodes in one process)`
    }
  }

  private _nodeCpu (): LimitCheck {
    const rest = Math.max(...this._results.footprint.points.map(point => point.nodeAtRest.cpuPercentOfCore))
    const spread = this._spreadLine(CHANGES, point => point.node.cpuPercentOfCore)
    const value = rest + spread.at(DESIGN.nodes)
    return {
      what: 'processor of a node for control',
      value: `${formatNumber(value)}% of a core`,
      limit: `${LIMITS.nodeCpuPercent}%`,
      met: value <= LIMITS.nodeCpuPercent,
      from: `${formatNumber(rest)}% at rest, worst mesh (footprint.json) + ${spread.explain(DESIGN.nodes, '%')} (spread.json)`
    }
  }

  private _nodeMemory (): LimitCheck {
    const value = Math.max(...this._results.footprint.points.map(point => point.nodeUnderLoad.memoryMegabytes))
    return {
      what: 'memory of a whole node under load',
      value: `${value} MB`,
      limit: `${LIMITS.nodeMegabytes} MB`,
      met: value <= LIMITS.nodeMegabytes,
      from: 'footprint.json, 195 calls/s; 2,200 members add less than 2 MB'
    }
  }

  private _nodeBytes (): LimitCheck {
    const line = this._spreadLine(CHANGES, point => point.node.bytesPerSecond)
    const value = line.at(DESIGN.nodes)
    return {
      what: 'bytes of a node for control, at 9,100 changes a day',
      value: `${formatNumber(value)} B/s`,
      limit: `${formatNumber(LIMITS.nodeBytesPerSecond)} B/s`,
      met: value <= LIMITS.nodeBytesPerSecond,
      from: `${line.explain(DESIGN.nodes, 'B/s')} (spread.json)`
    }
  }

  private _rejoinBytes (): LimitCheck {
    const line = this._spreadLine(REJOIN, point => point.node.peakBytesInOneSecond)
    const value = line.at(DESIGN.nodes)
    return {
      what: 'bytes of a node in the worst second when all nodes restart at once',
      value: `${formatNumber(value)} B`,
      limit: `${formatNumber(LIMITS.nodeBytesPerSecond)} B`,
      met: value <= LIMITS.nodeBytesPerSecond,
      from: `${line.explain(DESIGN.nodes, 'B')} (spread.json)`
    }
  }

  private _decisions (): Figure[] {
    return this._results.parts.costs.map(({ part, decision, size, nanosecondsPerDecision: cost }) => ({
      what: `${part}: ${decision}, size ${formatNumber(size)}`,
      value: `${formatNumber(cost.median / 1000)} µs`,
      from: `median; ${formatNumber(cost.min / 1000)} to ${formatNumber(cost.max / 1000)} (parts.json)`
    }))
  }

  private _nearestRate (): Results['path']['rates'][number] {
    const distance = (rate: number): number => Math.abs(rate - CALLS_PER_NODE)
    return this._results.path.rates.reduce((best, rate) => distance(rate.rate) < distance(best.rate) ? rate : best)
  }

  private _spreadLine (scenario: string, pick: (point: SpreadResult['points'][number]) => number): LinearFit {
    const points = this._results.spread.points.filter(point => point.scenario === scenario)
    return new LinearFit(points.map(point => ({ x: point.nodes, y: pick(point) })))
  }

  /** Bytes per second of a node without changes. */
  public rest (): Figure {
    const line = this._spreadLine(REST, point => point.node.bytesPerSecond)
    return {
      what: 'bytes of a node at rest',
      value: `${formatNumber(line.at(DESIGN.nodes))} B/s`,
      from: `${line.explain(DESIGN.nodes, 'B/s')} (spread.json)`
    }
  }
}
