import { expect, test } from 'vitest'
import type { ControlGroup } from '../bench/state/ControlGroup.js'
import {
  makeChange, buildChange, disposables, awaitServedVersion, SMALL_SNAPSHOTS, startGroup
} from './support/ControlFixture.js'
import { NodeProbe, resultingVersion } from './support/NodeProbe.js'
import { TcpRelay } from '../soak/TcpRelay.js'

test('nodes at all replicas receive a change and get their version confirmed', async () => {
  const group = await startGroup()
  const nodes = group.addresses.map((address, index) => new NodeProbe(address, `node-${index}`))
  disposables.push(() => nodes.forEach(node => node.dispose()))
  await Promise.all(nodes.map(async node => await node.connect()))
  const confirmations = nodes.map(async node => {
    return await node.awaitHeartbeatReply({ type: 'heartbeat', version: 0, term: 0 }, frame => frame.type === 'confirm')
  })
  for (const frame of await Promise.all(confirmations)) expect(frame).toMatchObject({ version: 0 })
  const updates = nodes.map(async node => await node.awaitFrame(frame => frame.type === 'difference' || frame.type === 'copy'))
  await makeChange(group, 0, 0, 'told')
  for (const frame of await Promise.all(updates)) expect(resultingVersion(frame)).toBe(1)
  for (const node of nodes) {
    const currentHeartbeat = { type: 'heartbeat', version: 1, term: 1, askedAtMs: 123 } as const
    expect(await node.awaitHeartbeatReply(currentHeartbeat, frame => frame.type === 'confirm' && frame.version === 1)).toMatchObject({ version: 1, askedAtMs: 123 })
    const outdatedHeartbeat = { type: 'heartbeat', version: 0, term: 0 } as const
    const update = await node.awaitHeartbeatReply(outdatedHeartbeat, frame => frame.type === 'copy' || frame.type === 'difference')
    expect(update).toMatchObject({ confirmed: true })
  }
})

// Guards against a follower that answers a record command itself instead of naming the leader.
test('only the leader accepts a record command', async () => {
  const group = await startGroup()
  const holder = { node: 'node', incarnation: 1, call: 1 }
  const record = { service: 'custody', key: 'checkout-1' }
  const begin = { type: 'begin', record, fingerprint: 'f', holder, runForMs: 1000 } as const
  const nodes = group.addresses.map(address => new NodeProbe(address, 'node'))
  disposables.push(() => nodes.forEach(node => node.dispose()))
  await Promise.all(nodes.map(async node => await node.connect()))
  for (;;) {
    const leader = await group.leader()
    const answers = await Promise.all(nodes.map(async node => {
      const answer = node.awaitFrame(frame => frame.type === 'recordReply' || frame.type === 'notLeader')
      node.send({ type: 'record', id: 7, command: begin })
      return await answer
    }))
    // On a busy machine the leader may change meanwhile; the answers are inconclusive then.
    if (await group.leader() !== leader || answers.some(answer => answer.type === 'notLeader' && !answer.leader)) continue
    for (const [index, answer] of answers.entries()) {
      expect(answer).toMatchObject(index === leader
        ? { type: 'recordReply', id: 7, reply: { type: 'granted' } }
        : { type: 'notLeader', id: 7, leader: group.addresses[leader] })
    }
    return
  }
})

// Guards against a lost update: both changes are based on the same version and reach different replicas.
test('of two operators from one version one is accepted', async () => {
  const group = await startGroup()
  const replies = await Promise.all([0, 1].map(async index =>
    await group.changeWithRetries(index, buildChange(0, `operator-${index}`, 1000 + index))))
  expect(replies.map(reply => reply.type).sort()).toEqual(['accepted', 'conflict'])
  const conflict = replies.find(reply => reply.type === 'conflict')
  expect(conflict).toMatchObject({ inForce: 1, differs: ['measuring.bytesPerSecond'] })
})

