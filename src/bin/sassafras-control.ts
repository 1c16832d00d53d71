#!/usr/bin/env node
import { runControlCommand } from '../control/ControlCommand.js'

await runControlCommand(process.argv.slice(2))
