import fc from 'fast-check'
import { expect, test } from 'vitest'
import { MAX_SLOWNESS_WAIT_MS, SLOWNESS_RECHECK_MS } from './Constants.js'
import { SeededRandom } from '../SeededRandom.js'
import { computeRequestRank } from './RequestRank.js'
import { InstanceGate } from './InstanceGate.js'
import type { GateAction, GateCall } from './Types.js'

let lastId = 0

function makeCall (changes: Partial<GateCall> = {}): GateCall {
  return {
    id: ++lastId,
    work: 'route',
    nested: false,
    requestRank: 0.5,
    priority: 1,
    objectiveAtMs: 300,
    deadlineAtMs: 1000,
    moveMs: undefined,
    isHedge: false,
    ...changes
  }
}

function makeGate (slots: number): InstanceGate {
  const gate = new InstanceGate()
  gate.step({ type: 'slots', slots }, 0)
  return gate
}

function kinds (actions: readonly GateAction[]): string[] {
  return actions.map(action => action.type)
}

function fill (gate: InstanceGate, count: number): GateCall[] {
  return Array.from({ length: count }, () => {
    const call = makeCall()
    gate.step({ type: 'offer', call }, 0)
    return call
  })
}

function startedIds (actions: readonly GateAction[]): number[] {
  return actions.flatMap(action => action.type === 'start' ? [action.call.id] : [])
}

test('a call starts while there is room', () => {
  expect(kinds(makeGate(2).step({ type: 'offer', call: makeCall() }, 0))).toEqual(['start'])
})

test('a call that may go elsewhere is handed back at once when it would wait', () => {
  const gate = makeGate(2)
  fill(gate, 2)
  expect(gate.step({ type: 'offer', call: makeCall({ moveMs: 0 }) }, 0)).toMatchObject([{ type: 'decline', reason: 'busy' }])
})

test('a call that may go elsewhere is handed back while the VM is slow', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  expect(gate.step({ type: 'offer', call: makeCall({ moveMs: 0 }) }, 1)).toMatchObject([{ type: 'decline', reason: 'slow' }])
})

test('a call that stays is held until the VM is back at its usual pace', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  const calls = [makeCall(), makeCall({ moveMs: 1000 })]
  for (const call of calls) expect(kinds(gate.step({ type: 'offer', call }, 1))).not.toContain('start')
  expect(kinds(gate.step({ type: 'tick' }, SLOWNESS_RECHECK_MS))).toContain('measure')
  expect(kinds(gate.step({ type: 'measured', slowness: 5 }, SLOWNESS_RECHECK_MS + 1))).not.toContain('start')
  expect(kinds(gate.step({ type: 'tick' }, 2 * SLOWNESS_RECHECK_MS + 1))).toContain('measure')
  expect(startedIds(gate.step({ type: 'measured', slowness: 1 }, 70))).toEqual(calls.map(({ id }) => id))
})

test('no more calls are held for a better pace than there is room for', () => {
  const gate = makeGate(2)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  const offer = (): string[] => kinds(gate.step({ type: 'offer', call: makeCall({ moveMs: 1000, objectiveAtMs: 100 }) }, 1))
  expect([...offer(), ...offer()]).not.toContain('decline')
  expect(offer()).toContain('decline')
})

test('a call is not held for ever by a VM that stays slow, nor by one that tells nothing', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 5 }, 0)
  const call = makeCall({ objectiveAtMs: 2000, deadlineAtMs: 3000 })
  gate.step({ type: 'offer', call }, 1)
  gate.step({ type: 'tick' }, SLOWNESS_RECHECK_MS)
  const measured = gate.step({ type: 'measured', slowness: 5 }, MAX_SLOWNESS_WAIT_MS)
  expect(startedIds([...measured, ...gate.step({ type: 'tick' }, MAX_SLOWNESS_WAIT_MS + 1)])).toEqual([call.id])
  const blind = makeCall({ objectiveAtMs: 2000, deadlineAtMs: 3000 })
  expect(kinds(gate.step({ type: 'offer', call: blind }, 1000))).toContain('measure')
  expect(startedIds(gate.step({ type: 'measured', slowness: undefined }, 1020))).toEqual([blind.id])
})

test('a VM whose pace never changes is not asked for it', () => {
  const gate = makeGate(4)
  gate.step({ type: 'slowness', slowness: 1 }, 0)
  expect(kinds(gate.step({ type: 'offer', call: makeCall() }, 5000))).toEqual(['start'])
})

test('a call that is dear to move waits while it can still meet its objective', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  expect(kinds(gate.step({ type: 'offer', call: makeCall({ moveMs: 1000 }) }, 1))).toEqual(['wake'])
  const late = makeCall({ moveMs: 1000, objectiveAtMs: 60 })
  expect(gate.step({ type: 'offer', call: late }, 1)).toMatchObject([{ type: 'decline', reason: 'busy' }])
})

