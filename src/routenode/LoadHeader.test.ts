import { expect, test } from 'vitest'
import { parseColdMs } from './ColdHeader.js'
import { parseLoadHeader } from './LoadHeader.js'
import { parseRequestLimit } from './RequestLimitHeader.js'

test('a load header is parsed with and without its slowness', () => {
  expect(parseLoadHeader('3,0,8')).toEqual({ running: 3, queued: 0, slots: 8, slowness: 1 })
  expect(parseLoadHeader('3, 0, 8, 250')).toEqual({ running: 3, queued: 0, slots: 8, slowness: 2.5 })
  expect(parseLoadHeader('3,0,8,0')?.slowness).toBe(0.01)
})

// The slots of a health answer become those of the instance, and other nodes drop an entry with odd ones.
test('an odd number in a header of an instance says nothing', () => {
  const loads = ['', '3,0', '3,0,-8', '3,0,0.5', '3,0,1e308', '3,0,70000', '3,0,8,x', '3,0,8,1e9', '3,0,8, 3,0,8', ',,', 'Infinity,0,8']
  for (const text of [undefined, ...loads]) expect([text, parseLoadHeader(text)]).toEqual([text, undefined])
  for (const text of ['', '-1', '1e9', '3600001', '9'.repeat(400)]) expect([text, parseColdMs(text)]).toEqual([text, undefined])
  for (const text of ['', '-1', '1e9', 'Infinity', '9'.repeat(400)]) expect([text, parseRequestLimit(text)]).toEqual([text, undefined])
})
