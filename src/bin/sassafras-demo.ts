#!/usr/bin/env node
/**
 * Shows a mesh of separate processes on loopback, sized down from the Kagamino example.
 * With `--stay` the mesh runs until SIGINT, for trying commands by hand.
 */
import { mkdirSync, mkdtempSync } from 'node:fs'
import { join } from 'node:path'
import { Demo } from '../demo/Demo.js'

const RUN_FOLDER = 'run'
const EXAMPLE = join('examples', 'kagamino', 'mesh.toml')

mkdirSync(RUN_FOLDER, { recursive: true })
const folder = mkdtempSync(join(RUN_FOLDER, 'demo-'))
const demo = new Demo({
  region: 'kyushu',
  zones: ['fukuoka', 'kitakyushu', 'kumamoto'],
  services: { catalogue: 3, custody: 2, vault: 2 },
  slots: 6,
  connections: 240,
  serviceTimeMs: 2
}, folder, EXAMPLE)

const tell = (line: string): void => { process.stderr.write(`${line}\n`) }

try {
  if (process.argv.includes('--stay')) {
    const ended = new Promise<void>(resolve => { process.once('SIGINT', resolve).once('SIGTERM', resolve) })
    await demo.stay(tell, ended)
  } else {
    const summary = await demo.run(tell)
    process.stdout.write(`${JSON.stringify(summary, null, 2)}\n`)
    process.exitCode = summary.whole ? 0 : 1
  }
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`)
  process.exitCode = 1
}
