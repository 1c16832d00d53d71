import { appendFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { ControlGroup, pause, type Route } from '../bench/state/ControlGroup.js'
import type { ChangeRequest } from '../src/parts/configuration/Types.js'
import { NodeProbe, versionOf } from './support/NodeProbe.js'
import { TcpRelay } from './support/TcpRelay.js'

const disposables: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const dispose of disposables.splice(0).reverse()) await dispose()
})

/** A running group whose processes and files go with the test. */
async function startGroup (route?: Route): Promise<ControlGroup> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafras-control-'))
  disposables.push(() => rmSync(folder, { recursive: true, force: true }))
  const group = await ControlGroup.create(join(folder, 'group'), 3, 'log = { level = "info" }', route)
  disposables.push(async () => await group.stop())
  group.start()
  await group.leader()
  return group
}

function changeFrom (base: number, operation: string, bytesPerSecond = 1000): ChangeRequest {
  const measuring = { bytesPerSecond, messagesPerCall: 0.1 }
  return { operation, base, configuration: { services: [], zones: [], measuring } }
}

async function accept (group: ControlGroup, index: number, base: number, operation: string): Promise<void> {
  expect(await group.changeSurely(index, changeFrom(base, operation, 1000 + base)))
    .toEqual({ type: 'accepted', version: base + 1 })
}

/** Waits until a replica serves a quorum read, and returns the version. */
async function servedVersion (group: ControlGroup, index: number): Promise<number> {
  for (;;) {
    const served = await group.configuration(index)
    if (served !== undefined) return served.version
    await pause()
  }
}

function logOf (group: ControlGroup, index: number): string {
  const folder = group.dataOf(index)
  return join(folder, readdirSync(folder).filter(file => file.startsWith('log-')).sort().at(-1)!)
}

test('changes survive kill -9 of all replicas', async () => {
  const group = await startGroup()
  for (let base = 0; base < 20; base++) await accept(group, base % 3, base, `operation-${base}`)
  await group.stop()
  group.start()
  for (let index = 0; index < 3; index++) expect(await servedVersion(group, index)).toBe(20)
})

test('nodes at all replicas hear of a change and are confirmed', async () => {
  const group = await startGroup()
  const nodes = group.addresses.map((address, index) => new NodeProbe(address, `node-${index}`))
  disposables.push(() => nodes.forEach(node => node.dispose()))
  await Promise.all(nodes.map(async node => await node.connect()))
  const empty = nodes.map(async node => await node.await(frame => frame.type === 'confirm'))
  nodes.forEach(node => node.send({ type: 'heartbeat', version: 0, term: 0 }))
  for (const frame of await Promise.all(empty)) expect(frame).toMatchObject({ version: 0 })
  const told = nodes.map(async node => await node.await(frame => frame.type === 'difference' || frame.type === 'copy'))
  await accept(group, 0, 0, 'told')
  for (const frame of await Promise.all(told)) expect(versionOf(frame)).toBe(1)
  for (const node of nodes) {
    const confirmed = node.await(frame => frame.type === 'confirm')
    node.send({ type: 'heartbeat', version: 1, term: 1, askedAtMs: 123 })
    expect(await confirmed).toMatchObject({ version: 1, askedAtMs: 123 })
    const behind = node.await(frame => frame.type === 'copy' || frame.type === 'difference')
    node.send({ type: 'heartbeat', version: 0, term: 0 })
    expect(await behind).toMatchObject({ confirmed: true })
  }
})

