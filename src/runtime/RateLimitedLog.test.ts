import { expect, test } from 'vitest'
import { RateLimitedLog } from './RateLimitedLog.js'
import type { Log, LogFields } from './Types.js'

interface LogLine {
  readonly fields: LogFields
  readonly message: string
}

function makeLog (): { readonly log: RateLimitedLog, readonly lines: LogLine[], readonly clock: { now: number } } {
  const lines: LogLine[] = []
  const clock = { now: 0 }
  const recordLine = (fields: LogFields, message: string): void => { lines.push({ fields, message }) }
  const target: Log = { debug: recordLine, info: recordLine, warn: recordLine, error: recordLine }
  const log = new RateLimitedLog(target, { nowMs: () => clock.now, wallMs: () => clock.now })
  return { log, lines, clock }
}

/** Writes one message for ten seconds at a rate and returns the number of lines that were not omitted. */
function countLinesAtRate (perSecond: number): number {
  const { log, lines, clock } = makeLog()
  for (let i = 0; i < 10 * perSecond; i++) {
    clock.now = i * 1000 / perSecond
    log.info({}, 'not answered')
  }
  return lines.length
}

test('ten times the load does not write ten times the lines', () => {
  expect(countLinesAtRate(10)).toBe(100)
  expect(countLinesAtRate(1000)).toBeLessThanOrEqual(2 * countLinesAtRate(100))
})

test('the next line of the same message carries the number of omitted lines', () => {
  const { log, lines, clock } = makeLog()
  for (let i = 0; i < 50; i++) log.info({ i }, 'not answered')
  log.info({}, 'another')
  clock.now = 1000
  log.info({}, 'not answered')
  expect(lines.filter(line => line.message === 'another')).toHaveLength(1)
  expect(lines.at(-1)?.fields).toEqual({ omitted: 30 })
})

test('errors are never omitted', () => {
  const { log, lines } = makeLog()
  for (let i = 0; i < 100; i++) log.error({}, 'fault')
  expect(lines).toHaveLength(100)
})
