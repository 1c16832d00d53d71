import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { RecordCommand } from '../parts/records/Types.js'
import type { Clock } from '../runtime/Types.js'
import { ControlMachine } from './ControlMachine.js'

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

function apply (machine: ControlMachine, commands: readonly RecordCommand[], from: number): void {
  commands.forEach((command, offset) => {
    const data = machine.encodeRecord(command)
    machine.apply({ index: from + offset, term: 1, kind: 'command', data })
  })
}

function wholeOf (parts: Iterator<Uint8Array>): Uint8Array {
  const taken: Uint8Array[] = []
  for (let next = parts.next(); next.done !== true; next = parts.next()) taken.push(next.value)
  return Buffer.concat(taken)
}

test('a snapshot holds the state of its call, whatever is applied while it is encoded', () => {
  const lists = fc.tuple(fc.array(command, { maxLength: 1500, size: 'max' }), fc.array(command, { maxLength: 60 }))
  fc.assert(fc.property(lists, ([before, during]) => {
    const machine = new ControlMachine(LIMITS, CLOCK)
    apply(machine, before, 1)
    const parts = machine.snapshot()
    const first = parts.next().value as Uint8Array
    apply(machine, during, before.length + 1)
    const other = new ControlMachine(LIMITS, CLOCK)
    other.restore(Buffer.concat([first, wholeOf(parts)]))
    apply(other, during, before.length + 1)
    expect(Buffer.compare(wholeOf(other.snapshot()), wholeOf(machine.snapshot()))).toBe(0)
  }), { seed: SEED, numRuns: 40 })
})
