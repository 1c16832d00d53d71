import type { Part } from '../Types.js'
import { LOSS_VERDICT_MS } from './Constants.js'
import type { InstanceEvidence, LossVerdict } from './Types.js'

type Handlers = {
  readonly [Type in InstanceEvidence['type']]:
  (evidence: Extract<InstanceEvidence, { type: Type }>, nowMs: number) => LossVerdict | undefined
}

/**
 * Decides whether an instance has crashed that closed a connection without an answer: an instance that runs also closes
 * connections, and one that has crashed may be back soon. Each loss that is open gets one verdict.
 *
 * Memory: the time of the first open loss.
 */
export class CrashDetector implements Part<InstanceEvidence, LossVerdict> {
  /** Monotonic time in milliseconds of the first loss without a verdict. */
  private _lostAtMs: number | undefined

  private readonly _handlers: Handlers = {
    lost: (_evidence, nowMs) => {
      this._lostAtMs ??= nowMs
      return undefined
    },
    refused: () => this._lostAtMs === undefined ? undefined : 'crashed',
    // One that falls silent may start anew before its connections are known to be lost.
    restarted: ({ wasReady }) => wasReady || this._lostAtMs !== undefined ? 'crashed' : undefined,
    // The answer to an earlier request may have been underway when the instance crashed.
    answered: ({ sentAtMs }) => this._lostAtMs !== undefined && sentAtMs > this._lostAtMs ? 'running' : undefined,
    tick: (_evidence, nowMs) =>
      this._lostAtMs !== undefined && nowMs - this._lostAtMs >= LOSS_VERDICT_MS ? 'unknown' : undefined
  }

  /** True while a loss has no verdict. */
  public get isOpen (): boolean {
    return this._lostAtMs !== undefined
  }

  /** @inheritdoc */
  public step (evidence: InstanceEvidence, nowMs: number): LossVerdict[] {
    const handler = this._handlers[evidence.type] as
      (evidence: InstanceEvidence, nowMs: number) => LossVerdict | undefined
    const verdict = handler(evidence, nowMs)
    if (verdict === undefined) return []
    this._lostAtMs = undefined
    return [verdict]
  }
}
