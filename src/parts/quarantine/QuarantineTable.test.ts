import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { CallId } from '../Types.js'
import { MAX_SUSPECTS_HANDED_ON, QUARANTINE_DEFAULTS } from './Constants.js'
import { QuarantineTable } from './QuarantineTable.js'
import { RequestFingerprint } from './RequestFingerprint.js'
import { computeSha1 } from '../../runtime/Digest.js'
import type { CrashReport, Fingerprint, QuarantineAction, QuarantineOptions } from './Types.js'

const NODES = 4

/** Fingerprint of the request that crashes every upstream that runs it. */
const POISON = 'poison'

interface Round {
  /** Node whose upstream receives the poison request. */
  readonly node: number
  /** Innocent requests in flight at the same time. */
  readonly concurrentInnocents: readonly number[]
  /** Innocent requests that finish before it. */
  readonly finishedInnocents: readonly number[]
  /** Node that restarts before the round, if any. */
  readonly restart: number | undefined
}

const innocentsArbitrary = fc.uniqueArray(fc.nat(5), { maxLength: 5 })

const roundArbitrary: fc.Arbitrary<Round> = fc.record({
  node: fc.nat(NODES - 1),
  concurrentInnocents: innocentsArbitrary,
  finishedInnocents: innocentsArbitrary,
  restart: fc.option(fc.nat(NODES - 1), { nil: undefined, freq: 6 })
})

/** Nodes that forward every report to each other twice, once in reverse order. */
class NodeGroup {
  public crashes = 0
  private readonly _options: Partial<QuarantineOptions>
  private readonly _forwardsReports: boolean
  private readonly _tables: QuarantineTable[] = []
  private readonly _incarnations: number[] = []
  private _nextCall: CallId = 0

  public constructor (options: Partial<QuarantineOptions> = {}, forwardsReports = true) {
    this._options = options
    this._forwardsReports = forwardsReports
    for (let node = 0; node < NODES; node++) {
      this._incarnations.push(1)
      this._tables.push(this._createTable(node))
    }
  }

  public table (node: number): QuarantineTable {
    return this._tables[node] as QuarantineTable
  }

  public ask (node: number, fingerprint: Fingerprint, nowMs: number): QuarantineAction['type'] | undefined {
    return this.table(node).step({ type: 'ask', call: 0, fingerprint }, nowMs)[0]?.type
  }

  public dispatch (node: number, fingerprint: Fingerprint, nowMs: number): CallId {
    const call = ++this._nextCall
    this.table(node).step({ type: 'dispatched', call, instance: `s/${node}`, fingerprint }, nowMs)
    return call
  }

  public finishCall (node: number, fingerprint: Fingerprint, nowMs: number): void {
    this.endCall(node, this.dispatch(node, fingerprint, nowMs), nowMs)
  }

  public endCall (node: number, call: CallId, nowMs: number): void {
    this._deliver(this.table(node).step({ type: 'finished', call }, nowMs), nowMs)
  }

  public crash (node: number, nowMs: number): CrashReport[] {
    this.crashes++
    return this._deliver(this.table(node).step({ type: 'crashed', instance: `s/${node}` }, nowMs), nowMs)
  }

  /** Restarts a node without its state under a new incarnation; it receives the reports of another node. */
  public restart (node: number, nowMs: number): void {
    this._incarnations[node] = (this._incarnations[node] ?? 0) + 1
    this._tables[node] = this._createTable(node)
    for (const report of this.table((node + 1) % NODES).reports(nowMs)) {
      this.table(node).step({ type: 'reported', report }, nowMs)
    }
  }

  public run (rounds: readonly Round[]): void {
    rounds.forEach(({ node, concurrentInnocents, finishedInnocents, restart }, index) => {
      const nowMs = index * 100
      if (restart !== undefined) {
        this.restart(restart, nowMs)
      }
      finishedInnocents.forEach(innocent => this.finishCall(node, `innocent-${innocent}`, nowMs))
      if (this.ask(node, POISON, nowMs) !== 'allow') {
        return
      }
      this.dispatch(node, POISON, nowMs)
      concurrentInnocents.filter(innocent => this.ask(node, `innocent-${innocent}`, nowMs) === 'allow')
        .forEach(innocent => this.dispatch(node, `innocent-${innocent}`, nowMs))
      this.crash(node, nowMs)
    })
  }

