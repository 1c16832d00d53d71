/**
 * Sum of what was spent in the last window. Any span of the window's length overlaps at most `steps + 1`
 * steps, and the sum covers as many, so a limit on the sum is a limit on every such span.
 * Memory: `steps + 1` numbers.
 */
export class SlidingWindow {
  private readonly _spentByStep: Float64Array
  private readonly _stepMs: number
  private _step = 0
  private _spent = 0

  /**
   * @param windowMs Length of the window in milliseconds.
   * @param _steps Steps that the window is divided into.
   */
  public constructor (windowMs: number, private readonly _steps: number) {
    this._spentByStep = new Float64Array(_steps + 1)
    this._stepMs = windowMs / _steps
  }

  /**
   * Forgets the steps that left the window.
   * @param nowMs Monotonic time in milliseconds; an earlier time than before changes nothing.
   */
  public advance (nowMs: number): void {
    const target = Math.floor(nowMs / this._stepMs)
    const steps = Math.min(target - this._step, this._spentByStep.length)
    for (let passed = 0; passed < steps; passed++) {
      this._clearStep(target - passed)
    }
    this._step = Math.max(this._step, target)
  }

  /** What was spent within the window. */
  public total (): number {
    return this._spent
  }

  /** @param amount What is spent in the current step. */
  public spend (amount: number): void {
    const index = this._step % this._spentByStep.length
    this._spentByStep[index] = (this._spentByStep[index] ?? 0) + amount
    this._spent += amount
  }

  /**
   * Time at which the sum will have fallen by at least `amount` if nothing more is spent.
   * @param amount At most `total()`.
   */
  public freeAtMs (amount: number): number {
    let freed = 0
    for (let age = this._steps; age >= 0; age--) {
      freed += this._spentByStep[this._indexOf(this._step - age)] ?? 0
      if (freed >= amount) {
        return (this._step - age + this._steps + 1) * this._stepMs
      }
    }
    return (this._step + this._steps + 1) * this._stepMs
  }

  private _clearStep (step: number): void {
    const index = this._indexOf(step)
    this._spent -= this._spentByStep[index] ?? 0
    this._spentByStep[index] = 0
  }

  private _indexOf (step: number): number {
    const length = this._spentByStep.length
    return ((step % length) + length) % length
  }
}
