import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { RecordCommand } from '../parts/records/Types.js'
import type { Clock } from '../runtime/Types.js'
import { ControlStateMachine } from './ControlStateMachine.js'

const SEED = 3
const CLOCK: Clock = { nowMs: () => 0, wallMs: () => 0 }
const LIMITS = { maxRecords: 2000, horizonMs: 1000 }

const holder = fc.record({ node: fc.constantFrom('a', 'b'), incarnation: fc.nat({ max: 2 }), call: fc.nat({ max: 3 }) })
const record = fc.record({ service: fc.constant('custody'), key: fc.nat({ max: 900 }).map(String) })
const answer = { status: 200, headers: [], body: new Uint8Array([1, 2, 3]), truncated: false }

const command: fc.Arbitrary<RecordCommand> = fc.oneof(
  fc.record({ type: fc.constant('begin' as const), record, fingerprint: fc.constant('f'), holder, runForMs: fc.nat(50) }),
  fc.record({ type: fc.constant('finish' as const), record, holder, answer: fc.constant(answer) }),
  fc.record({ type: fc.constant('lose' as const), record, holder }),
  fc.record({ type: fc.constant('abandon' as const), record, holder })
)

function apply (stateMachine: ControlStateMachine, commands: readonly RecordCommand[], from: number): void {
  commands.forEach((command, offset) => {
    const data = stateMachine.encodeRecord(command)
    stateMachine.apply({ index: from + offset, term: 1, kind: 'command', data })
  })
}

function concatenate (chunks: Iterator<Uint8Array>): Uint8Array {
  const collected: Uint8Array[] = []
  for (let next = chunks.next(); next.done !== true; next = chunks.next()) collected.push(next.value)
  return Buffer.concat(collected)
}

// Chunks of a snapshot are encoded while further commands are applied. A state machine that shared its records with the
// snapshot would mix later changes into it, and a replica restored from it would differ from the others.
test('a snapshot holds the state at its start although commands are applied while it is encoded', () => {
  const lists = fc.tuple(fc.array(command, { maxLength: 1500, size: 'max' }), fc.array(command, { maxLength: 60 }))
  fc.assert(fc.property(lists, ([before, during]) => {
    const stateMachine = new ControlStateMachine(LIMITS, CLOCK)
    apply(stateMachine, before, 1)
    const chunks = stateMachine.snapshot()
    const first = chunks.next().value as Uint8Array
    apply(stateMachine, during, before.length + 1)
    const restored = new ControlStateMachine(LIMITS, CLOCK)
    restored.restore(Buffer.concat([first, concatenate(chunks)]))
    apply(restored, during, before.length + 1)
    expect(Buffer.compare(concatenate(restored.snapshot()), concatenate(stateMachine.snapshot()))).toBe(0)
  }), { seed: SEED, numRuns: 40 })
})
