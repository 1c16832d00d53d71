import { DaemonProgram, EXIT_CODES } from '../runtime/DaemonProgram.js'
import type { RunningDaemon } from '../runtime/DaemonProgram.js'
import { ControlDaemon } from './ControlDaemon.js'
import { controlSettings } from './ControlSettings.js'
import type { ControlSettings } from './ControlSettings.js'

/** The program `sassafras-control`. Its exit code is 1 when the disk fails to sync. */
export const CONTROL_PROGRAM = new DaemonProgram({
  name: 'sassafras-control',
  description: 'A control replica: replicates the configuration and the records of at-most-once requests, and stores both on disk.',
  schema: controlSettings,
  start: startControl
})

async function startControl (settings: ControlSettings): Promise<RunningDaemon> {
  const daemon = new ControlDaemon(settings, handleFault)
  await daemon.start()
  return daemon
}

// Exits at once: after a failed sync it is unknown what is on disk, so nothing more may be acknowledged.
function handleFault (error: Error): void {
  process.stderr.write(`${JSON.stringify({ fault: error.message, stack: error.stack })}\n`)
  process.exit(EXIT_CODES.failed)
}
