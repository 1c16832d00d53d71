import type { InstanceId } from '../Types.js'
import type { AttemptOutcome } from '../choice/Types.js'

/**
 * Health of an instance: `slow` answers late, `failing` and `silent` (no answers) are ejected, `gone` has no link, and
 * `trial` returns from an ejection and receives one call at a time.
 */
export type Health = 'healthy' | 'slow' | 'failing' | 'silent' | 'gone' | 'trial'

/** Events of the outlier detector. */
export type DetectionEvent =
  /** All instances that are watched from now on. */
  | { readonly type: 'members', readonly instances: readonly InstanceId[] }
  /** An attempt ended. */
  | {
    readonly type: 'outcome',
    readonly instance: InstanceId,
    readonly outcome: AttemptOutcome,
    readonly latencyMs: number
  }
  /**
   * An attempt was sent; its outcome usually follows after `expectedMs`. This distinguishes a silent instance from an
   * idle one. An attempt of unlimited duration has an infinite `expectedMs`.
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