  private _deliver (actions: readonly QuarantineAction[], nowMs: number): CrashReport[] {
    const reports = actions.flatMap(action => action.type === 'report' ? [action.report] : [])
    if (this._forwardsReports) {
      this._tables.forEach(table => {
        for (const report of [...reports].reverse().concat(reports)) {
          table.step({ type: 'reported', report }, nowMs)
        }
      })
    }
    return reports
  }

  private _createTable (node: number): QuarantineTable {
    return new QuarantineTable({ node: `n${node}`, incarnation: this._incarnations[node] ?? 1, ...this._options })
  }
}

type Check = (nodes: NodeGroup, rounds: readonly Round[]) => void

function assertProperty (check: Check, options: Partial<QuarantineOptions> = {}, forwardsReports = true): void {
  fc.assert(fc.property(fc.array(roundArbitrary, { minLength: 8, maxLength: 30 }), rounds => {
    check(new NodeGroup(options, forwardsReports), rounds)
  }), { seed: 5014, numRuns: 200, endOnFailure: true })
}

/** Three crashes suffice beside requests that are not suspect; beside suspect ones a fourth may be needed. */
const checkCrashesBounded: Check = (nodes, rounds) => {
  nodes.run(rounds)
  expect(nodes.crashes).toBeLessThanOrEqual(4)
}

/** A request that was in flight at a crash by chance is allowed again once it has finished. */
const checkInnocentsCleared: Check = (nodes, rounds) => {
  nodes.run(rounds.map(each => ({ ...each, finishedInnocents: each.concurrentInnocents })))
  for (let innocent = 0; innocent < 6; innocent++) {
    expect(nodes.ask(0, `innocent-${innocent}`, rounds.length * 100)).toBe('allow')
  }
}

test('a poison request is quarantined within four crashes, whichever nodes receive it', () => {
  assertProperty(checkCrashesBounded)
})

test('the crash bound fails when reports are not forwarded', () => {
  expect(() => assertProperty(checkCrashesBounded, {}, false)).toThrow()
})

test('the crash bound fails when suspicion expires immediately', () => {
  expect(() => assertProperty(checkCrashesBounded, { retentionMs: 1 })).toThrow()
})

test('innocent requests are cleared when they finish', () => {
  assertProperty(checkInnocentsCleared)
})

test('innocent requests stay refused when finishing clears nothing', () => {
  expect(() => assertProperty((nodes, rounds) => {
    nodes.finishCall = () => {}
    checkInnocentsCleared(nodes, rounds)
  })).toThrow()
})

test('two crashes alone or three beside other requests lead to quarantine', () => {
  for (const [concurrent, crashes] of [[0, 2], [1, 3], [8, 3]] as const) {
    const nodes = new NodeGroup()
    for (let crash = 0; crash < crashes; crash++) {
      expect(nodes.ask(3, POISON, crash)).toBe('allow')
      nodes.dispatch(crash, POISON, crash)
      Array.from({ length: concurrent }, (_, index) => nodes.dispatch(crash, `other-${crash}-${index}`, crash))
      nodes.crash(crash, crash)
    }
    expect(nodes.ask(3, POISON, 10)).toBe('refuse')
  }
})

test('a node runs one call of a suspect request at a time', () => {
  const nodes = new NodeGroup()
  nodes.dispatch(0, POISON, 0)
  nodes.crash(0, 0)
  expect(nodes.ask(1, POISON, 1)).toBe('allow')
  nodes.dispatch(1, POISON, 1)
  expect(nodes.ask(1, POISON, 1)).toBe('refuse')
})

