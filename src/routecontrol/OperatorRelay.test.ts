import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { RELAY_LIMIT_MS } from '../parts/relay/Constants.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable, Log, LogFields } from '../runtime/Types.js'
import { MAX_RELAYED_CALLS } from './Constants.js'
import { OperatorRelay } from './OperatorRelay.js'
import type { FromOperatorServer, OperatorCall, OperatorCallFrame, OperatorReply } from './Types.js'

const CALL: OperatorCall = { operation: 'change', parameter: '', body: 'contains a-secret-key' }

const disposables: Disposable[] = []
const lines: LogFields[] = []

const record = (fields: LogFields, message: string): void => { lines.push({ ...fields, message }) }
const LOG: Log = { debug: record, info: record, warn: record, error: record }

afterEach(() => {
  disposables.splice(0).forEach(item => item.dispose())
  lines.length = 0
})

/** Starts a replica that handles each call by a reaction; undefined gives no reply. */
async function startReplica (
  react: (call: OperatorCall) => OperatorReply | 'close' | undefined
): Promise<{ readonly address: string, readonly calls: OperatorCall[] }> {
  const server = new FrameServer<OperatorCallFrame, FromOperatorServer>(new SystemClock())
  const address = await server.listen((await findFreeAddresses(1))[0] as string)
  const calls: OperatorCall[] = []
  server.onChannel(channel => channel.onMessage(({ call }) => {
    calls.push(call)
    const reply = react(call)
    if (reply === 'close') channel.destroy('closed by the test')
    else if (reply !== undefined) channel.send({ type: 'operatorReply', reply })
  }))
  disposables.push(server)
  return { address, calls }
}

function makeRelay (addresses: readonly string[]): OperatorRelay {
  const relay = new OperatorRelay({ listReplicas: () => addresses, clock: new SystemClock(), log: LOG })
  disposables.push(relay)
  return relay
}

const FINAL: Extract<OperatorReply, { type: 'final' }> = { type: 'final', status: 200, body: '{"a-secret-key":1}' }

test('a call reaches the leader as it was received, and its reply the operator', async () => {
  const leader = await startReplica(() => FINAL)
  const follower = await startReplica(() => ({ type: 'notLeader', leader: leader.address }))
  expect(await makeRelay([follower.address, leader.address]).send(CALL)).toEqual(FINAL)
  expect([follower.calls, leader.calls]).toEqual([[CALL], [CALL]])
})

// Configurations and the answers to reads hold the API keys of workspaces.
test('no log line holds the body of a call or of a reply', async () => {
  const { address } = await startReplica(() => FINAL)
  const closing = await startReplica(() => 'close')
  await makeRelay([closing.address, address]).send(CALL)
  expect(lines.map(({ message }) => message)).toContain('operator call relayed')
  expect(JSON.stringify(lines)).not.toContain('a-secret-key')
})

test('the log tells how much of the replies had arrived when a call ended, and from which replicas', async () => {
  const { address } = await startReplica(() => FINAL)
  const closing = await startReplica(() => 'close')
  await makeRelay([closing.address, address]).send(CALL)
  const line = lines.find(({ message }) => message === 'operator call relayed')
  expect(line).toMatchObject({ asked: [closing.address, address], repliedFrom: [address] })
  expect(line!['replyBytes']).toBeGreaterThan(FINAL.body.length)
})

test('a call that a replica received and did not answer may have been decided', async () => {
  const { address } = await startReplica(() => 'close')
  expect(await makeRelay([address]).send(CALL)).toEqual({ type: 'undecided', state: 'unknown' })
})

test('a call that no replica received was not decided', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  expect(await makeRelay([address]).send(CALL)).toEqual({ type: 'undecided', state: 'not-run' })
})

test('calls beyond the limit are turned away at once, and there is room again when the others have ended', async () => {
  const silent = await startReplica(() => undefined)
  const addresses = [silent.address]
  const relay = makeRelay(addresses)
  const startMs = performance.now()
  const open = Array.from({ length: MAX_RELAYED_CALLS }, async () => await relay.send(CALL))
  expect(await relay.send(CALL)).toEqual({ type: 'undecided', state: 'not-run' })
  expect(performance.now() - startMs).toBeLessThan(RELAY_LIMIT_MS)
  expect(new Set((await Promise.all(open)).map(({ type }) => type))).toEqual(new Set(['undecided']))
  const { address } = await startReplica(() => FINAL)
  addresses.push(address)
  expect(await relay.send(CALL)).toEqual(FINAL)
})

// Frames that are no reply extended the bound of the call and kept its connection open.
test('a replica that sends another frame than a reply is asked again on a new connection', async () => {
  const server = new FrameServer<object, object>(new SystemClock())
  disposables.push(server)
  const address = await server.listen((await findFreeAddresses(1))[0] as string)
  let connections = 0
  server.onChannel(channel => {
    connections++
    channel.onMessage(() => channel.send({ type: 'unknown' }))
  })
  expect(await makeRelay([address]).send(CALL)).toEqual({ type: 'undecided', state: 'unknown' })
  expect(connections).toBeGreaterThan(1)
})
