import { ControlGroup } from './ControlGroup.js'
import { round, type Quantiles, computeQuantiles } from './Quantiles.js'
import { RecordClient } from './RecordClient.js'

const CONCURRENCIES = [1, 4, 16, 64, 256]
const SECONDS_EACH = 4

/** Throughput and latency of a group of three processes at a number of commands in flight. */
interface CommitCost {
  readonly inFlight: number
  readonly commitsPerSecond: number
  readonly latencyMs: Quantiles
}

/**
 * Measures commits of execution permits over one node's connection to the leader.
 * @param folder Folder on the disk to measure.
 */
export async function measureCommits (folder: string): Promise<CommitCost[]> {
  const group = await ControlGroup.create(folder, 3, 'records = { capacity = 1000000 }')
  group.start()
  const client = new RecordClient(group.addresses[await group.leader()]!, 'bench')
  await client.connect()
  const costs: CommitCost[] = []
  for (const inFlight of CONCURRENCIES) costs.push(await measure(client, inFlight))
  client.dispose()
  await group.stop()
  return costs
}

async function measure (client: RecordClient, inFlight: number): Promise<CommitCost> {
  const latencies: number[] = []
  const startMs = performance.now()
  const worker = async (number: number): Promise<void> => {
    for (let call = 0; performance.now() - startMs < SECONDS_EACH * 1000; call++) {
      const sentMs = performance.now()
      const reply = await client.begin(`${inFlight}-${number}-${call}`, call)
      if (reply?.type !== 'granted') throw new Error(`answered ${JSON.stringify(reply)}`)
      latencies.push(performance.now() - sentMs)
    }
  }
  await Promise.all(Array.from({ length: inFlight }, (_, number) => worker(number)))
  const seconds = (performance.now() - startMs) / 1000
  return { inFlight, commitsPerSecond: round(latencies.length / seconds), latencyMs: computeQuantiles(latencies) }
}