test('a duplicate takes only room that would stay free', () => {
  const gate = makeGate(4)
  const hedge = (): GateCall => makeCall({ isHedge: true })
  expect(kinds(gate.step({ type: 'offer', call: hedge() }, 0))).toEqual(['start'])
  fill(gate, 1)
  expect(gate.step({ type: 'offer', call: hedge() }, 0)).toMatchObject([{ type: 'decline', reason: 'busy' }])
  const slow = makeGate(4)
  slow.step({ type: 'slowness', slowness: 5 }, 0)
  expect(slow.step({ type: 'offer', call: hedge() }, 1)).toMatchObject([{ type: 'decline', reason: 'slow' }])
})

test('without slots every call is turned away, those that wait too', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const waiting = makeCall()
  gate.step({ type: 'offer', call: waiting }, 0)
  const actions = gate.step({ type: 'slots', slots: 0 }, 1)
  expect(actions).toMatchObject([{ type: 'decline', call: { id: waiting.id }, reason: 'no-slots' }])
  expect(gate.step({ type: 'offer', call: makeCall() }, 2)).toMatchObject([{ type: 'decline', reason: 'no-slots' }])
})

test('nested calls go first, then the more urgent, then the earlier', () => {
  const gate = makeGate(1)
  const [running] = fill(gate, 1) as [GateCall]
  const late = makeCall({ priority: 2 })
  const urgent = makeCall({ priority: 1 })
  const nested = makeCall({ priority: 3, nested: true })
  for (const call of [late, urgent, nested]) gate.step({ type: 'offer', call }, 0)
  const order: number[] = []
  let next = running.id
  for (let i = 0; i < 3; i++) {
    const [id] = startedIds(gate.step({ type: 'finished', id: next, workMs: 1 }, i)) as [number]
    order.push(id)
    next = id
  }
  expect(order).toEqual([nested.id, urgent.id, late.id])
})

test('requests that make several calls get all of them or none when there is not room for all', () => {
  const gates = [makeGate(2), makeGate(2)]
  const random = new SeededRandom(9)
  const done = new Map<string, number>()
  const ends: Array<{ atMs: number, gate: InstanceGate, call: GateCall }> = []
  const parents = new Map<number, string>()
  let asked = 0
  for (let nowMs = 0; nowMs < 60_000; nowMs++) {
    const take = (gate: InstanceGate, actions: readonly GateAction[]): void => {
      for (const action of actions) if (action.type === 'start') ends.push({ atMs: nowMs + 20, gate, call: action.call })
    }
    while ((ends[0]?.atMs ?? Infinity) <= nowMs) {
      const { gate, call } = ends.shift() as typeof ends[0]
      const parent = parents.get(call.id) ?? ''
      done.set(parent, (done.get(parent) ?? 0) + 1)
      take(gate, gate.step({ type: 'finished', id: call.id, workMs: 20 }, nowMs))
    }
    for (const gate of gates) take(gate, gate.step({ type: 'tick' }, nowMs))
    // Each makes two calls; the gates have room for two in three.
    if (random.next() > 0.15) continue
    const parent = `r${++asked}`
    for (let i = 0; i < 2; i++) {
      const gate = gates[Math.floor(2 * random.next())] as InstanceGate
      const call = makeCall({ nested: true, requestRank: computeRequestRank(`${parent}.${i}`), objectiveAtMs: nowMs + 100, deadlineAtMs: nowMs + 250 })
      parents.set(call.id, parent)
      take(gate, gate.step({ type: 'offer', call }, nowMs))
    }
  }
  const counts = [...done.values()]
  const whole = counts.filter(count => count === 2).length
  expect(whole / asked).toBeGreaterThan(0.55)
  expect((counts.length - whole) / asked).toBeLessThan(0.2)
})

test('a call past its objective starts only when no other waits', () => {
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
  expect(kinds(gate.step({ type: 'offer', call: makeCall() }, 0))).toEqual(['start'])
})

