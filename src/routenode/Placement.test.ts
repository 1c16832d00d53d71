import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { NodeEntry } from '../parts/instances/Types.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { CallLink } from './CallLink.js'
import { Placement } from './Placement.js'
import type { CallClientFrame, CallServerFrame, RoutedCallTarget } from './Types.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const QUERY = { excluded: [], allowsTrial: false, bytes: 100 }

const disposables: Disposable[] = []

afterEach(() => { disposables.splice(0).forEach(item => item.dispose()) })

interface Placed {
  readonly placement: Placement
  readonly directory: NodeDirectory
}

function makePlacement (entries: readonly NodeEntry[]): Placed {
  const directory = new NodeDirectory()
  directory.merge(entries, 0)
  const local: RoutedCallTarget = { start: () => ({ cancel: () => {} }) }
  const placement = new Placement({
    self: 'self', zone: 'a', toleratesZoneLoss: true, local, directory, clock: new SystemClock(), random: new SeededRandom(1), log: SILENT
  })
  placement.setServices(['svc'])
  disposables.push(placement)
  return { placement, directory }
}

function makeEntry (node: string, changes: Partial<NodeEntry> = {}): NodeEntry {
  const instance = { id: `i-${node}`, bornMs: 1, service: 'svc', slots: 4, state: 'ready' } as const
  return { node, zone: 'a', epoch: 1, revision: 1, state: 'up', instance, ...changes }
}

function linkNodes (placement: Placement): string[] {
  return (placement.describe() as { links: Array<{ node: string }> }).links.map(({ node }) => node)
}

// A link to each node that has an instance would make the connections grow with the square of the mesh.
test('a link is opened only when a call is sent to the node', () => {
  const { placement } = makePlacement(['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'].map(node => makeEntry(node)))
  expect(linkNodes(placement)).toEqual([])
  placement.findTarget('127.0.0.1:2')
  placement.findTarget('127.0.0.1:2')
  expect(linkNodes(placement)).toEqual(['127.0.0.1:2'])
})

test('a changed entry adds or removes the candidate of its node only', () => {
  const { placement, directory } = makePlacement([makeEntry('a'), makeEntry('b')])
  const chooser = placement.findChooser('svc')
  const update = (entry: NodeEntry): void => placement.update(directory.merge([entry], 0))
  expect(chooser?.size).toBe(2)
  update(makeEntry('c'))
  expect(chooser?.size).toBe(3)
  for (const changes of [{ state: 'stopping' }, { state: 'gone' }] as const) {
    update(makeEntry('c', { ...changes, revision: 2 }))
    expect(chooser?.size).toBe(2)
  }
  update(makeEntry('a', { revision: 2, instance: { id: 'i', bornMs: 2, service: 'other', slots: 4, state: 'ready' } }))
  expect(chooser?.choose(QUERY, 0)).toBe('b')
})

test('a node that announced its stop takes calls again once it has restarted, on a new link', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const server = new FrameServer<CallClientFrame, CallServerFrame>(new SystemClock())
  const stopping = new Promise<void>(resolve => {
    server.onChannel(channel => {
      channel.send({ type: 'stopping' })
      channel.onMessage(({ type }) => { if (type === 'ping') resolve() })
    })
  })
  await server.listen(address)
  const { placement, directory } = makePlacement([makeEntry(address)])
  disposables.push(server)
  const link = placement.findTarget(address)
  const call = { id: 1, body: new Uint8Array(0) } as unknown as Parameters<CallLink['start']>[0]
  link.start(call, { onAnswer: () => {}, onDeclined: () => {}, onFailed: () => {} })
  await stopping
  expect(placement.findChooser('svc')?.size).toBe(0)
  placement.update(directory.merge([makeEntry(address, { epoch: 2 })], 0))
  expect(placement.findChooser('svc')?.choose(QUERY, 0)).toBe(address)
  expect(placement.findTarget(address)).not.toBe(link)
})

