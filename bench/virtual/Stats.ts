/** Counts and latencies of a simulation run within its measured period. */
export class Stats {
  public calls = 0
  public ok = 0
  public failed = 0
  public refused = 0
  public attempts = 0
  public callerRetries = 0
  public measuringMessages = 0
  public measuringBytes = 0
  public readonly latencies: number[] = []

  /** Virtual time at which each call of `latencies` arrived, in the same order. */
  public readonly arrivals: number[] = []

  /**
   * Records a successful call.
   * @param arrivedMs Virtual time at which the call arrived.
   * @param latencyMs Time from its arrival to the answer.
   */
  public recordAnswer (arrivedMs: number, latencyMs: number): void {
    this.ok += 1
    this.latencies.push(latencyMs)
    this.arrivals.push(arrivedMs)
  }

  /**
   * Latency quantile of the calls that arrived in a period; NaN when there are none.
   * @param share Quantile, from 0 to 1.
   * @param fromMs Start of the period, inclusive.
   * @param toMs End of the period, exclusive.
   */
  public quantile (share: number, fromMs = -Infinity, toMs = Infinity): number {
    const all = this.latencies.filter((_latency, index) => {
      const arrived = this.arrivals[index] ?? 0
      return arrived >= fromMs && arrived < toMs
    })
    all.sort((first, second) => first - second)
    return all[Math.min(all.length - 1, Math.floor(share * all.length))] ?? Number.NaN
  }
}
