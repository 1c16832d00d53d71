import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'

/** Folders of the programs whose log messages the page lists. */
const FOLDERS = ['platform', 'src/routecontrol', 'src/routenode', 'src/node/ingress/CallerConnections.ts']

/** A call of the log, with the message as its group. */
const LOG_CALL = /log\??\.(?:info|warn|error)\([\s\S]*?,\s*'([^']+)'\)/g

test('docs/LOGS.md lists every log message of the platform programs', () => {
  const files = execFileSync('git', ['ls-files', ...FOLDERS], { encoding: 'utf8' }).split('\n')
  const sources = files.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))
  const messages = sources.flatMap(file => [...readFileSync(file, 'utf8').matchAll(LOG_CALL)].map(match => match[1] as string))
  const page = readFileSync('docs/LOGS.md', 'utf8')
  expect(messages.length).toBeGreaterThan(20)
  expect([...new Set(messages)].filter(message => !page.includes(`\`${message}\``))).toEqual([])
})