// The nodes form a chain in which each is connected only to its neighbours. Each node must send each of the two reports
// once to either side and drop it when it comes back.
test('reports reach nodes without a link to the crashed one, and forwarding ends', () => {
  const tables = Array.from({ length: 6 }, (_, node) => new QuarantineTable({ node: `n${node}`, incarnation: 1 }))
  let messages = 0
  const forward = (from: number, actions: readonly QuarantineAction[]): void => {
    for (const action of actions) {
      for (const to of action.type === 'report' ? [from - 1, from + 1] : []) {
        messages++
        const event = action.type === 'report' ? { type: 'reported' as const, report: action.report } : undefined
        forward(to, event === undefined ? [] : tables[to]?.step(event, 1) ?? [])
      }
    }
  }
  for (const call of [1, 2]) {
    tables[0]?.step({ type: 'dispatched', call, instance: 's/n0', fingerprint: POISON }, 0)
    forward(0, tables[0]?.step({ type: 'crashed', instance: 's/n0' }, 0) ?? [])
  }
  for (const table of tables) {
    expect(table.step({ type: 'ask', call: 9, fingerprint: POISON }, 2)).toMatchObject([{ type: 'refuse' }])
  }
  expect(messages).toBe(2 * 2 * tables.length)
})

test('a call that did not run to its end clears nothing', () => {
  const nodes = new NodeGroup()
  for (const ran of [false, undefined]) {
    nodes.dispatch(0, POISON, 0)
    nodes.crash(0, 0)
    const call = nodes.dispatch(0, POISON, 1)
    nodes.table(0).step(ran === undefined ? { type: 'finished', call } : { type: 'finished', call, ran }, 2)
  }
  expect(nodes.ask(0, POISON, 3)).toBe('refuse')
})

// A restarted node has lost its window of received reports. One that arrives again must not add suspicion twice, which
// would quarantine the request after a single crash.
test('a report counts once, also after its sender restarted', () => {
  const nodes = new NodeGroup()
  nodes.dispatch(0, POISON, 0)
  const [report] = nodes.crash(0, 0)
  nodes.restart(0, 10)
  nodes.restart(1, 20)
  for (let node = 0; node < NODES; node++) {
    nodes.table(node).step({ type: 'reported', report: { ...report as CrashReport, ageMs: 30 } }, 30)
    expect(nodes.ask(node, POISON, 40)).toBe('allow')
  }
  nodes.dispatch(0, POISON, 50)
  nodes.crash(0, 50)
  expect(nodes.ask(2, POISON, 60)).toBe('refuse')
})

// Restarted nodes receive the reports from others with their age, so forwarding must not extend a quarantine.
test('a quarantine expires after the retention time, however often its reports are forwarded', () => {
  const nodes = new NodeGroup()
  const { retentionMs } = QUARANTINE_DEFAULTS
  for (const atMs of [0, 1]) {
    nodes.dispatch(0, POISON, atMs)
    nodes.crash(0, atMs)
  }
  for (let atMs = 100_000; atMs < retentionMs; atMs += 100_000) {
    nodes.restart(atMs / 100_000 % NODES, atMs)
    expect(nodes.ask(atMs / 100_000 % NODES, POISON, atMs)).toBe('refuse')
  }
  for (let node = 0; node < NODES; node++) {
    expect(nodes.ask(node, POISON, retentionMs + 1)).toBe('allow')
    nodes.table(node).step({ type: 'tick' }, retentionMs + 1)
    expect(nodes.table(node).size).toBe(0)
  }
})

test('a request that also runs to its end elsewhere leaves the quarantine', () => {
  const nodes = new NodeGroup()
  const call = nodes.dispatch(3, POISON, 0)
  for (const node of [0, 1, 2]) {
    nodes.dispatch(node, POISON, 0)
    nodes.crash(node, 0)
  }
  expect(nodes.ask(0, POISON, 1)).toBe('refuse')
  nodes.endCall(3, call, 2)
  for (let node = 0; node < NODES; node++) expect(nodes.ask(node, POISON, 3)).toBe('allow')
})

// When a rack loses power, what runs everywhere must not be taken for the cause.
test('instances that crash together do not quarantine a request that ran to its end there before', () => {
  const nodes = new NodeGroup()
  for (let node = 0; node < NODES; node++) nodes.finishCall(node, 'popular', 0)
  for (let node = 0; node < NODES; node++) nodes.dispatch(node, 'popular', 1)
  for (let node = 0; node < NODES; node++) nodes.crash(node, 2)
  expect(nodes.ask(0, 'popular', 3)).toBe('allow')
})

