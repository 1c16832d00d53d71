import { expect, test } from 'vitest'
import { controlSettings } from '../control/ControlSettings.js'
import { nodeSettings } from '../node/NodeSettings.js'
import { renderFindings, SettingsFile } from './SettingsFile.js'

const GOOD_NODE = `
id = "catalogue-1"
place = { region = "kyushu", zone = "fukuoka" }
listen = { peer = "127.0.0.1:7000", caller = "127.0.0.1:7001", admin = "127.0.0.1:7002" }
control = [{ id = "c1", address = "127.0.0.1:7100" }]
`

test('keys that a node file omits get their defaults', () => {
  const settings = new SettingsFile('node.toml', nodeSettings).check(GOOD_NODE).unwrap()
  expect(settings.timing.leaseMs).toBe(3000)
  expect(settings.log.level).toBe('info')
  expect(settings.trace).toBeUndefined()
})

test('all findings are reported at once, with their places and expected values', () => {
  const text = `
id = "has space"
place = { region = "kyushu" }
listen = { peer = "127.0.0.1:70000", caller = 5, admin = "127.0.0.1:7002" }
control = []
colour = "red"
log = { level = "loud" }
timing = { leaseMs = 1.5 }
`
  const outcome = new SettingsFile('node.toml', nodeSettings).check(text)
  if (outcome.ok) throw new Error('accepted')
  expect(outcome.val.map(finding => finding.place).sort()).toEqual([
    'node.toml: colour',
    'node.toml: control',
    'node.toml: id',
    'node.toml: listen.caller',
    'node.toml: listen.peer',
    'node.toml: log.level',
    'node.toml: place.zone',
    'node.toml: timing.leaseMs'
  ])
  expect(outcome.val.every(finding => finding.expected !== '' && finding.problem !== '')).toBe(true)
  expect(renderFindings(outcome.val)).toContain('node.toml: place.zone is missing; expected a value of type string')
})

test('a syntax error names its line', () => {
  const outcome = new SettingsFile('node.toml', nodeSettings).check('id = "a"\nplace = \n')
  if (outcome.ok) throw new Error('accepted')
  expect(outcome.val[0]?.place).toMatch(/^node\.toml:2:/)
})

test('a missing file is reported as a finding', () => {
  const outcome = new SettingsFile('/nonexistent/node.toml', nodeSettings).load()
  expect(outcome.ok).toBe(false)
})

// With such a lease a former leader could still answer reads while a new leader accepts changes.
test('a leader lease that outlasts the shortest election timeout is rejected', () => {
  const text = `
id = "c1"
place = { region = "kyushu", zone = "fukuoka" }
listen = { peer = "127.0.0.1:7100", admin = "127.0.0.1:7101" }
dataFolder = "data"
replicas = [{ id = "c1", address = "127.0.0.1:7100", admin = "127.0.0.1:7101" }]
timing = { leaseMs = 400, electionMaxMs = 250 }
`
  const outcome = new SettingsFile('control.toml', controlSettings).check(text)
  if (outcome.ok) throw new Error('accepted')
  expect(outcome.val.map(finding => finding.place)).toEqual([
    'control.toml: timing.electionMinMs',
    'control.toml: timing.leaseMs'
  ])
})