test('during an overload callers past their objective are told at once instead of held until their deadline', () => {
  const gate = makeGate(1)
  const heldMs: number[] = []
  const offeredAtMs = new Map<number, number>()
  let running: number | undefined
  const take = (actions: readonly GateAction[], nowMs: number): void => {
    for (const action of actions) {
      if (action.type === 'start') running = action.call.id
      if (action.type === 'decline') heldMs.push(nowMs - (offeredAtMs.get(action.call.id) ?? nowMs))
    }
  }
  for (let nowMs = 0; nowMs < 20_000; nowMs += 25) {
    if (nowMs % 50 === 0 && running !== undefined) {
      const id = running
      running = undefined
      take(gate.step({ type: 'finished', id, workMs: 50 }, nowMs), nowMs)
    }
    const call = makeCall({ objectiveAtMs: nowMs % 100 === 0 ? nowMs - 1 : nowMs + 120, deadlineAtMs: nowMs + 1000 })
    offeredAtMs.set(call.id, nowMs)
    take(gate.step({ type: 'offer', call }, nowMs), nowMs)
    take(gate.step({ type: 'tick' }, nowMs), nowMs)
  }
  const long = heldMs.filter(ms => ms > 500).length
  expect(heldMs.length).toBeGreaterThan(200)
  expect(long / heldMs.length).toBeLessThan(0.02)
})

test('a call that could not finish before its deadline is turned away at once', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const call = makeCall({ deadlineAtMs: 10, objectiveAtMs: 10 })
  expect(gate.step({ type: 'offer', call }, 0)).toMatchObject([{ type: 'decline', reason: 'too-late' }])
})

test('a call that waits is turned away while its sender can still be told before the deadline', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const call = makeCall({ deadlineAtMs: 400 })
  const actions = gate.step({ type: 'offer', call }, 0)
  const [wake] = actions.filter(action => action.type === 'wake')
  expect(wake?.atMs).toBeLessThan(400)
  const woken = gate.step({ type: 'tick' }, wake?.atMs ?? 0)
  expect(woken).toMatchObject([{ type: 'decline', call: { id: call.id }, reason: 'too-late' }])
})

test('a timer that fires a little early is asked for again', () => {
  const gate = makeGate(1)
  fill(gate, 1)
  const [wake] = gate.step({ type: 'offer', call: makeCall({ deadlineAtMs: 400 }) }, 0)
  const dueMs = wake?.type === 'wake' ? wake.atMs : 0
  expect(gate.step({ type: 'tick' }, dueMs - 0.3)).toContainEqual({ type: 'wake', atMs: dueMs })
})

test('a cancelled call frees its place', () => {
  const gate = makeGate(1)
  const [running] = fill(gate, 1) as [GateCall]
  const cancelled = makeCall()
  const next = makeCall()
  gate.step({ type: 'offer', call: cancelled }, 0)
  gate.step({ type: 'offer', call: next }, 0)
  gate.step({ type: 'cancelled', id: cancelled.id }, 1)
  expect(startedIds(gate.step({ type: 'cancelled', id: running.id }, 2))).toEqual([next.id])
})

test('every call ends once and no more run than the slots', () => {
  const operation = fc.record({
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
  fc.assert(fc.property(fc.array(operation, { maxLength: 200 }), operations => {
    const gate = new InstanceGate()
    const open = new Map<number, 'waiting' | 'running'>()
    let slots = 6
    let nowMs = 0
    const take = (actions: readonly GateAction[]): void => {
      for (const action of actions) {
        if (action.type === 'wake' || action.type === 'measure') continue
        expect(open.get(action.call.id)).toBe('waiting')
        if (action.type === 'start') open.set(action.call.id, 'running')
        else open.delete(action.call.id)
      }
    }
    take(gate.step({ type: 'slots', slots }, 0))
    operations.forEach((item, index) => {
      nowMs += item.stepMs
      const ids = [...open.keys()]
      const id = ids[item.pick % Math.max(1, ids.length)]
      if (item.kind === 'offer') {
        open.set(index, 'waiting')
        const { nested, priority, moveMs, isHedge } = item
        const objectiveAtMs = nowMs + item.objectiveLeftMs
        const deadlineAtMs = nowMs + item.leftMs
        const call = { id: index, work: 'w', requestRank: 0.5, nested, priority, objectiveAtMs, deadlineAtMs, moveMs, isHedge }
        take(gate.step({ type: 'offer', call }, nowMs))
      }
      if (item.kind === 'finish' && id !== undefined && open.get(id) === 'running') {
        open.delete(id)
        take(gate.step({ type: 'finished', id, workMs: item.stepMs }, nowMs))
      }
      if (item.kind === 'cancel' && id !== undefined) {
        open.delete(id)
        take(gate.step({ type: 'cancelled', id }, nowMs))
      }
      if (item.kind === 'measured') take(gate.step({ type: 'measured', slowness: [undefined, 1, 5][item.priority] }, nowMs))
      if (item.kind === 'tick') take(gate.step({ type: 'tick' }, nowMs))
      if (item.kind === 'slots') {
        slots = item.priority * 3
        take(gate.step({ type: 'slots', slots }, nowMs))
      }
      const running = [...open.values()].filter(state => state === 'running').length
      expect(gate.load(nowMs)).toMatchObject({ running, queued: open.size - running })
    })
  }), { seed: 7, numRuns: 200 })
})