test('a request that starts to crash instances after it ran well is quarantined within five crashes', () => {
  const nodes = new NodeGroup()
  for (let node = 0; node < NODES; node++) nodes.finishCall(node, POISON, 0)
  for (let crash = 0; nodes.ask(crash % NODES, POISON, crash) === 'allow'; crash++) {
    nodes.dispatch(crash % NODES, POISON, crash)
    nodes.dispatch(crash % NODES, `other-${crash}`, crash)
    nodes.crash(crash % NODES, crash)
  }
  expect(nodes.crashes).toBeLessThanOrEqual(5)
})

test('a quarantined request is tried at one node and at most twice', () => {
  const nodes = new NodeGroup()
  for (let crash = 0; crash < 2; crash++) {
    nodes.dispatch(crash, POISON, crash)
    nodes.crash(crash, crash)
  }
  const trials: number[] = []
  for (let atMs = 0; atMs < QUARANTINE_DEFAULTS.retentionMs; atMs += 1000) {
    const allowed = [0, 1, 2, 3].filter(node => nodes.ask(node, POISON, atMs) === 'allow')
    expect(allowed.length).toBeLessThanOrEqual(1)
    for (const node of allowed) {
      trials.push(atMs)
      nodes.dispatch(node, POISON, atMs)
      expect(nodes.ask(node, POISON, atMs)).toBe('refuse')
      nodes.crash(node, atMs)
    }
  }
  expect(trials).toEqual([31_000, 271_000])
})

test('a trial that runs to its end clears the request at all nodes', () => {
  const nodes = new NodeGroup()
  for (let crash = 0; crash < 2; crash++) {
    nodes.dispatch(0, POISON, crash)
    nodes.crash(0, crash)
  }
  expect([0, 1].map(node => nodes.ask(node, POISON, 40_000))).toEqual(['allow', 'refuse'])
  nodes.finishCall(0, POISON, 40_000)
  expect([0, 1].map(node => nodes.ask(node, POISON, 40_001))).toEqual(['allow', 'allow'])
})

test('a node that starts learns of a quarantine also when many reports have followed it', () => {
  const nodes = new NodeGroup()
  const between = Array.from({ length: 100 }, (_, index) => `other-${index}`)
  for (const fingerprint of [POISON, ...between, POISON]) {
    nodes.dispatch(0, fingerprint, 0)
    nodes.crash(0, 0)
  }
  nodes.restart(2, 4)
  expect(nodes.ask(2, POISON, 5)).toBe('refuse')
})

test('what is handed to a process that connects is bounded and holds the quarantined requests', () => {
  const nodes = new NodeGroup()
  const innocents = Array.from({ length: 500 }, (_, index) => `other-${index}`)
  for (const fingerprint of [POISON, POISON, ...innocents]) {
    nodes.dispatch(0, fingerprint, 0)
    nodes.crash(0, 0)
  }
  const reports = nodes.table(1).reports(1)
  expect(new Set(reports.map(({ fingerprint }) => fingerprint)).size).toBe(MAX_SUSPECTS_HANDED_ON)
  expect(reports.filter(({ fingerprint }) => fingerprint === POISON)).toHaveLength(2)
})

test('memory stays bounded under many crashes', () => {
  const nodes = new NodeGroup({ maxFingerprints: 50, maxDispatched: 20 })
  for (let crash = 0; crash < 300; crash++) {
    Array.from({ length: 30 }, (_, index) => nodes.dispatch(0, `f-${crash}-${index}`, crash))
    expect(nodes.crash(0, crash)).toHaveLength(20)
    expect(nodes.table(1).size).toBe(Math.min(50, (crash + 1) * 20))
  }
})

test('the fingerprint differs by service, method, target and body', async () => {
  const fingerprint = new RequestFingerprint(computeSha1)
  const bodies = ['', 'a', 'b', 'a'.repeat(5000), 'a'.repeat(5001)].map(text => new TextEncoder().encode(text))
  const fingerprints = ['dies', 'custody'].flatMap(service => ['GET', 'POST'].flatMap(method => ['/', '/a'].flatMap(target =>
    bodies.map(body => fingerprint.of(service, method, target, body, body.length)))))
  expect(new Set(fingerprints).size).toBe(40)
  expect(fingerprint.of('dies', 'GET', '/', new Uint8Array(), 0)).toBe(fingerprints[0])
})