// The restarted node may be connected before control announces its restart; its calls must not be cut by that.
test('calls on a link that was opened after the restart end on it when the restart is announced', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const server = new FrameServer<CallClientFrame, CallServerFrame>(new SystemClock())
  let answer = (): void => {}
  const received = new Promise<void>(resolve => {
    server.onChannel(channel => channel.onMessage(frame => {
      if (frame.type !== 'call') return
      const load = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
      answer = () => channel.send({ type: 'answer', id: 1, answer: { status: 200, headers: [], body: new Uint8Array(0) }, load })
      resolve()
    }))
  })
  await server.listen(address)
  const { placement, directory } = makePlacement([makeEntry(address)])
  disposables.push(server)
  const call = { id: 1, body: new Uint8Array(0) } as unknown as Parameters<CallLink['start']>[0]
  const outcome = new Promise<string>(resolve => {
    placement.findTarget(address).start(call, {
      onAnswer: ({ status }) => resolve(`answer ${status}`), onDeclined: resolve, onFailed: (proof, reason) => resolve(`${proof} ${reason}`)
    })
  })
  await received
  placement.update(directory.merge([makeEntry(address, { epoch: 2 })], 0))
  placement.update(directory.merge([makeEntry(address, { epoch: 2, state: 'gone' })], 0))
  answer()
  expect(await outcome).toBe('answer 200')
})

// The restarted node has forgotten what its instance said, and the instance may still report that it is ready.
test('an instance that leaves is no candidate after a restart of its node, but its successor is', () => {
  const { placement, directory } = makePlacement([makeEntry('a'), makeEntry('b')])
  const update = (entry: NodeEntry): void => placement.update(directory.merge([entry], 0))
  const status = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
  placement.recordStatus('a', { ...status, leaving: { id: 'i-a', bornMs: 1 } }, true)
  expect(placement.findChooser('svc')?.size).toBe(1)
  update(makeEntry('a', { epoch: 2 }))
  placement.recordStatus('a', status, true)
  expect(placement.findChooser('svc')?.size).toBe(1)
  update(makeEntry('a', { epoch: 2, revision: 2, instance: { id: 'i-a', bornMs: 2, service: 'svc', slots: 4, state: 'ready' } }))
  expect(placement.findChooser('svc')?.size).toBe(2)
})

test('an instance that was told to leave before its start was known is no candidate once it is known', () => {
  const { placement, directory } = makePlacement([makeEntry('a'), makeEntry('b')])
  const status = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
  placement.recordStatus('a', { ...status, leaving: { id: 'i-a', bornMs: 1, isBornAssumed: true } }, true)
  const instance = { id: 'i-a', bornMs: 500, service: 'svc', slots: 4, state: 'ready' } as const
  placement.update(directory.merge([makeEntry('a', { revision: 2, instance })], 0))
  expect(placement.findChooser('svc')?.size).toBe(1)
})

test('a limit that an instance has named is kept until an answer of the instance names none', () => {
  const { placement } = makePlacement([makeEntry('a')])
  const status = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
  const requestLimit = { instance: 'i-a', perS: 5 }
  placement.recordStatus('a', { ...status, requestLimit }, true)
  placement.recordStatus('a', status, false)
  expect(placement.findKnownLimit('a')).toEqual(requestLimit)
  placement.recordStatus('a', status, true)
  expect(placement.findKnownLimit('a')).toBe(undefined)
})

// Instances leave and nodes are replaced every day of a process that runs for months.
test('what instances have said is forgotten together with their nodes', () => {
  const { placement, directory } = makePlacement([makeEntry('a')])
  const status = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
  placement.recordStatus('a', { ...status, requestLimit: { instance: 'i-a', perS: 5 } }, true)
  placement.update(directory.merge([makeEntry('a', { state: 'gone' })], 0))
  placement.update(directory.merge([makeEntry('b')], 1_000_000))
  placement.recordStatus('b', { ...status, leaving: { id: 'i-b', bornMs: 1 } }, true)
  expect(placement.findKnownLimit('a')).toBe(undefined)
})
