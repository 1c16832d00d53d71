import { readdirSync, readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { AdmissionController } from '../admission/AdmissionController.js'
import { SeededRandom } from '../SeededRandom.js'
import { PART_FACTORIES } from './PartFactories.js'
import { TraceRecorder } from './TraceRecorder.js'
import { TraceReplay } from './TraceReplay.js'
import type { PartFactories } from './Types.js'

const TRACE_FOLDER = new URL('../../../traces/', import.meta.url)

const files = readdirSync(TRACE_FOLDER).filter(name => name.endsWith('.jsonl')).sort()

function readTrace (file: string): string {
  return readFileSync(new URL(file, TRACE_FOLDER), 'utf8')
}

test.each(files)('replays %s', file => {
  expect(TraceReplay.run(readTrace(file), PART_FACTORIES)).toEqual([])
})

/** Changes the events before a part receives them, so that it behaves as a version without one mechanism. */
function withChangedEvents (change: (event: Record<string, unknown>) => object): PartFactories {
  return Object.fromEntries(Object.entries(PART_FACTORIES).map(([part, make]) => [part, line => {
    const inner = make(line)
    return { step: (event, nowMs) => inner.step(change(event) as never, nowMs) }
  }]))
}

/** Replaces the events of one type by ticks. */
function withoutEvents (type: string): PartFactories {
  return withChangedEvents(event => event.type === type ? { type: 'tick' } : event)
}

/** Parts that never act, for traces that need no particular fault. */
const INERT_FACTORIES: PartFactories = Object.fromEntries(
  Object.keys(PART_FACTORIES).map(part => [part, () => ({ step: () => [] })])
)

/** By trace: parts without the mechanism that the trace covers. */
const FAULTY_FACTORIES: Readonly<Record<string, PartFactories>> = {
  '11-crashing-request.jsonl': withoutEvents('reported'),
  '14-drain-with-a-queue.jsonl': withoutEvents('drain'),
  '20-overload.jsonl': withChangedEvents(event => ({ ...event, deadlineAtMs: Infinity })),
  '20-retry-at-one-layer.jsonl': withChangedEvents(event => ({ ...event, retriesAbove: false })),
  '21-downloads-beside-lookups.jsonl': withChangedEvents(event => ({ ...event, kind: 'lookup' })),
  '22-caller-goes-away.jsonl': withoutEvents('cancel')
}

// A trace that passes without the mechanism would check nothing.
test.each(files)('expectations of %s are not met without the mechanism', file => {
  expect(TraceReplay.run(readTrace(file), FAULTY_FACTORIES[file] ?? INERT_FACTORIES)).not.toEqual([])
})

test('a recorded run replays, and fails when its options are changed', () => {
  const lines: string[] = []
  const part = new TraceRecorder(line => lines.push(line))
    .record('admission', 3, { slots: 1 }, new AdmissionController(new SeededRandom(3), { slots: 1 }))
  for (let call = 1; call <= 20; call++) {
    part.step({ type: 'arrive', call, kind: 'lookup', deadlineAtMs: 50 }, call)
    part.step({ type: 'finish', call: call - 2, outcome: 'ok', serviceMs: 2 }, call)
  }
  const text = lines.join('\n')
  expect(TraceReplay.run(text, PART_FACTORIES)).toEqual([])
  expect(TraceReplay.run(text.replace('"slots":1', '"slots":2'), PART_FACTORIES).length).toBeGreaterThan(0)
})

test('reports every finding with its line', () => {
  const text = '{"part":"unknown","seed":1,"options":{}}\nnot JSON\n{"part":"retry","atMs":0,"event":{"type":"tick"}}'
  expect(TraceReplay.run(text, PART_FACTORIES).map(finding => finding.place)).toEqual(['line 1', 'line 2', 'line 3'])
})
