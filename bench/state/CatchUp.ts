import { ControlGroup } from './ControlGroup.js'
import { round } from './Quantiles.js'
import { RecordClient } from './RecordClient.js'

const LOG_LENGTHS = [1000, 4000, 16_000, 48_000]
const IN_FLIGHT = 200

/** Milliseconds from the start of a replica until it has all entries. */
interface CatchUpCost {
  readonly entries: number
  /** After a restart with its disk. */
  readonly restartMs: number
  /** After a restart with an empty disk, under a new identity, until it is a member; from a snapshot or the log. */
  readonly emptyDiskMs: number
}

/**
 * Measures how long a follower takes to catch up, by the number of entries written while it was down.
 * @param folder Folder on the disk to measure.
 */
export async function measureCatchUp (folder: string): Promise<CatchUpCost[]> {
  const costs: CatchUpCost[] = []
  for (const entries of LOG_LENGTHS) costs.push(await measure(`${folder}/${entries}`, entries))
  return costs
}

async function measure (folder: string, entries: number): Promise<CatchUpCost> {
  const group = await ControlGroup.create(folder, 3)
  group.start()
  const leader = await group.leader()
  const follower = (leader + 1) % group.size
  await group.awaitState(follower, state => state.replica.commitIndex > 0)
  await group.kill(follower)
  await writeEntries(group, entries)
  const restartMs = await measureCatchUpMs(group, follower, entries)
  await group.kill(follower)
  group.wipe(follower)
  const emptyDiskMs = await measureCatchUpMs(group, follower, entries)
  await group.stop()
  return { entries, restartMs, emptyDiskMs }
}

async function measureCatchUpMs (group: ControlGroup, follower: number, entries: number): Promise<number> {
  const startMs = performance.now()
  group.start(follower)
  await group.awaitState(follower, ({ replica }) => replica.commitIndex >= entries && replica.role === 'follower')
  return round(performance.now() - startMs)
}

/** Writes until the leader has committed this many entries; continues at the next leader when one steps down. */
async function writeEntries (group: ControlGroup, entries: number): Promise<void> {
  for (;;) {
    const leader = await group.leader()
    const state = await group.state(leader)
    if (state !== undefined && state.replica.commitIndex >= entries) return
    const client = new RecordClient(group.addresses[leader]!, 'bench')
    await client.connect()
    await writeThroughClient(client, entries - (state?.replica.commitIndex ?? 0))
    client.dispose()
  }
}

/** Writes entries concurrently; returns early when the replica does not lead. */
async function writeThroughClient (client: RecordClient, entries: number): Promise<void> {
  let left = entries
  const run = `${performance.now()}`
  const worker = async (): Promise<void> => {
    while (left > 0) {
      const call = left--
      const reply = await client.begin(`${run}-${call}`, call)
      if (reply === undefined) left = 0
    }
  }
  await Promise.all(Array.from({ length: IN_FLIGHT }, worker))
}
