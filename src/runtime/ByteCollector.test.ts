import fc from 'fast-check'
import { expect, test } from 'vitest'
import { ByteCollector } from './ByteCollector.js'

test('pieces are joined in order, whether their number of bytes is known, exceeded or not known', () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 12 })
  fc.assert(fc.property(pieces, fc.option(fc.nat(20_000), { nil: undefined }), (list, expected) => {
    const collector = new ByteCollector(expected)
    for (const piece of list) collector.add(piece)
    expect(collector.join().equals(Buffer.concat(list))).toBe(true)
    expect(collector.length).toBe(Buffer.concat(list).length)
  }), { seed: 1, numRuns: 200 })
})