// An operator resends a change whose reply was lost. It must neither be applied twice nor refused as a conflict, also
// when the log entry of the change has been compacted into a snapshot.
test('a resent change gets its first reply, also after a snapshot, a new leader and a restart', async () => {
  const group = await startGroup(SMALL_SNAPSHOTS)
  await makeChange(group, 0, 0, 'first')
  const changeCount = 15
  for (let base = 1; base < changeCount; base++) await makeChange(group, 0, base, `operation-${base}`)
  for (const index of [0, 1, 2]) await group.awaitState(index, ({ replica }) => replica.snapshotIndex > 2)
  const resend = async (): Promise<unknown> => await group.changeWithRetries(1, buildChange(0, 'first', 1000))
  expect(await resend()).toEqual({ type: 'accepted', version: 1 })
  await group.kill(await group.leader())
  await group.leader()
  const live = (await Promise.all([0, 1, 2].map(async index => await group.state(index)))).findIndex(Boolean)
  expect(await group.changeWithRetries(live, buildChange(0, 'first', 1000))).toEqual({ type: 'accepted', version: 1 })
  await group.stop()
  group.start()
  expect(await resend()).toEqual({ type: 'accepted', version: 1 })
  expect(await awaitServedVersion(group, 0)).toBe(changeCount)
})

/** Starts a group whose replicas reach each other through relays; the key of a relay is `from>to`, by index. */
async function startRelayedGroup (): Promise<{ readonly group: ControlGroup, readonly relays: Map<string, TcpRelay> }> {
  const relays = new Map<string, TcpRelay>()
  const group = await startGroup('', async (from, to, address) => {
    if (from === to) return address
    const relay = new TcpRelay(address)
    disposables.push(async () => await relay.dispose())
    relays.set(`${from}>${to}`, relay)
    return await relay.listen()
  })
  return { group, relays }
}

/** Returns the relays from and to one replica. */
function relaysOfReplica (relays: Map<string, TcpRelay>, index: number): TcpRelay[] {
  return [...relays]
    .filter(([pair]) => pair.startsWith(`${index}>`) || pair.endsWith(`>${index}`))
    .map(([, relay]) => relay)
}

// Guards against stale reads: after SIGCONT the old leader finds the reads in its sockets before any message of the new
// term.
test('a leader that was frozen serves no stale read and accepts no change', async () => {
  const { group, relays } = await startRelayedGroup()
  await makeChange(group, 0, 0, 'before')
  const frozenLeader = await group.leader()
  const survivor = (frozenLeader + 1) % 3
  group.signal(frozenLeader, 'SIGSTOP')
  // It must not learn of its successor before it processes the reads that wait in its sockets.
  relaysOfReplica(relays, frozenLeader).forEach(relay => relay.silenceAll())
  await group.awaitState(survivor, ({ replica }) => replica.leader !== undefined && replica.term > 1)
  await makeChange(group, survivor, 1, 'during')
  const reads = Array.from({ length: 10 }, async () => await group.configuration(frozenLeader))
  const change = group.change(frozenLeader, buildChange(1, 'late', 5))
  group.signal(frozenLeader, 'SIGCONT')
  for (const answer of await Promise.all(reads)) expect(answer).toBeUndefined()
  expect((await change)?.type).not.toBe('accepted')
  relaysOfReplica(relays, frozenLeader).forEach(relay => relay.heal())
  expect(await awaitServedVersion(group, frozenLeader)).toBe(2)
})

// Guards against a leader that serves or commits without a quorum when its connections go silent without closing.
test('a partitioned leader neither serves reads nor commits', async () => {
  const { group, relays } = await startRelayedGroup()
  await makeChange(group, 0, 0, 'before')
  const isolatedLeader = await group.leader()
  const survivor = (isolatedLeader + 1) % 3
  const leaderRelays = relaysOfReplica(relays, isolatedLeader)
  const interruptedChange = group.change(isolatedLeader, buildChange(1, 'lost', 7))
  leaderRelays.forEach(relay => relay.silenceAll())
  await group.awaitState(survivor, ({ replica }) => replica.leader !== undefined && replica.term > 1)
  const activeVersion = await awaitServedVersion(group, survivor)
  await makeChange(group, survivor, activeVersion, 'during')
  expect(await group.configuration(isolatedLeader)).toBeUndefined()
  expect((await group.change(isolatedLeader, buildChange(activeVersion + 1, 'minority', 9)))?.type).toBe('unavailable')
  leaderRelays.forEach(relay => relay.heal())
  expect(await awaitServedVersion(group, isolatedLeader)).toBe(activeVersion + 1)
  // The change that was in progress at the partition is in force if that was its reply, and may be resent.
  const interruptedReply = await interruptedChange
  if (interruptedReply?.type === 'accepted') expect(activeVersion).toBe(2)
  const resentReply = await group.changeWithRetries(survivor, buildChange(1, 'lost', 7))
  expect(resentReply.type).toBe(activeVersion === 2 ? 'accepted' : 'conflict')
})
