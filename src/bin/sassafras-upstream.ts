#!/usr/bin/env node
/** Runs the test upstream. */
import { DaemonProgram } from '../runtime/DaemonProgram.js'
import { TestUpstream } from '../standin/TestUpstream.js'
import { testUpstreamSettings } from '../standin/TestUpstreamSettings.js'

const program = new DaemonProgram({
  name: 'sassafras-upstream',
  description: 'A test upstream that runs behind a node and journals each request that it ran.',
  schema: testUpstreamSettings,
  start: async settings => {
    const upstream = new TestUpstream(settings)
    await upstream.start()
    return upstream
  }
})

await program.run(process.argv.slice(2))
