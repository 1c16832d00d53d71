import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'

/** A program that writes far more than a pipe and the log's buffer hold, and tells on stderr that its loop goes on. */
const PROGRAM = `
import { ProcessHost } from './dist/platform/ProcessHost.js'
const host = new ProcessHost('test', () => ({ vm: 'vm', stopLimitMs: 1000 }))
host.run(async (settings, log) => {
  let turn = 0
  setInterval(() => {
    for (let kind = 0; kind < 500; kind++) log.warn({ turn, pad: 'p'.repeat(400) }, 'kind ' + kind)
    process.stderr.write('turn ' + ++turn + ' ' + process.memoryUsage().rss + '\\n')
  }, 5)
  return { stop: async () => {}, reload: () => {} }
})
`

const LOOP_TURNS = 60

/** What the log may hold for a reader that has stopped, and as much again for copies, in bytes. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024

let child: ChildProcess | undefined

afterEach(() => { child?.kill('SIGKILL') })

test('a reader of the log that has stopped holds nothing up, and what waits for it is bounded', async () => {
  const settings = join(mkdtempSync(join(tmpdir(), 'reader-')), 'settings.toml')
  writeFileSync(settings, '')
  child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    // Nobody reads the second, standard output.
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, SASSAFRASLEAD_SETTINGS: settings }
  })
  child.stdout?.pause()
  const residentBytes: number[] = []
  let buffered = ''
  for await (const chunk of child.stderr as AsyncIterable<Buffer>) {
    buffered += chunk.toString()
    const lines = buffered.split('\n')
    buffered = lines.pop() ?? ''
    for (const line of lines) residentBytes.push(Number(line.split(' ')[2]))
    if (residentBytes.length >= LOOP_TURNS) break
  }
  expect(residentBytes.length).toBeGreaterThanOrEqual(LOOP_TURNS)
  expect(Math.max(...residentBytes) - (residentBytes[0] ?? 0)).toBeLessThan(MAX_GROWTH_BYTES)
})
