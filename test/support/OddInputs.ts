import fc from 'fast-check'

/** Values at and beyond the ends of what any field takes. */
const ODD_VALUES: readonly unknown[] = [
  0, -1, 0.5, 1e308, -1e308, NaN, Infinity, 2 ** 31, 2 ** 53 - 1, 2 ** 53, null, undefined, true, '', ' ', '0', 'x'.repeat(70_000),
  '127.0.0.1:70000', '127.0.0.1:0', '127.0.0.1:-1', '[::1]:9', 'a\r\nb: c', 'a\0', '\u65e5', '\u00e9', '%2F', '__proto__', [], {}
]

/** Lists within lists, as deep as given. */
function nest (depth: number): unknown {
  let value: unknown = 0
  for (let level = 0; level < depth; level++) value = [value]
  return value
}

const oddValue = fc.oneof(
  { weight: 12, arbitrary: fc.constantFrom(...ODD_VALUES) },
  { weight: 2, arbitrary: fc.jsonValue({ maxDepth: 2 }) },
  { weight: 1, arbitrary: fc.constantFrom(100, 2000).map(nest) }
)

/** A document with some fields replaced by odd values or left out, at any depth. */
export function oddDocuments (document: unknown): fc.Arbitrary<unknown> {
  if (typeof document !== 'object' || document === null || document instanceof Uint8Array) {
    return fc.oneof({ weight: 9, arbitrary: fc.constant(document) }, { weight: 1, arbitrary: oddValue })
  }
  if (Array.isArray(document)) {
    const items = fc.tuple(...document.map(item => oddDocuments(item)))
    return fc.oneof({ weight: 9, arbitrary: items }, { weight: 1, arbitrary: oddValue })
  }
  const fields = Object.fromEntries(Object.entries(document).map(([name, value]) => [name, oddDocuments(value)]))
  const incomplete = fc.record(fields, { requiredKeys: Object.keys(document).slice(1) })
  return fc.oneof({ weight: 9, arbitrary: fc.record(fields) }, { weight: 1, arbitrary: incomplete })
}

/** Bytes with up to three of them replaced, removed or doubled, or cut at the end. */
export function oddBytes (bytes: Uint8Array): fc.Arbitrary<Buffer> {
  const byte = fc.oneof(fc.constantFrom(0, 9, 10, 12, 13, 32, 58, 127, 128, 255), fc.nat(255))
  const place = fc.nat(Math.max(0, bytes.length - 1))
  const edit = fc.record({ place, byte, how: fc.constantFrom('replace', 'remove', 'insert', 'cut') })
  return fc.array(edit, { minLength: 1, maxLength: 3 }).map(edits => edits.reduce((changed, { place, byte, how }) => {
    const rest = how === 'insert' ? place : place + 1
    const added = how === 'remove' ? [] : [byte]
    const head = changed.subarray(0, place)
    return how === 'cut' && place > bytes.length / 2 ? head : Buffer.concat([head, Buffer.from(added), changed.subarray(rest)])
  }, Buffer.from(bytes)))
}
