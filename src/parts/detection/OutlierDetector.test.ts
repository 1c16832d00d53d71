import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { AttemptOutcome } from '../choice/Types.js'
import { EJECT_MAX_SHARE, SILENT_MIN_MS } from './Constants.js'
import { OutlierDetector, isEjected } from './OutlierDetector.js'

const OUTCOMES: readonly AttemptOutcome[] = ['ok', 'error', 'refused', 'unreachable', 'cancelled']

interface Command {
  readonly pick: number
  readonly act: AttemptOutcome | 'start' | 'linkDown' | 'linkUp' | 'members' | 'wait'
}

const commands = fc.array(fc.record<Command>({
  pick: fc.nat(6),
  act: fc.constantFrom<Command['act']>(...OUTCOMES, 'error', 'error', 'start', 'linkDown', 'linkUp', 'members', 'wait')
}), { maxLength: 200, size: 'max' })

function applyCommand (detector: OutlierDetector, { pick, act }: Command, nowMs: number): void {
  const instance = `dies/${pick}`
  if (act === 'start') {
    detector.step({ type: 'started', instance }, nowMs)
  } else if (act === 'linkDown' || act === 'linkUp') {
    detector.step({ type: act, instance }, nowMs)
  } else if (act === 'members') {
    detector.step({ type: 'members', instances: instanceIds(pick) }, nowMs)
  } else if (act === 'wait') {
    detector.step({ type: 'tick' }, nowMs)
  } else {
    detector.step({ type: 'outcome', instance, outcome: act, latencyMs: 1 }, nowMs)
  }
}

function instanceIds (count: number): string[] {
  return Array.from({ length: count }, (_none, index) => `dies/${index}`)
}

/** Runs the commands and returns by how many instances the ejections exceeded their limit at most, 0 if never. */
function maxEjectedBeyondLimit (detector: OutlierDetector, list: readonly Command[]): number {
  detector.step({ type: 'members', instances: instanceIds(6) }, 0)
  let size = 6
  let beyond = 0
  list.forEach((command, index) => {
    const before = detector.ejected()
    applyCommand(detector, command, index * 100)
    size = command.act === 'members' ? command.pick : size
    const ejected = instanceIds(7).filter(name => {
      const vitals = detector.vitals(name)
      return vitals !== undefined && isEjected(vitals)
    }).length
    expect(ejected).toBe(detector.ejected())
    if (ejected > before) {
      beyond = Math.max(beyond, ejected - Math.floor(size * EJECT_MAX_SHARE))
    }
  })
  return beyond
}

test('at most half of the instances of a service are ejected at once', () => {
  fc.assert(fc.property(commands, list => {
    expect(maxEjectedBeyondLimit(new OutlierDetector(), list)).toBeLessThanOrEqual(0)
  }), { seed: 20_262, numRuns: 300 })
})

test('the property detects a detector that does not count its ejections', () => {
  const result = fc.check(fc.property(commands, list => {
    const detector = new OutlierDetector()
    Object.defineProperty(detector, '_ejectedCount', { get: () => 0, set: () => {} })
    expect(maxEjectedBeyondLimit(detector, list)).toBeLessThanOrEqual(0)
  }), { seed: 20_262, numRuns: 300 })
  expect(result.failed).toBe(true)
})

test('slow, failing, silent and disconnected instances are distinguished', () => {
  const detector = new OutlierDetector()
  detector.step({ type: 'members', instances: instanceIds(6) }, 0)
  detector.vitals('dies/0')?.slowness.recordStart(0, 5)
  for (let attempt = 0; attempt < 4; attempt++) {
    detector.step({ type: 'outcome', instance: 'dies/1', outcome: 'error', latencyMs: 0.2 }, 10)
  }
  detector.step({ type: 'started', instance: 'dies/2' }, 10)
  detector.step({ type: 'linkDown', instance: 'dies/3' }, 10)
  expect(detector.health('dies/0', 50)).toBe('slow')
  detector.step({ type: 'tick' }, 10 + SILENT_MIN_MS + 1)
  const nowMs = 10 + SILENT_MIN_MS + 1
  expect(instanceIds(6).slice(1).map(name => detector.health(name, nowMs)))
    .toEqual(['failing', 'silent', 'gone', 'healthy', 'healthy'])
})

test('a tenfold slowdown is detected within three usual latencies of the first call', () => {
  const detector = new OutlierDetector()
  detector.step({ type: 'members', instances: instanceIds(2) }, 0)
  detector.vitals('dies/0')?.slowness.recordStart(100, 5)
  expect(detector.health('dies/0', 105)).toBe('healthy')
  expect(detector.health('dies/0', 115)).toBe('slow')
})

test('an ejected instance returns through a trial and is ejected for longer when the trial fails', () => {
  const detector = new OutlierDetector()
  detector.step({ type: 'members', instances: instanceIds(2) }, 0)
  const fail = (atMs: number): unknown =>
    detector.step({ type: 'outcome', instance: 'dies/0', outcome: 'error', latencyMs: 1 }, atMs)
  const ejectionsMs: number[] = []
  let nowMs = 0
  for (let round = 0; round < 4; round++) {
    for (let attempt = 0; attempt < 4 && detector.ejected() === 0; attempt++) {
      fail(nowMs)
    }
    const untilMs = detector.vitals('dies/0')?.ejectedUntilMs ?? 0
    ejectionsMs.push(untilMs - nowMs)
    nowMs = untilMs
    expect(detector.step({ type: 'tick' }, nowMs)).toEqual([{ type: 'trial', instance: 'dies/0' }])
  }
  expect(ejectionsMs).toEqual([
    ejectionsMs[0], 2 * (ejectionsMs[0] ?? 0), 4 * (ejectionsMs[0] ?? 0), 8 * (ejectionsMs[0] ?? 0)
  ])
  detector.step({ type: 'outcome', instance: 'dies/0', outcome: 'ok', latencyMs: 1 }, nowMs)
  expect(detector.step({ type: 'outcome', instance: 'dies/0', outcome: 'ok', latencyMs: 1 }, nowMs))
    .toEqual([{ type: 'restored', instance: 'dies/0' }])
})

test('a call that may take long does not make its instance silent, and an answer restores a silent instance', () => {
  const detector = new OutlierDetector()
  detector.step({ type: 'members', instances: instanceIds(4) }, 0)
  detector.step({ type: 'started', instance: 'dies/0', expectedMs: Infinity }, 0)
  detector.step({ type: 'started', instance: 'dies/1', expectedMs: 1000 }, 0)
  detector.step({ type: 'started', instance: 'dies/2', expectedMs: 5 }, 0)
  detector.step({ type: 'tick' }, 10_000)
  expect(instanceIds(4).map(name => detector.health(name, 10_000))).toEqual(['healthy', 'healthy', 'silent', 'healthy'])
  expect(detector.step({ type: 'outcome', instance: 'dies/2', outcome: 'ok', latencyMs: 10_001 }, 10_001))
    .toEqual([{ type: 'restored', instance: 'dies/2' }])
  expect(detector.ejected()).toBe(0)
})
