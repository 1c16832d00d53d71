import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { open } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { controlSettings, nodeSettings } from '../soak/SoakSettings.js'

const HOST = `127.${20 + process.pid % 200}.1.250`

// Guards against a SIGHUP that ends a process which has not finished its start.
test.each(['node', 'control'] as const)('a SIGHUP before a %s has read its settings does not end it', async program => {
  const folder = mkdtempSync(join(tmpdir(), 'hang-up-'))
  const dataFolder = join(folder, 'disk')
  mkdirSync(dataFolder)
  const vm = { name: program, host: HOST }
  const settings = join(folder, 'settings.toml')
  execFileSync('mkfifo', [settings])
  const child = spawn(process.execPath, [`dist/platform/${program}.js`], {
    stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, SASSAFRASLEAD_SETTINGS: settings }
  })
  const exit = once(child, 'exit').then(([code, signal]) => `ended with ${String(signal ?? code)}`)
  // A pipe in place of the file opens once the process reads it and holds the process up until it is written.
  // Later reads find a file.
  const pipe = await open(settings, 'w')
  child.kill('SIGHUP')
  const text = program === 'node' ? nodeSettings(vm, 'zone-0', [vm]) : controlSettings(vm, [vm], dataFolder, false)
  writeFileSync(`${settings}.new`, text)
  renameSync(`${settings}.new`, settings)
  await pipe.write(text)
  await pipe.close()
  let log = ''
  const start = new Promise<string>(resolve => child.stdout.on('data', chunk => {
    log += String(chunk)
    if (log.includes('"msg":"started"')) resolve('started')
  }))
  const outcome = await Promise.race([exit, start])
  child.kill('SIGKILL')
  await exit
  rmSync(folder, { recursive: true })
  expect(outcome, log).toBe('started')
})
