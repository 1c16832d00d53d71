import { ControlGroup, pause } from './ControlGroup.js'
import { type Quantiles, computeQuantiles } from './Quantiles.js'
import { RecordClient } from './RecordClient.js'

const KILLS = 12

/** Milliseconds without a leader, from its kill to the next commit of a record. */
interface LeaderLoss {
  readonly kills: number
  readonly untilCommitMs: Quantiles
}

/**
 * Kills the leader repeatedly while a node sends records to the other replicas.
 * @param folder Folder on the disk to measure.
 */
export async function measureLeaderLoss (folder: string): Promise<LeaderLoss> {
  const group = await ControlGroup.create(folder, 3)
  group.start()
  const times: number[] = []
  for (let kill = 0; kill < KILLS; kill++) {
    const leader = await group.leader()
    const others = group.addresses.filter((_, index) => index !== leader)
    const clients = others.map(address => new RecordClient(address, 'bench'))
    await Promise.all(clients.map(client => client.connect()))
    const startMs = performance.now()
    group.signal(leader, 'SIGKILL')
    await awaitFirstCommit(clients, kill)
    times.push(performance.now() - startMs)
    clients.forEach(client => client.dispose())
    await group.kill(leader)
    group.start(leader)
    await group.awaitState(leader, state => state.replica.leader !== undefined)
  }
  await group.stop()
  return { kills: KILLS, untilCommitMs: computeQuantiles(times) }
}

async function awaitFirstCommit (clients: readonly RecordClient[], kill: number): Promise<void> {
  for (let call = 0; ; call++) {
    const replies = await Promise.all(clients.map((client, index) => client.begin(`${kill}-${index}-${call}`, call)))
    if (replies.some(reply => reply?.type === 'granted')) return
    await pause()
  }
}
