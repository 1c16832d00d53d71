import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { RoutingConfiguration, Workspace } from '../parts/routing/Types.js'
import type { QuotaMessage } from '../parts/quota/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { QUOTA_BATCH_MS } from './Constants.js'
import type { NodeFeed } from './NodeFeed.js'
import { QuotaHost } from './QuotaHost.js'
import type { ReceivedQuotaFrame, RoutingReplica } from './RoutingReplica.js'
import type { FeedToNode, ForwardedQuotaMessage, QuotaReplicaFrame } from './Types.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const WITH_QUOTA = [{ name: 'w', keys: [], ratePerS: 20, burst: 0 }]

/** A control replica whose leader is `leader`. */
class FakeReplica {
  public readonly id
  public readonly sent: Array<{ readonly to: string, readonly frame: QuotaReplicaFrame }> = []
  public readonly nodeFrames: Array<{ readonly node: string, readonly frame: FeedToNode }> = []
  public readonly quotaFrames = new Emitter<ReceivedQuotaFrame>()
  public readonly nodeMessages = new Emitter<ForwardedQuotaMessage>()
  public leader = 'r1'
  public term = 1
  /** Ends the confirmations of the leadership that are under way. */
  public confirmations: Array<(isConfirmed: boolean) => void> = []
  public wallMs = 1e12
  public nowMs = 1000
  public readonly host: QuotaHost
  private readonly _changes = new Emitter<void>()
  private _workspaces: readonly Workspace[] | undefined

  public constructor (id: string, workspaces: readonly Workspace[] | null = WITH_QUOTA) {
    this.id = id
    this._workspaces = workspaces ?? undefined
    const self = this
    const replica = {
      id,
      get view () {
        return { id, role: self.leader === id ? 'leader' : 'follower', term: self.term, leader: self.leader }
      },
      machine: {
        onChange: this._changes.event,
        store: { get inForce () { return { configuration: self._configuration() } } }
      },
      onQuotaFrame: this.quotaFrames.event,
      readBarrier: async () => await new Promise<boolean>(resolve => this.confirmations.push(resolve)),
      sendQuotaFrame: (to: string, frame: QuotaReplicaFrame) => this.sent.push({ to, frame }),
      broadcastQuotaFrame: (frame: QuotaReplicaFrame) => this.sent.push({ to: '*', frame })
    }
    const feed = {
      onQuotaMessage: this.nodeMessages.event,
      sendToNode: (node: string, frame: FeedToNode) => this.nodeFrames.push({ node, frame }),
      sendToNodes: (frame: FeedToNode) => this.nodeFrames.push({ node: '*', frame }),
      directory: { entries: [{ node: 'a', state: 'up' }] }
    }
    const clock = { nowMs: () => this.nowMs, wallMs: () => this.wallMs }
    this.host = new QuotaHost(replica as unknown as RoutingReplica, feed as unknown as NodeFeed, clock, SILENT)
  }

  public configure (workspaces: readonly Workspace[] | undefined): void {
    this._workspaces = workspaces
    this._changes.fire()
  }

  /** Lets time pass; both clocks and the timers follow. */
  public advance (ms: number): void {
    for (let left = ms; left > 0; left -= 5) {
      this.nowMs += 5
      this.wallMs += 5
      vi.advanceTimersByTime(5)
    }
  }

  /** Answers that a node was sent. */
  public answersTo (node: string): number {
    return this.nodeFrames.filter(sent => sent.node === node).length
  }

  private _configuration (): Pick<RoutingConfiguration, 'workspaces'> {
    return this._workspaces === undefined ? {} : { workspaces: this._workspaces }
  }
}

let replica: FakeReplica

beforeEach(() => { vi.useFakeTimers() })

afterEach(() => {
  replica.host.dispose()
  vi.useRealTimers()
})

function makeMessage (sequence: number): QuotaMessage {
  const report = { id: sequence, uses: [], returns: [], allowances: [], upMs: 60_000 }
  return { sequence, incarnation: 1, term: 0, asks: [{ workspace: 'w', count: 1 }], report }
}

async function settle (): Promise<void> {
  await Promise.resolve()
  await Promise.resolve()
}