test('a record is taken at the leader only', async () => {
  const group = await startGroup()
  const leader = await group.leader()
  const holder = { node: 'node', incarnation: 1, call: 1 }
  const record = { service: 'custody', key: 'checkout-1' }
  const begin = { type: 'begin', record, fingerprint: 'f', holder, runForMs: 1000 } as const
  for (const [index, address] of group.addresses.entries()) {
    const node = new NodeProbe(address, 'node')
    disposables.push(() => node.dispose())
    await node.connect()
    const answer = node.await(frame => frame.type === 'recordReply' || frame.type === 'notLeader')
    node.send({ type: 'record', id: 7, command: begin })
    expect(await answer).toMatchObject(index === leader
      ? { type: 'recordReply', id: 7, reply: { type: 'granted' } }
      : { type: 'notLeader', id: 7, leader: group.addresses[leader] })
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
  const group = await startGroup()
  await accept(group, 0, 0, 'first')
  await accept(group, 0, 1, 'second')
  const again = async (): Promise<unknown> => await group.changeSurely(1, changeFrom(0, 'first', 1000))
  expect(await again()).toEqual({ type: 'accepted', version: 1 })
  await group.kill(await group.leader())
  await group.leader()
  const live = (await Promise.all([0, 1, 2].map(async index => await group.state(index)))).findIndex(Boolean)
  expect(await group.changeSurely(live, changeFrom(0, 'first', 1000))).toEqual({ type: 'accepted', version: 1 })
  await group.stop()
  group.start()
  expect(await again()).toEqual({ type: 'accepted', version: 1 })
  expect(await servedVersion(group, 0)).toBe(2)
})

test('a leader that was frozen serves nothing old', async () => {
  const group = await startGroup()
  await accept(group, 0, 0, 'before')
  const old = await group.leader()
  const other = (old + 1) % 3
  group.signal(old, 'SIGSTOP')
  await group.awaitState(other, ({ replica }) => replica.leader !== undefined && replica.term > 1)
  await accept(group, other, 1, 'during')
  // The questions wait in the frozen process's sockets and are the first that it sees.
  const questions = Array.from({ length: 10 }, async () => await group.configuration(old))
  const change = group.change(old, changeFrom(1, 'late', 5))
  group.signal(old, 'SIGCONT')
  for (const answer of await Promise.all(questions)) expect(answer?.version ?? 2).toBe(2)
  expect((await change)?.type).not.toBe('accepted')
  expect(await servedVersion(group, old)).toBe(2)
})

test('a leader cut off in silence neither serves nor commits', async () => {
  const relays = new Map<string, TcpRelay>()
  const group = await startGroup(async (from, to, address) => {
    if (from === to) return address
    const relay = new TcpRelay(address)
    disposables.push(async () => await relay.dispose())
    relays.set(`${from}>${to}`, relay)
    return await relay.listen()
  })
  await accept(group, 0, 0, 'before')
  const old = await group.leader()
  const other = (old + 1) % 3
  const around = [...relays].filter(([pair]) => pair.startsWith(`${old}>`) || pair.endsWith(`>${old}`))
  const lost = group.change(old, changeFrom(1, 'lost', 7))
  around.forEach(([, relay]) => relay.silenceAll())
  await group.awaitState(other, ({ replica }) => replica.leader !== undefined && replica.term > 1)
  const inForce = await servedVersion(group, other)
  await accept(group, other, inForce, 'during')
  expect(await group.configuration(old)).toBeUndefined()
  expect((await group.change(old, changeFrom(inForce + 1, 'minority', 9)))?.type).toBe('unavailable')
  around.forEach(([, relay]) => relay.heal())
  expect(await servedVersion(group, old)).toBe(inForce + 1)
  // The change that was under way at the cut is in force where it was told so, and may be sent again.
  const told = await lost
  if (told?.type === 'accepted') expect(inForce).toBe(2)
  const repeated = await group.changeSurely(other, changeFrom(1, 'lost', 7))
  expect(repeated.type).toBe(inForce === 2 ? 'accepted' : 'conflict')
})

test('a second disk is lost right after the first is repaired', async () => {
  const group = await startGroup()
  await accept(group, 0, 0, 'kept')
  const founders = (await group.state(0))!.replica.members
  for (const index of [0, 1]) {
    await group.kill(index)
    group.wipe(index)
    group.start(index)
    const state = await group.awaitState(index, ({ replica }) => replica.role !== 'recovering' && replica.members.length === 3)
    expect(founders).not.toContain(state.replica.id)
  }
  expect(await servedVersion(group, 0)).toBe(1)
  expect((await group.state(2))!.replica.members.filter(member => founders.includes(member))).toHaveLength(1)
  await accept(group, 0, 1, 'after')
})

test('a torn last write is cut and the replica keeps its identity', async () => {
  const group = await startGroup()
  await accept(group, 0, 0, 'kept')
  const before = (await group.awaitState(1, state => state.version === 1)).replica.id
  await group.kill(1)
  appendFileSync(logOf(group, 1), Buffer.from([0, 0, 1, 0, 1, 2, 3]))
  group.start(1)
  expect(await servedVersion(group, 1)).toBe(1)
  expect((await group.state(1))!.replica.id).toBe(before)
})

for (const [name, damage] of Object.entries({
  flipped: (bytes: Buffer) => { bytes[bytes.length - 5]! ^= 1; return bytes },
  truncated: (bytes: Buffer) => bytes.subarray(0, bytes.length - 5)
})) {
  test(`a replica with a ${name} log tells the place and takes no part`, async () => {
    const group = await startGroup()
    await accept(group, 0, 0, 'kept')
    await group.awaitState(1, state => state.version === 1)
    await group.kill(1)
    const file = logOf(group, 1)
    writeFileSync(file, damage(readFileSync(file)))
    group.start(1)
    const state = await group.awaitState(1, ({ corruptions }) => corruptions.length > 0)
    expect(state.replica.role).toBe('recovering')
    expect(file).toContain(state.corruptions[0]!.file)
    expect((await group.health(1))!.reason).toContain(` at ${state.corruptions[0]!.offset}: `)
    await accept(group, 0, 1, 'without it')
    expect((await group.state(1))!.version).toBe(0)
    await group.kill(1)
    group.wipe(1)
    group.start(1)
    await group.awaitState(1, ({ replica }) => replica.role === 'follower')
    expect(await servedVersion(group, 1)).toBe(2)
  })
}
