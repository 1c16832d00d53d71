import { expect, test } from 'vitest'
import { FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from './Constants.js'
import { decodeBody, encodeBody } from './FrameChannel.js'
import { type CompressedFrame, decodeCompressed, encodeCompressed } from './FrameCompression.js'

const LARGE = { type: 'large', items: Array.from({ length: 1000 }, (_, i) => ({ name: `route-${i}`, host: 'h.example' })) }

test('a large message comes back as it was, in a fraction of its bytes', () => {
  const frame = encodeCompressed(LARGE)
  expect(frame.length).toBeLessThan(encodeBody(LARGE).length / 4)
  expect(decodeCompressed(decodeBody(frame.subarray(FRAME_HEADER_BYTES)) as CompressedFrame)).toEqual(LARGE)
})

test('a small message is sent as it is', () => {
  expect(decodeBody(encodeCompressed({ type: 'small' }).subarray(FRAME_HEADER_BYTES))).toEqual({ type: 'small' })
})

// A few bytes could otherwise fill the memory of a node.
test('compressed data that is invalid or expands beyond the largest frame is refused', () => {
  expect(() => decodeCompressed({ type: 'compressed', data: new Uint8Array([1, 2, 3]) })).toThrow()
  const frame = encodeCompressed({ type: 'zeros', data: new Uint8Array(MAX_FRAME_BYTES + 1) })
  expect(() => decodeCompressed(decodeBody(frame.subarray(FRAME_HEADER_BYTES)) as CompressedFrame)).toThrow()
})
