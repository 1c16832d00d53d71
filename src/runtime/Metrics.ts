import { StatsD } from 'hot-shots'
import type { Disposable } from './Types.js'

/** Unit of a metric: `count` adds up, `ms` and `bytes` are distributions, `level` is a last value. */
export type MetricUnit = 'count' | 'ms' | 'bytes' | 'level'

/** One line of the table of metrics. */
export interface MetricDefinition {
  readonly name: string
  readonly unit: MetricUnit
  readonly description: string
}

/** Where metrics go. */
export interface MetricsOptions {
  readonly host: string
  readonly port: number
  readonly prefix: string
  readonly enabled: boolean
}

type SendMetric = (client: StatsD, name: string, value: number, tags: string[]) => void

const SENDERS: Record<MetricUnit, SendMetric> = {
  count: (client, name, value, tags) => client.increment(name, value, tags),
  ms: (client, name, value, tags) => client.timing(name, value, tags),
  bytes: (client, name, value, tags) => client.histogram(name, value, tags),
  level: (client, name, value, tags) => client.gauge(name, value, tags)
}

/** Metrics by name, sent over StatsD; only names of the table may be sent. */
export class Metrics<Name extends string> implements Disposable {
  private readonly _client: StatsD | undefined

  /**
   * @param _definitions All names with their units.
   * @param _tags Sent with each value, for example `['node:fukuoka-1']`.
   */
  public constructor (
    private readonly _definitions: Readonly<Record<Name, MetricDefinition>>,
    options: MetricsOptions,
    private readonly _tags: string[]
  ) {
    if (!options.enabled) return
    this._client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: options.prefix,
      // A metric that can't be sent is not worth a log line each time.
      errorHandler: () => {},
      bufferFlushInterval: 1000,
      maxBufferSize: 1400
    })
  }

  /** Sends one value in the unit of the table. */
  public send (name: Name, value: number): void {
    if (this._client === undefined) return
    const line = this._definitions[name]
    SENDERS[line.unit](this._client, line.name, value, this._tags)
  }

  /** Flushes and closes the socket. */
  public dispose (): void {
    this._client?.close(() => {})
  }
}
