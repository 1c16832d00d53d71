#!/usr/bin/env node
/** Runs a control replica. */
import { CONTROL_PROGRAM } from '../control/ControlProgram.js'

await CONTROL_PROGRAM.run(process.argv.slice(2))
