#!/usr/bin/env node
/** The command line of operators. */
import { CtlProgram } from '../ctl/CtlProgram.js'

process.exitCode = await new CtlProgram().run(process.argv.slice(2))
