import fc from 'fast-check'
import { expect, test } from 'vitest'
import { MAX_SLOWNESS_WAIT_MS, SLOWNESS_RECHECK_MS } from './Constants.js'
import { SeededRandom } from '../SeededRandom.js'
import { computeRequestRank } from './RequestRank.js'
import { InstanceGate } from './InstanceGate.js'
import { actionTypes, fill, makeCall, makeGate, startedIds } from '../../../test/support/GateCalls.js'
import type { GateAction, GateCall } from './Types.js'

test('a call starts while a slot is free', () => {
  expect(actionTypes(makeGate(2).step({ type: 'offer', call: makeCall() }, 0))).toEqual(['start'])
})

test('a call that may move is declined at once when it would have to queue', () => {
  const gate = makeGate(2)
  fill(gate, 2)
  expect(gate.step({ type: 'offer', call: makeCall({ moveMs: 0 }) }, 0)).toMatchObject([{ type: 'decline', reason: 'busy' }])
})

test('a call that may move is declined while the VM is slow', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  expect(gate.step({ type: 'offer', call: makeCall({ moveMs: 0 }) }, 1)).toMatchObject([{ type: 'decline', reason: 'slow' }])
})

test('a call that does not move is queued until the VM has recovered', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  const calls = [makeCall(), makeCall({ moveMs: 1000 })]
  for (const call of calls) expect(actionTypes(gate.step({ type: 'offer', call }, 1))).not.toContain('start')
  expect(actionTypes(gate.step({ type: 'tick' }, SLOWNESS_RECHECK_MS))).toContain('measure')
  expect(actionTypes(gate.step({ type: 'measured', slowness: 5 }, SLOWNESS_RECHECK_MS + 1))).not.toContain('start')
  expect(actionTypes(gate.step({ type: 'tick' }, 2 * SLOWNESS_RECHECK_MS + 1))).toContain('measure')
  expect(startedIds(gate.step({ type: 'measured', slowness: 1 }, 70))).toEqual(calls.map(({ id }) => id))
})

test('no more calls wait for the VM to recover than there are slots', () => {
  const gate = makeGate(2)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  const offer = (): string[] => actionTypes(gate.step({ type: 'offer', call: makeCall({ moveMs: 1000, objectiveAtMs: 100 }) }, 1))
  expect([...offer(), ...offer()]).not.toContain('decline')
  expect(offer()).toContain('decline')
})

test('a call starts after a limited wait when the VM stays slow or cannot be measured', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  const call = makeCall({ objectiveAtMs: 2000, deadlineAtMs: 3000 })
  gate.step({ type: 'offer', call }, 1)
  gate.step({ type: 'tick' }, SLOWNESS_RECHECK_MS)
  const measured = gate.step({ type: 'measured', slowness: 5 }, MAX_SLOWNESS_WAIT_MS)
  expect(startedIds([...measured, ...gate.step({ type: 'tick' }, MAX_SLOWNESS_WAIT_MS + 1)])).toEqual([call.id])
  const unmeasured = makeCall({ objectiveAtMs: 2000, deadlineAtMs: 3000 })
  expect(actionTypes(gate.step({ type: 'offer', call: unmeasured }, 1000))).toContain('measure')
  expect(startedIds(gate.step({ type: 'measured', slowness: undefined }, 1020))).toEqual([unmeasured.id])
})

test('a VM that was never slow is not measured', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 1 }, 0)
  expect(actionTypes(gate.step({ type: 'offer', call: makeCall() }, 5000))).toEqual(['start'])
})

test('a call that is expensive to move queues while it can still meet its objective', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  expect(actionTypes(gate.step({ type: 'offer', call: makeCall({ moveMs: 1000 }) }, 1))).toEqual(['wake'])
  const tight = makeCall({ moveMs: 1000, objectiveAtMs: 60 })
  expect(gate.step({ type: 'offer', call: tight }, 1)).toMatchObject([{ type: 'decline', reason: 'busy' }])
})

