import { StatsD } from 'hot-shots'
import type { Disposable } from './Types.js'

/** Unit of a metric: `count` is a counter, `ms` and `bytes` are distributions, `level` is a gauge. */
export type MetricUnit = 'count' | 'ms' | 'bytes' | 'level'

/** Name, unit and description of one metric. */
export interface MetricDefinition {
  readonly name: string
  readonly unit: MetricUnit
  readonly description: string
}

/** StatsD endpoint that metrics are sent to. */
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

/** Sends metrics over StatsD; only metrics of its table of definitions can be sent. */
export class Metrics<Name extends string> implements Disposable {
  private readonly _client: StatsD | undefined

  /**
   * @param _definitions All metrics that may be sent, with their units.
   * @param options Where to send; with `enabled` false nothing is sent.
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
      // Ignored: a log line for each metric that can't be sent would flood the log.
      errorHandler: () => {},
      bufferFlushInterval: 1000,
      maxBufferSize: 1400
    })
  }

  /** Sends one value, in the unit of the metric's definition. */
  public send (name: Name, value: number): void {
    if (this._client === undefined) return
    const line = this._definitions[name]
    SENDERS[line.unit](this._client, line.name, value, this._tags)
  }

  /** Flushes buffered values and closes the socket. */
  public dispose (): void {
    this._client?.close(() => {})
  }
}
