#!/usr/bin/env node
/** The node: the process beside each upstream. */
import { NodeDaemon } from '../node/NodeDaemon.js'
import { nodeSettings } from '../node/NodeSettings.js'
import { DaemonProgram } from '../runtime/DaemonProgram.js'

const program = new DaemonProgram({
  name: 'sassafras-node',
  description: 'Takes calls from callers and from the local upstream, and lets calls in to the local upstream.',
  schema: nodeSettings,
  start: async settings => await NodeDaemon.start(settings)
})

await program.run(process.argv.slice(2))