test('a hedge uses only slots that would otherwise stay free', () => {
  const gate = makeGate(4)
  const hedge = (): GateCall => makeCall({ isHedge: true })
  expect(actionTypes(gate.step({ type: 'offer', call: hedge() }, 0))).toEqual(['start'])
  fill(gate, 1)
  expect(gate.step({ type: 'offer', call: hedge() }, 0)).toMatchObject([{ type: 'decline', reason: 'busy' }])
  const slow = makeGate(4)
  slow.step({ type: 'slowness', slowness: 5 }, 0)
  expect(slow.step({ type: 'offer', call: hedge() }, 1)).toMatchObject([{ type: 'decline', reason: 'slow' }])
})

test('without slots every call is declined, queued calls included', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const waiting = makeCall()
  gate.step({ type: 'offer', call: waiting }, 0)
  const actions = gate.step({ type: 'slots', slots: 0 }, 1)
  expect(actions).toMatchObject([{ type: 'decline', call: { id: waiting.id }, reason: 'no-slots' }])
  expect(gate.step({ type: 'offer', call: makeCall() }, 2)).toMatchObject([{ type: 'decline', reason: 'no-slots' }])
})

test('nested calls start first, then calls of higher priority', () => {
  const gate = makeGate(1)
  const [running] = fill(gate, 1) as [GateCall]
  const lessUrgent = makeCall({ priority: 2 })
  const urgent = makeCall({ priority: 1 })
  const nested = makeCall({ priority: 3, nested: true })
  for (const call of [lessUrgent, urgent, nested]) gate.step({ type: 'offer', call }, 0)
  const order: number[] = []
  let next = running.id
  for (let i = 0; i < 3; i++) {
    const [id] = startedIds(gate.step({ type: 'finished', id: next, workMs: 1 }, i)) as [number]
    order.push(id)
    next = id
  }
  expect(order).toEqual([nested.id, urgent.id, lessUrgent.id])
})

// A request whose nested calls start only in part fails as a whole and has wasted the slots that it used. Gates that
// order nested calls independently of each other produce many such requests during an overload.
test('during an overload a request gets mostly all of its nested calls or none', () => {
  const gates = [makeGate(2), makeGate(2)]
  const random = new SeededRandom(9)
  const finishedByRequest = new Map<string, number>()
  const running: Array<{ atMs: number, gate: InstanceGate, call: GateCall }> = []
  const requestByCall = new Map<number, string>()
  let requestCount = 0
  for (let nowMs = 0; nowMs < 60_000; nowMs++) {
    const handle = (gate: InstanceGate, actions: readonly GateAction[]): void => {
      for (const action of actions) if (action.type === 'start') running.push({ atMs: nowMs + 20, gate, call: action.call })
    }
    while ((running[0]?.atMs ?? Infinity) <= nowMs) {
      const { gate, call } = running.shift() as typeof running[0]
      const request = requestByCall.get(call.id) ?? ''
      finishedByRequest.set(request, (finishedByRequest.get(request) ?? 0) + 1)
      handle(gate, gate.step({ type: 'finished', id: call.id, workMs: 20 }, nowMs))
    }
    for (const gate of gates) handle(gate, gate.step({ type: 'tick' }, nowMs))
    // Each request makes two calls; the gates have capacity for two in three.
    if (random.next() > 0.15) continue
    const request = `r${++requestCount}`
    for (let i = 0; i < 2; i++) {
      const gate = gates[Math.floor(2 * random.next())] as InstanceGate
      const call = makeCall({ nested: true, requestRank: computeRequestRank(`${request}.${i}`), objectiveAtMs: nowMs + 100, deadlineAtMs: nowMs + 250 })
      requestByCall.set(call.id, request)
      handle(gate, gate.step({ type: 'offer', call }, nowMs))
    }
  }
  const counts = [...finishedByRequest.values()]
  const completeCount = counts.filter(count => count === 2).length
  expect(completeCount / requestCount).toBeGreaterThan(0.55)
  expect((counts.length - completeCount) / requestCount).toBeLessThan(0.2)
})

test('a call past its objective starts only when no other call is queued', () => {
  const gate = makeGate(1)
  const [running] = fill(gate, 1) as [GateCall]
  const late = makeCall({ objectiveAtMs: -1 })
  const inTime = makeCall({ priority: 5 })
  gate.step({ type: 'offer', call: late }, 0)
  gate.step({ type: 'offer', call: inTime }, 0)
  expect(startedIds(gate.step({ type: 'finished', id: running.id, workMs: 10 }, 1))).toEqual([inTime.id])
  expect(startedIds(gate.step({ type: 'finished', id: inTime.id, workMs: 10 }, 2))).toEqual([late.id])
})

