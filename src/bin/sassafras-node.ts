#!/usr/bin/env node
/** Runs a node, the process beside each upstream. */
import { NodeDaemon } from '../node/NodeDaemon.js'
import { nodeSettings } from '../node/NodeSettings.js'
import { DaemonProgram } from '../runtime/DaemonProgram.js'

const program = new DaemonProgram({
  name: 'sassafras-node',
  description: 'Routes calls of callers and of the local upstream, and admits calls to the local upstream.',
  schema: nodeSettings,
  start: async settings => await NodeDaemon.start(settings)
})

await program.run(process.argv.slice(2))
