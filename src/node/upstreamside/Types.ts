import type { MemberState } from '../../parts/membership/Types.js'
import type { RecordCommand, RecordReply } from '../../parts/records/Types.js'
import type { ServiceName } from '../../parts/Types.js'

/** What an upstream tells its node; repeated as its heartbeat. */
export interface Announcement {
  readonly service: ServiceName
  /** `host:port` on which the upstream serves. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  readonly state: Exclude<MemberState, 'left'>
}

/** Sends record commands to control; `undefined` stands for no answer. */
export interface RecordSender {
  sendRecord (command: RecordCommand, onReply: (reply: RecordReply | undefined) => void): void
}