test('a call past its objective leaves slots free for others', () => {
  const gate = makeGate(4)
  const late = Array.from({ length: 4 }, () => makeCall({ objectiveAtMs: -1 }))
  const started = late.flatMap(call => startedIds(gate.step({ type: 'offer', call }, 0)))
  expect(started).toHaveLength(3)
  expect(actionTypes(gate.step({ type: 'offer', call: makeCall() }, 0))).toEqual(['start'])
})

// During an overload a call past its objective never starts, so queueing it only delays its refusal until its deadline.
test('during an overload calls past their objective are declined early rather than at their deadline', () => {
  const gate = makeGate(1)
  const waitedMs: number[] = []
  const offeredAtMs = new Map<number, number>()
  let running: number | undefined
  const handle = (actions: readonly GateAction[], nowMs: number): void => {
    for (const action of actions) {
      if (action.type === 'start') running = action.call.id
      if (action.type === 'decline') waitedMs.push(nowMs - (offeredAtMs.get(action.call.id) ?? nowMs))
    }
  }
  for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
    if (nowMs % 50 === 0 && running !== undefined) {
      const id = running
      running = undefined
      handle(gate.step({ type: 'finished', id, workMs: 50 }, nowMs), nowMs)
    }
    const call = makeCall({ objectiveAtMs: nowMs % 100 === 0 ? nowMs - 1 : nowMs + 120, deadlineAtMs: nowMs + 1000 })
    offeredAtMs.set(call.id, nowMs)
    handle(gate.step({ type: 'offer', call }, nowMs), nowMs)
    handle(gate.step({ type: 'tick' }, nowMs), nowMs)
  }
  const longWaits = waitedMs.filter(ms => ms > 500).length
  expect(waitedMs.length).toBeGreaterThan(200)
  expect(longWaits / waitedMs.length).toBeLessThan(0.02)
})

test('a call that cannot finish before its deadline is declined at once', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const call = makeCall({ deadlineAtMs: 10, objectiveAtMs: 10 })
  expect(gate.step({ type: 'offer', call }, 0)).toMatchObject([{ type: 'decline', reason: 'too-late' }])
})

test('a queued call is declined early enough for its sender to be notified before the deadline', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const call = makeCall({ deadlineAtMs: 400 })
  const actions = gate.step({ type: 'offer', call }, 0)
  const [wake] = actions.filter(action => action.type === 'wake')
  expect(wake?.atMs).toBeLessThan(400)
  const woken = gate.step({ type: 'tick' }, wake?.atMs ?? 0)
  expect(woken).toMatchObject([{ type: 'decline', call: { id: call.id }, reason: 'too-late' }])
})

test('a wake-up that comes slightly early is requested again', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const [wake] = gate.step({ type: 'offer', call: makeCall({ deadlineAtMs: 400 }) }, 0)
  const dueMs = wake?.type === 'wake' ? wake.atMs : 0
  expect(gate.step({ type: 'tick' }, dueMs - 0.3)).toContainEqual({ type: 'wake', atMs: dueMs })
})

test('a cancelled call frees its slot or its place in the queue', () => {
  const gate = makeGate(1)
  const [running] = fill(gate, 1) as [GateCall]
  const cancelled = makeCall()
  const next = makeCall()
  gate.step({ type: 'offer', call: cancelled }, 0)
  gate.step({ type: 'offer', call: next }, 0)
  gate.step({ type: 'cancelled', id: cancelled.id }, 1)
  expect(startedIds(gate.step({ type: 'cancelled', id: running.id }, 2))).toEqual([next.id])
})

