import { readdirSync, readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { MeasuringBudget } from '../budget/MeasuringBudget.js'
import type { BudgetLimits } from '../budget/MeasuringBudget.js'
import { SeededRandom } from '../SeededRandom.js'
import { TraceReplay } from '../trace/TraceReplay.js'
import type { PartFactories } from '../trace/Types.js'
import type { CandidateLoad } from './CandidateLoad.js'
import { UpstreamChooser } from './UpstreamChooser.js'

const TRACES = new URL('../../../traces/decisions/', import.meta.url)
const PLACE = { region: 'kyushu', zone: 'fukuoka' }

const files = readdirSync(TRACES).sort()

function readTrace (file: string): string {
  return readFileSync(new URL(file, TRACES), 'utf8')
}

const FACTORIES: PartFactories = {
  choice: line => new UpstreamChooser(PLACE, new SeededRandom(line.seed), line.options),
  budget: line => new MeasuringBudget(line.options as BudgetLimits)
}

test.each(files)('replays %s', file => {
  expect(TraceReplay.run(readTrace(file), FACTORIES)).toEqual([])
})

/** Makes a chooser whose events are altered before it receives them. */
function withAlteredEvents (change: (event: Record<string, unknown>) => object): PartFactories {
  return {
    choice: line => {
      const chooser = new UpstreamChooser(PLACE, new SeededRandom(line.seed), line.options)
      return { step: (event, nowMs) => chooser.step(change(event) as never, nowMs) }
    }
  }
}

/** Makes a chooser in whose records of instances a mechanism is disabled. */
function withDisabledMechanism (disable: (load: CandidateLoad) => void): PartFactories {
  return {
    choice: line => {
      const chooser = new UpstreamChooser(PLACE, new SeededRandom(line.seed), line.options)
      const loads = Reflect.get(chooser, '_byInstance') as Map<string, CandidateLoad>
      return {
        step: (event, nowMs) => {
          const actions = chooser.step(event, nowMs)
          loads.forEach(load => disable(load))
          return actions
        }
      }
    }
  }
}

/** For each trace, parts without the mechanism that it covers. */
const FAULTS: Readonly<Record<string, PartFactories>> = {
  '16-fast-failure.jsonl': withAlteredEvents(event => event['outcome'] === 'error' ? { ...event, outcome: 'ok' } : event),
  '17-tenfold-slow-down.jsonl': withDisabledMechanism(load => { load.vitals.slowness.ratio = () => 1 }),
  '18-herd-on-an-old-report.jsonl': withDisabledMechanism(load => { load.inFlight = () => 0 }),
  '19-cold-start.jsonl': withDisabledMechanism(load => {
    load.slowStartAllowsCall = () => true
    load.coldLatencyRatio = () => 1
  }),
  '23-measuring-storm.jsonl': {
    budget: () => ({ step: (event: { type: string, id: number }) => [{ type: 'granted', id: event.id }] })
  },
  '24-zone-lost.jsonl': withAlteredEvents(event => event['type'] === 'linkDown' ? { type: 'tick' } : event)
}

test.each(files)('the outcomes stated in %s fail without the mechanism', file => {
  const faults = FAULTS[file]
  expect(faults).toBeDefined()
  expect(TraceReplay.run(readTrace(file), faults ?? FACTORIES)).not.toEqual([])
})
