import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'

/** Logs far more than a pipe and the log buffer hold, and writes its memory use to stderr in each turn of the loop. */
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

/** Turns of the program's loop for which the log's reader is stalled. */
const LOOP_TURNS = 60

/** Bytes that the log may buffer for a stalled reader, and as much again for copies. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024

let child: ChildProcess | undefined

afterEach(() => { child?.kill('SIGKILL') })

test('a stalled reader of the log blocks nothing, and the buffered log lines are bounded', async () => {
  const settings = join(mkdtempSync(join(tmpdir(), 'reader-')), 'settings.toml')
  writeFileSync(settings, '')
  child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
    // The second, standard output, is not read.
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