test('every call ends once, and the load report matches the open calls', () => {
  const commandArbitrary = fc.record({
    kind: fc.constantFrom('offer', 'finish', 'cancel', 'tick', 'slots', 'measured'),
    pick: fc.nat(50),
    stepMs: fc.nat(200),
    nested: fc.boolean(),
    priority: fc.nat(2),
    leftMs: fc.integer({ min: 1, max: 800 }),
    objectiveLeftMs: fc.integer({ min: -300, max: 400 }),
    moveMs: fc.option(fc.nat(500), { nil: undefined }),
    isHedge: fc.boolean()
  })
  fc.assert(fc.property(fc.array(commandArbitrary, { maxLength: 200 }), commands => {
    const gate = new InstanceGate()
    const open = new Map<number, 'queued' | 'running'>()
    let slots = 6
    let nowMs = 0
    const handle = (actions: readonly GateAction[]): void => {
      for (const action of actions) {
        if (action.type !== 'start' && action.type !== 'decline') continue
        expect(open.get(action.call.id)).toBe('queued')
        if (action.type === 'start') open.set(action.call.id, 'running')
        else open.delete(action.call.id)
      }
    }
    handle(gate.step({ type: 'slots', slots }, 0))
    commands.forEach((command, index) => {
      nowMs += command.stepMs
      const ids = [...open.keys()]
      const id = ids[command.pick % Math.max(1, ids.length)]
      if (command.kind === 'offer') {
        open.set(index, 'queued')
        const { nested, priority, moveMs, isHedge } = command
        const objectiveAtMs = nowMs + command.objectiveLeftMs
        const deadlineAtMs = nowMs + command.leftMs
        const call = { id: index, work: 'w', requestRank: 0.5, nested, priority, objectiveAtMs, deadlineAtMs, moveMs, isHedge }
        handle(gate.step({ type: 'offer', call }, nowMs))
      }
      if (command.kind === 'finish' && id !== undefined && open.get(id) === 'running') {
        open.delete(id)
        handle(gate.step({ type: 'finished', id, workMs: command.stepMs }, nowMs))
      }
      if (command.kind === 'cancel' && id !== undefined) {
        open.delete(id)
        handle(gate.step({ type: 'cancelled', id }, nowMs))
      }
      if (command.kind === 'measured') handle(gate.step({ type: 'measured', slowness: [undefined, 1, 5][command.priority] }, nowMs))
      if (command.kind === 'tick') handle(gate.step({ type: 'tick' }, nowMs))
      if (command.kind === 'slots') {
        slots = command.priority * 3
        handle(gate.step({ type: 'slots', slots }, nowMs))
      }
      const running = [...open.values()].filter(state => state === 'running').length
      expect(gate.load(nowMs)).toMatchObject({ running, queued: open.size - running })
    })
  }), { seed: 7, numRuns: 200 })
})

test('the load report tells the share of the recent runs that failed', () => {
  const gate = makeGate(1)
  const run = (workMs: number | undefined): void => {
    const call = makeCall()
    gate.step({ type: 'offer', call }, 0)
    gate.step({ type: 'finished', id: call.id, workMs }, 0)
  }
  for (let i = 0; i < 40; i++) run(i % 2 === 0 ? undefined : 50)
  expect(gate.load(0).failing).toBeGreaterThan(0.35)
  expect(gate.load(0).failing).toBeLessThan(0.65)
  for (let i = 0; i < 60; i++) run(50)
  expect(gate.load(0).failing).toBe(0)
})

/** Offers calls and finishes them at once, every 10 ms, and returns when each call started. */
function playLimited (gate: InstanceGate, untilMs: number): number[] {
  const startsMs: number[] = []
  for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
    const call = makeCall({ nested: nowMs % 3 === 0, isHedge: nowMs % 7 === 0, deadlineAtMs: nowMs + 1000 })
    for (const id of startedIds(gate.step({ type: 'offer', call }, nowMs))) {
      startsMs.push(nowMs)
      gate.step({ type: 'finished', id, workMs: 5 }, nowMs + 5)
    }
  }
  return startsMs
}

test('first attempts, hedges and nested calls together start within the request limit', () => {
  const gate = makeGate(6)
  gate.step({ type: 'requestLimit', perS: 5 }, 0)
  const startsMs = playLimited(gate, 12_000)
  for (const fromMs of startsMs) {
    expect(startsMs.filter(ms => ms >= fromMs && ms < fromMs + 4000).length).toBeLessThanOrEqual(1.5 * 5 * 4 + 5)
  }
  expect(startsMs.length).toBeGreaterThan(0.9 * 5 * 12)
})

