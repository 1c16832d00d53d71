import type { MetricDefinition } from '../runtime/Metrics.js'

/** Names under which a control replica sends metrics. */
export type ControlMetric =
  | 'leads' | 'term' | 'commitIndex' | 'logBytes' | 'openProposals' | 'configurationVersion' | 'records' | 'nodes'
  | 'diskFull' | 'changes' | 'changeDuration' | 'syncDuration'

/** All metrics of a control replica with their units. */
export const CONTROL_METRICS: Readonly<Record<ControlMetric, MetricDefinition>> = {
  leads: { name: 'control.leads', unit: 'level', description: '1 while this replica leads' },
  term: { name: 'control.term', unit: 'level', description: 'term of this replica' },
  commitIndex: { name: 'control.commit_index', unit: 'level', description: 'entries known to be committed' },
  logBytes: { name: 'control.log_bytes', unit: 'level', description: 'bytes of the log in memory' },
  openProposals: { name: 'control.open_proposals', unit: 'level', description: 'proposals that wait for a quorum' },
  configurationVersion: { name: 'control.version', unit: 'level', description: 'configuration version applied here' },
  records: { name: 'control.records', unit: 'level', description: 'records of guarded requests kept' },
  nodes: { name: 'control.nodes', unit: 'level', description: 'connections of nodes' },
  diskFull: { name: 'control.disk_full', unit: 'level', description: '1 while the disk takes no more' },
  changes: { name: 'control.changes', unit: 'count', description: 'changes of operators that were answered' },
  changeDuration: { name: 'control.change_duration', unit: 'ms', description: 'time from a change to its answer' },
  syncDuration: { name: 'control.sync_duration', unit: 'ms', description: 'time of one sync of the log' }
}
