/** What callers and nodes saw within the measured span. */
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

  /** Latencies by moment of arrival, for spans within the run. */
  public readonly arrivals: number[] = []

  /**
   * @param arrivedMs When the call came in.
   * @param latencyMs How long its caller waited.
   */
  public recordAnswer (arrivedMs: number, latencyMs: number): void {
    this.ok += 1
    this.latencies.push(latencyMs)
    this.arrivals.push(arrivedMs)
  }

  /**
   * @param share 0 to 1.
   * @param fromMs First arrival that counts.
   * @param toMs End of the arrivals that count.
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
