import type { MetricDefinition } from '../runtime/Metrics.js'

/** Metrics of a control replica, by the names used in this code. */
export type ControlMetric =
  | 'leads' | 'term' | 'commitIndex' | 'logBytes' | 'openProposals' | 'configurationVersion' | 'records' | 'nodes'
  | 'diskFull' | 'changes' | 'changeDuration' | 'syncDuration'

/** Outer name, unit and description of each metric of a control replica. */
export const CONTROL_METRICS: Readonly<Record<ControlMetric, MetricDefinition>> = {
  leads: { name: 'control.leads', unit: 'level', description: '1 while this replica leads' },
  term: { name: 'control.term', unit: 'level', description: 'term of this replica' },
  commitIndex: { name: 'control.commit_index', unit: 'level', description: 'index up to which log entries are committed' },
  logBytes: { name: 'control.log_bytes', unit: 'level', description: 'bytes of the log in memory' },
  openProposals: { name: 'control.open_proposals', unit: 'level', description: 'proposals that wait for a commit' },
  configurationVersion: { name: 'control.version', unit: 'level', description: 'configuration version applied here' },
  records: { name: 'control.records', unit: 'level', description: 'stored records of at-most-once requests' },
  nodes: { name: 'control.nodes', unit: 'level', description: 'open connections of nodes' },
  diskFull: { name: 'control.disk_full', unit: 'level', description: '1 while the disk is full' },
  changes: { name: 'control.changes', unit: 'count', description: 'operator changes that were answered' },
  changeDuration: { name: 'control.change_duration', unit: 'ms', description: 'time from an operator change to its answer' },
  syncDuration: { name: 'control.sync_duration', unit: 'ms', description: 'time of one sync of the log' }
}
