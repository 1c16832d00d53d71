import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { UpstreamChooser } from './UpstreamChooser.js'
import type { Candidate } from './Types.js'

const PLACE = { region: 'kyushu', zone: 'fukuoka' }

function serving (instance: string): Candidate {
  return { instance, place: PLACE, state: 'serving', slots: 6 }
}

test('without members none is available, at once', () => {
  const chooser = new UpstreamChooser(PLACE, new SeededRandom(1))
  expect(chooser.step({ type: 'choose', call: 1, excluded: [] }, 0)).toMatchObject([{ type: 'noneAvailable', call: 1 }])
})

test('an instance that drains or is excluded is not chosen', () => {
  const chooser = new UpstreamChooser(PLACE, new SeededRandom(1))
  const draining: Candidate = { ...serving('catalogue/c'), state: 'draining' }
  chooser.step({ type: 'members', candidates: [serving('catalogue/a'), serving('catalogue/b'), draining] }, 0)
  for (let call = 0; call < 20; call++) {
    const actions = chooser.step({ type: 'choose', call, excluded: ['catalogue/a'] }, 0)
    expect(actions).toEqual([{ type: 'chosen', call, instance: 'catalogue/b' }])
  }
})