test('without workspaces that have a quota nothing is sent and no timer runs', () => {
  replica = new FakeReplica('r1', null)
  replica.advance(1000)
  expect(vi.getTimerCount()).toBe(0)
  replica.configure([{ name: 'w', keys: [] }])
  replica.advance(1000)
  expect(vi.getTimerCount()).toBe(0)
  expect([...replica.sent, ...replica.nodeFrames]).toEqual([])
  replica.configure(WITH_QUOTA)
  replica.advance(1000)
  expect(replica.sent.map(({ frame }) => frame.type)).toContain('quotaCollect')
  replica.configure(undefined)
  expect(vi.getTimerCount()).toBe(0)
})

test('messages of nodes that arrive within a batch interval share one frame to the leader', () => {
  replica = new FakeReplica('r2')
  for (let i = 0; i < 3; i++) replica.nodeMessages.fire({ node: `n${i}`, message: makeMessage(i) })
  replica.advance(QUOTA_BATCH_MS + 5)
  expect(replica.sent).toHaveLength(1)
  expect(replica.sent[0]).toMatchObject({ to: 'r1', frame: { type: 'quotaForward' } })
  replica.quotaFrames.fire({
    from: 'r1', frame: { type: 'quotaReturn', answers: [{ node: 'n1', answer: { term: 1, sequence: 1, grants: [] } }] }
  })
  expect(replica.nodeFrames.map(({ node, frame }) => [node, frame.type])).toEqual([['n1', 'quotaAnswer']])
})

test('the leader answers a batch by one frame to the replica that sent it', () => {
  replica = new FakeReplica('r1')
  const messages = [{ node: 'a', message: makeMessage(1) }, { node: 'b', message: makeMessage(1) }]
  replica.quotaFrames.fire({ from: 'r2', frame: { type: 'quotaForward', messages } })
  const answers = replica.sent.filter(({ frame }) => frame.type === 'quotaReturn')
  expect(answers).toHaveLength(1)
  expect(answers[0]?.to).toBe('r2')
})

// Another leader may have been elected meanwhile, whose grants this one does not know.
test('a leader that stood still answers only once a quorum has confirmed that it still leads', async () => {
  replica = new FakeReplica('r1')
  replica.nodeMessages.fire({ node: 'a', message: makeMessage(1) })
  const before = replica.answersTo('a')
  expect(before).toBe(1)
  replica.nowMs += 1000
  replica.wallMs += 1000
  replica.nodeMessages.fire({ node: 'a', message: makeMessage(2) })
  expect(replica.answersTo('a')).toBe(before)
  replica.confirmations.splice(0).forEach(confirm => confirm(true))
  await settle()
  expect(replica.answersTo('a')).toBe(before + 1)
})

test('a leader whose monotonic clock stood still notices it by the wall clock', async () => {
  replica = new FakeReplica('r1')
  replica.nodeMessages.fire({ node: 'a', message: makeMessage(1) })
  replica.wallMs += 30_000
  replica.nodeMessages.fire({ node: 'a', message: makeMessage(2) })
  expect(replica.answersTo('a')).toBe(1)
  replica.confirmations.splice(0).forEach(confirm => confirm(false))
  await settle()
  expect(replica.answersTo('a')).toBe(1)
  replica.nodeMessages.fire({ node: 'a', message: makeMessage(3) })
  expect(replica.answersTo('a')).toBe(1)
  replica.confirmations.splice(0).forEach(confirm => confirm(true))
  await settle()
  expect(replica.answersTo('a')).toBe(2)
})

test('a leader of a new term begins without the grants of the term before', () => {
  replica = new FakeReplica('r1')
  replica.nodeMessages.fire({ node: 'a', message: makeMessage(1) })
  replica.term = 2
  const { report, ...withoutReport } = makeMessage(2)
  replica.nodeMessages.fire({ node: 'a', message: withoutReport })
  expect(replica.answersTo('a')).toBe(1)
  replica.nodeMessages.fire({ node: 'a', message: { ...withoutReport, sequence: 3, report: report! } })
  expect(replica.answersTo('a')).toBe(2)
  expect(replica.nodeFrames.at(-1)?.frame).toMatchObject({ answer: { term: 2, sequence: 3 } })
})
