#!/usr/bin/env node
/** Runs the test upstream. */
import { DaemonProgram } from '../runtime/DaemonProgram.js'
import { Standin } from '../standin/Standin.js'
import { standinSettings } from '../standin/StandinSettings.js'

const program = new DaemonProgram({
  name: 'sassafras-upstream',
  description: 'A test upstream that runs behind a node and journals each request that it ran.',
  schema: standinSettings,
  start: async settings => {
    const standin = new Standin(settings)
    await standin.start()
    return standin
  }
})

await program.run(process.argv.slice(2))
