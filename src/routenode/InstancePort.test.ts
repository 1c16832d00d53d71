import { afterEach, expect, test } from 'vitest'
import type { PublishedInstance } from '../parts/instances/Types.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Log } from '../runtime/Types.js'
import { InstancePort } from './InstancePort.js'
import type { HeaderNames, RoutedCall } from './Types.js'

const SILENT: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const NAMES = {} as HeaderNames

const ADDRESS = '127.0.0.1:1'

const BEFORE: PublishedInstance = { id: 'i-1', bornMs: 100, service: 'ledger', slots: 6, state: 'draining' }

const ports: InstancePort[] = []

afterEach(() => {
  ports.splice(0).forEach(port => port.dispose())
})

function makePort (): InstancePort {
  const port = new InstancePort({
    address: ADDRESS, service: 'ledger', names: NAMES, clock: new SystemClock(), log: SILENT, healthPathOf: () => undefined
  })
  ports.push(port)
  return port
}

function offer (port: InstancePort, service: string): string {
  let outcome = 'held'
  const gate = { work: 'w', leftMs: 1000, objectiveLeftMs: 300, nested: false, priority: 1, moveMs: 0, attempt: 'first' }
  const call = { id: 1, service, requestId: 'r', ...gate }
  port.start(call as RoutedCall, {
    onAnswer: () => { outcome = 'answered' },
    onTurnedAway: reason => { outcome = reason },
    onFailed: (_proof, reason) => { outcome = reason }
  })
  return outcome
}

test('an instance that was leaving before a restart of its node is not taken back by a late report', () => {
  const port = makePort()
  port.restore(BEFORE)
  port.report({ ...BEFORE, address: ADDRESS, sequence: 7, state: 'ready', coldMs: 0 })
  expect(port.published?.state).toBe('draining')
  expect(offer(port, 'ledger')).toBe('no-slots')
})

test('the instance of another service that had this address before is not restored', () => {
  const port = makePort()
  port.restore({ ...BEFORE, service: 'catalogue' })
  expect([port.published, port.service]).toEqual([undefined, 'ledger'])
})

test('a report that repeats the one before is not news for other nodes', () => {
  const port = makePort()
  let news = 0
  port.onChange(() => { news++ })
  for (let sequence = 1; sequence < 5; sequence++) {
    port.report({ ...BEFORE, address: ADDRESS, sequence, state: 'ready', coldMs: 0 })
  }
  expect(news).toBe(1)
  port.report({ ...BEFORE, address: ADDRESS, sequence: 5, coldMs: 0 })
  expect([news, port.published?.state]).toEqual([2, 'draining'])
})

test('a call for another service is turned away', () => {
  const port = makePort()
  port.report({ ...BEFORE, address: ADDRESS, sequence: 1, state: 'ready', coldMs: 0 })
  expect(offer(port, 'catalogue')).toBe('no-slots')
})
