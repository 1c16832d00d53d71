import type { InstanceId } from '../Types.js'
import type { AttemptOutcome } from '../choice/Types.js'

/** What is known of an instance's health; the four bad states are told apart. */
export type Health = 'healthy' | 'slow' | 'failing' | 'silent' | 'gone' | 'trial'

/** Events of the outlier detector. */
export type DetectionEvent =
  | { readonly type: 'members', readonly instances: readonly InstanceId[] }
  | {
    readonly type: 'outcome',
    readonly instance: InstanceId,
    readonly outcome: AttemptOutcome,
    readonly latencyMs: number
  }
  /**
   * An attempt was sent; its outcome follows, after `expectedMs` as a rule. Tells a silent instance from an idle one.
   * An attempt that may take for ever has an infinite `expectedMs`.
   */
  | { readonly type: 'started', readonly instance: InstanceId, readonly expectedMs?: number }
  | { readonly type: 'linkDown', readonly instance: InstanceId }
  | { readonly type: 'linkUp', readonly instance: InstanceId }
  | { readonly type: 'tick' }

/** Actions of the outlier detector. */
export type DetectionAction =
  | { readonly type: 'ejected', readonly instance: InstanceId, readonly health: Health, readonly untilMs: number }
  | { readonly type: 'trial', readonly instance: InstanceId }
  | { readonly type: 'restored', readonly instance: InstanceId }
