import type { MemberState } from '../../parts/membership/Types.js'
import type { RecordCommand, RecordReply } from '../../parts/records/Types.js'
import type { ServiceName } from '../../parts/Types.js'

/** Announcement that an upstream sends to its node, periodically as its heartbeat. */
export interface Announcement {
  readonly service: ServiceName
  /** Listener of the upstream, `host:port`. */
  readonly address: string
  /** Number of calls that the upstream runs at once. */
  readonly slots: number
  /** Number of connections that the upstream accepts. */
  readonly connections: number
  readonly state: Exclude<MemberState, 'left'>
}

/** Sends record commands to control; `onReply` is called with undefined when there is no reply. */
export interface RecordSender {
  sendRecord (command: RecordCommand, onReply: (reply: RecordReply | undefined) => void): void
}
