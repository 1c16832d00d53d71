import { WINDOW_MS, WINDOW_STEPS } from './Constants.js'

const STEP_MS = WINDOW_MS / WINDOW_STEPS

/**
 * Sum of what was spent in the last window. Any span of `WINDOW_MS` overlaps at most `WINDOW_STEPS + 1`
 * steps, and the sum covers as many, so a limit on the sum is a limit on every such span.
 * Memory: `WINDOW_STEPS + 1` numbers.
 */
export class SlidingWindow {
  private readonly spentByStep = new Float64Array(WINDOW_STEPS + 1)
  private step = 0
  private spent = 0

  /**
   * Forgets the steps that left the window.
   * @param nowMs Monotonic time in milliseconds; an earlier time than before changes nothing.
   */
  public advance (nowMs: number): void {
    const target = Math.floor(nowMs / STEP_MS)
    const steps = Math.min(target - this.step, this.spentByStep.length)
    for (let passed = 0; passed < steps; passed++) {
      this.clearStep(target - passed)
    }
    this.step = Math.max(this.step, target)
  }

  /** What was spent within the window. */
  public total (): number {
    return this.spent
  }

  /** @param amount What is spent in the current step. */
  public spend (amount: number): void {
    const index = this.step % this.spentByStep.length
    this.spentByStep[index] = (this.spentByStep[index] ?? 0) + amount
    this.spent += amount
  }

  /**
   * Time at which the sum will have fallen by at least `amount` if nothing more is spent.
   * @param amount At most `total()`.
   */
  public freeAtMs (amount: number): number {
    let freed = 0
    for (let age = WINDOW_STEPS; age >= 0; age--) {
      freed += this.spentByStep[this.indexOf(this.step - age)] ?? 0
      if (freed >= amount) {
        return (this.step - age + WINDOW_STEPS + 1) * STEP_MS
      }
    }
    return (this.step + WINDOW_STEPS + 1) * STEP_MS
  }

  private clearStep (step: number): void {
    const index = this.indexOf(step)
    this.spent -= this.spentByStep[index] ?? 0
    this.spentByStep[index] = 0
  }

  private indexOf (step: number): number {
    const length = this.spentByStep.length
    return ((step % length) + length) % length
  }
}
