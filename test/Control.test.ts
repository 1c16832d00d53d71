import { expect, test } from 'vitest'
import type { ControlGroup } from '../bench/state/ControlGroup.js'
import {
  accept, changeFrom, disposables, servedVersion, SMALL_SNAPSHOTS, startGroup
} from './support/ControlFixture.js'
import { NodeProbe, versionOf } from './support/NodeProbe.js'
import { TcpRelay } from '../soak/TcpRelay.js'

test('nodes at all replicas hear of a change and are confirmed', async () => {
  const group = await startGroup()
  const nodes = group.addresses.map((address, index) => new NodeProbe(address, `node-${index}`))
  disposables.push(() => nodes.forEach(node => node.dispose()))
  await Promise.all(nodes.map(async node => await node.connect()))
  const empty = nodes.map(async node => {
    return await node.beat({ type: 'heartbeat', version: 0, term: 0 }, frame => frame.type === 'confirm')
  })
  for (const frame of await Promise.all(empty)) expect(frame).toMatchObject({ version: 0 })
  const told = nodes.map(async node => await node.await(frame => frame.type === 'difference' || frame.type === 'copy'))
  await accept(group, 0, 0, 'told')
  for (const frame of await Promise.all(told)) expect(versionOf(frame)).toBe(1)
  for (const node of nodes) {
    const asked = { type: 'heartbeat', version: 1, term: 1, askedAtMs: 123 } as const
    expect(await node.beat(asked, frame => frame.type === 'confirm' && frame.version === 1)).toMatchObject({ version: 1, askedAtMs: 123 })
    const behind = { type: 'heartbeat', version: 0, term: 0 } as const
    const told = await node.beat(behind, frame => frame.type === 'copy' || frame.type === 'difference')
    expect(told).toMatchObject({ confirmed: true })
  }
})

test('a record is taken at the leader only', async () => {
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
      const answer = node.await(frame => frame.type === 'recordReply' || frame.type === 'notLeader')
      node.send({ type: 'record', id: 7, command: begin })
      return await answer
    }))
    // On a busy machine the leader may change meanwhile; then the answers tell nothing.
    if (await group.leader() !== leader || answers.some(answer => answer.type === 'notLeader' && !answer.leader)) continue
    for (const [index, answer] of answers.entries()) {
      expect(answer).toMatchObject(index === leader
        ? { type: 'recordReply', id: 7, reply: { type: 'granted' } }
        : { type: 'notLeader', id: 7, leader: group.addresses[leader] })
    }
    return
  }
})

test('of two operators from one version one is accepted', async () => {
  const group = await startGroup()
  const replies = await Promise.all([0, 1].map(async index =>
    await group.changeSurely(index, changeFrom(0, `operator-${index}`, 1000 + index))))
  expect(replies.map(reply => reply.type).sort()).toEqual(['accepted', 'conflict'])
  const conflict = replies.find(reply => reply.type === 'conflict')
  expect(conflict).toMatchObject({ inForce: 1, differs: ['measuring.bytesPerSecond'] })
})

test('a change sent again gets the first reply', async () => {
  const group = await startGroup(SMALL_SNAPSHOTS)
  await accept(group, 0, 0, 'first')
  const later = 15
  for (let base = 1; base < later; base++) await accept(group, 0, base, `operation-${base}`)
  for (const index of [0, 1, 2]) await group.awaitState(index, ({ replica }) => replica.snapshotIndex > 2)
  const again = async (): Promise<unknown> => await group.changeSurely(1, changeFrom(0, 'first', 1000))
  expect(await again()).toEqual({ type: 'accepted', version: 1 })
  await group.kill(await group.leader())
  await group.leader()
  const live = (await Promise.all([0, 1, 2].map(async index => await group.state(index)))).findIndex(Boolean)
  expect(await group.changeSurely(live, changeFrom(0, 'first', 1000))).toEqual({ type: 'accepted', version: 1 })
  await group.stop()
  group.start()
  expect(await again()).toEqual({ type: 'accepted', version: 1 })
  expect(await servedVersion(group, 0)).toBe(later)
})

/** A group whose replicas reach each other through relays, by the names `from>to`. */
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

/** Relays from and to one replica. */
function relaysAround (relays: Map<string, TcpRelay>, index: number): TcpRelay[] {
  return [...relays]
    .filter(([pair]) => pair.startsWith(`${index}>`) || pair.endsWith(`>${index}`))
    .map(([, relay]) => relay)
}

test('a leader that was frozen serves nothing old', async () => {
  const { group, relays } = await startRelayedGroup()
  await accept(group, 0, 0, 'before')
  const old = await group.leader()
  const other = (old + 1) % 3
  group.signal(old, 'SIGSTOP')
  // It must not learn of its successor before it takes the questions that wait in its sockets.
  relaysAround(relays, old).forEach(relay => relay.silenceAll())
  await group.awaitState(other, ({ replica }) => replica.leader !== undefined && replica.term > 1)
  await accept(group, other, 1, 'during')
  const questions = Array.from({ length: 10 }, async () => await group.configuration(old))
  const change = group.change(old, changeFrom(1, 'late', 5))
  group.signal(old, 'SIGCONT')
  for (const answer of await Promise.all(questions)) expect(answer).toBeUndefined()
  expect((await change)?.type).not.toBe('accepted')
  relaysAround(relays, old).forEach(relay => relay.heal())
  expect(await servedVersion(group, old)).toBe(2)
})

test('a leader cut off in silence neither serves nor commits', async () => {
  const { group, relays } = await startRelayedGroup()
  await accept(group, 0, 0, 'before')
  const old = await group.leader()
  const other = (old + 1) % 3
  const around = relaysAround(relays, old)
  const lost = group.change(old, changeFrom(1, 'lost', 7))
  around.forEach(relay => relay.silenceAll())
  await group.awaitState(other, ({ replica }) => replica.leader !== undefined && replica.term > 1)
  const inForce = await servedVersion(group, other)
  await accept(group, other, inForce, 'during')
  expect(await group.configuration(old)).toBeUndefined()
  expect((await group.change(old, changeFrom(inForce + 1, 'minority', 9)))?.type).toBe('unavailable')
  around.forEach(relay => relay.heal())
  expect(await servedVersion(group, old)).toBe(inForce + 1)
  // The change that was under way at the cut is in force where it was told so, and may be sent again.
  const told = await lost
  if (told?.type === 'accepted') expect(inForce).toBe(2)
  const repeated = await group.changeSurely(other, changeFrom(1, 'lost', 7))
  expect(repeated.type).toBe(inForce === 2 ? 'accepted' : 'conflict')
})
