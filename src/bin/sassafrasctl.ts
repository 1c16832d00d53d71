#!/usr/bin/env node
/** Runs the command-line program for operators. */
import { CtlProgram } from '../ctl/CtlProgram.js'

process.exitCode = await new CtlProgram().run(process.argv.slice(2))
