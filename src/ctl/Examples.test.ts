import { readdirSync } from 'node:fs'
import { PassThrough } from 'node:stream'
import { expect, test } from 'vitest'
import { CtlProgram } from './CtlProgram.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

const KINDS: ReadonlyArray<readonly [start: string, kind: string]> = [
  ['mesh', 'configuration'], ['control', 'control'], ['node', 'node'], ['load', 'load'], ['sassafrasctl', 'ctl']
]

test('every example file is valid and of the expected kind', async () => {
  for (const deployment of ['kagamino', 'kaivoskeittio']) {
    const files = readdirSync(`examples/${deployment}`)
    expect(files).toHaveLength(KINDS.length)
    for (const [prefix, kind] of KINDS) {
      const file = files.find(name => name.startsWith(prefix)) ?? ''
      const stdout = new PassThrough()
      const exit = await new CtlProgram().run(['check', `examples/${deployment}/${file}`, '--json'], { stdout })
      const reportedKind = (JSON.parse(String(stdout.read())) as { kind: string }).kind
      expect([file, exit, reportedKind]).toEqual([file, CTL_EXIT_CODES.ok, kind])
    }
  }
})