test('a call beyond the request limit is declined at once, with the time until one is allowed', () => {
  const gate = makeGate(6)
  gate.step({ type: 'requestLimit', perS: 4 }, 0)
  expect(gate.step({ type: 'offer', call: makeCall({ nested: true }) }, 0)).toMatchObject([
    { type: 'decline', reason: 'rate-limited', retryAfterMs: 251 }
  ])
  expect(gate.load(0).closedForMs).toBe(251)
  expect(actionTypes(gate.step({ type: 'offer', call: makeCall() }, 250))).toEqual(['start'])
})

test('calls that are queued when a request limit is named are declined beyond it', () => {
  const gate = makeGate(1)
  fill(gate, 3)
  const actions = gate.step({ type: 'requestLimit', perS: 5 }, 0)
  expect(actions).toMatchObject([{ type: 'decline', reason: 'rate-limited' }, { type: 'decline', reason: 'rate-limited' }])
})

test('a queued call keeps its place under the request limit', () => {
  const gate = makeGate(1)
  gate.step({ type: 'requestLimit', perS: 2 }, 0)
  const running = makeCall({ deadlineAtMs: 5000, objectiveAtMs: 5000 })
  const queued = makeCall({ deadlineAtMs: 5000, objectiveAtMs: 5000 })
  gate.step({ type: 'offer', call: running }, 1000)
  expect(actionTypes(gate.step({ type: 'offer', call: queued }, 1000))).not.toContain('decline')
  expect(gate.step({ type: 'offer', call: makeCall({ deadlineAtMs: 5000 }) }, 1000)).toMatchObject([{ type: 'decline' }])
  expect(startedIds(gate.step({ type: 'finished', id: running.id, workMs: 50 }, 1050))).toEqual([queued.id])
})

test('a request that is sent to the instance once more counts against the request limit', () => {
  const gate = makeGate(6)
  gate.step({ type: 'requestLimit', perS: 2 }, 0)
  expect(gate.load(500).closedForMs).toBe(undefined)
  gate.step({ type: 'resent' }, 500)
  expect(gate.load(500).closedForMs).toBe(501)
})

// Without it, the gate would take bodies that can't arrive in time, and start late calls before those in time.
test('the time to move a body counts towards the deadline and the objective of a call', () => {
  const gate = makeGate(1)
  const late = makeCall({ deadlineAtMs: 600, transferMs: 560 })
  expect(gate.step({ type: 'offer', call: late }, 0)).toMatchObject([{ type: 'decline', reason: 'too-late' }])
  const [running] = fill(gate, 1) as [GateCall]
  const large = makeCall({ objectiveAtMs: 600, deadlineAtMs: 5000, transferMs: 600 })
  const small = makeCall({ objectiveAtMs: 600, deadlineAtMs: 5000, transferMs: 50 })
  for (const call of [large, small]) gate.step({ type: 'offer', call }, 0)
  expect(startedIds(gate.step({ type: 'finished', id: running.id, workMs: 10 }, 1))).toEqual([small.id])
})

test('a queued call with a body to move is declined when the body can not arrive before the deadline any more', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const call = makeCall({ deadlineAtMs: 2000, objectiveAtMs: 2000, transferMs: 1000 })
  const [wake] = gate.step({ type: 'offer', call }, 0)
  expect(wake).toEqual({ type: 'wake', atMs: 950 })
  expect(gate.step({ type: 'tick' }, 950)).toMatchObject([{ type: 'decline', reason: 'too-late' }])
})

// A slot is held from the promise of a start, so a call that may move must not wait behind several transfers.
test('calls that wait behind bodies to move are expected to wait longer', () => {
  const waits = [0, 600].map(transferMs => {
    const gate = makeGate(1)
    for (let i = 0; i < 50; i++) {
      const call = makeCall({ deadlineAtMs: 10_000, transferMs })
      gate.step({ type: 'offer', call }, 0)
      gate.step({ type: 'finished', id: call.id, workMs: 50 }, 0)
    }
    fill(gate, 1)
    const [action] = gate.step({ type: 'offer', call: makeCall({ moveMs: 0 }) }, 0)
    return action?.type === 'decline' ? action.retryAfterMs : NaN
  }) as [number, number]
  expect(waits[1] - waits[0]).toBeGreaterThan(500)
})
