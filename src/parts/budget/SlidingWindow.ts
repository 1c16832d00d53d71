/**
 * Sum of the amounts added within a sliding window, which is divided into steps. Any span of the window's length
 * overlaps at most `steps + 1` steps, and the sum covers as many, so a limit on the sum is a limit on every such span.
 * Memory: `steps + 1` numbers.
 */
export class SlidingWindow {
  private readonly _sumByStep: Float64Array
  private readonly _stepMs: number
  private _currentStep = 0
  private _total = 0

  /**
   * @param windowMs Length of the window in milliseconds.
   * @param _steps Steps that the window is divided into.
   */
  public constructor (windowMs: number, private readonly _steps: number) {
    this._sumByStep = new Float64Array(_steps + 1)
    this._stepMs = windowMs / _steps
  }

  /**
   * Removes the steps that have left the window.
   * @param nowMs Monotonic time in milliseconds; an earlier time than before changes nothing.
   */
  public advance (nowMs: number): void {
    const nowStep = Math.floor(nowMs / this._stepMs)
    const expiredSteps = Math.min(nowStep - this._currentStep, this._sumByStep.length)
    for (let offset = 0; offset < expiredSteps; offset++) {
      this._clearStep(nowStep - offset)
    }
    this._currentStep = Math.max(this._currentStep, nowStep)
  }

  /** Returns the sum of the amounts within the window, as of the last `advance`. */
  public total (): number {
    return this._total
  }

  /**
   * Adds to the current step.
   * @param amount Amount to add; a negative one takes back what was added before.
   */
  public add (amount: number): void {
    const index = this._currentStep % this._sumByStep.length
    this._sumByStep[index] = (this._sumByStep[index] ?? 0) + amount
    this._total += amount
  }

  /**
   * Returns the time in milliseconds at which the sum will have fallen by at least `amount` if nothing more is added.
   * @param amount At most `total()`.
   */
  public freeAtMs (amount: number): number {
    let freed = 0
    for (let age = this._steps; age >= 0; age--) {
      freed += this._sumByStep[this._ringIndex(this._currentStep - age)] ?? 0
      if (freed >= amount) {
        return (this._currentStep - age + this._steps + 1) * this._stepMs
      }
    }
    return (this._currentStep + this._steps + 1) * this._stepMs
  }

  private _clearStep (step: number): void {
    const index = this._ringIndex(step)
    this._total -= this._sumByStep[index] ?? 0
    this._sumByStep[index] = 0
  }

  private _ringIndex (step: number): number {
    const length = this._sumByStep.length
    return ((step % length) + length) % length
  }
}
