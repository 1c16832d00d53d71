import { DaemonProgram, EXIT_CODES } from '../runtime/DaemonProgram.js'
import type { RunningDaemon } from '../runtime/DaemonProgram.js'
import { ControlDaemon } from './ControlDaemon.js'
import { controlSettings } from './ControlSettings.js'
import type { ControlSettings } from './ControlSettings.js'

/** The program `sassafras-control`. It ends with 1 when its disk fails to sync. */
export const CONTROL_PROGRAM = new DaemonProgram({
  name: 'sassafras-control',
  description: 'A control replica: agrees on configuration and on records of guarded requests, and keeps both on disk.',
  schema: controlSettings,
  start: startControl
})

async function startControl (settings: ControlSettings): Promise<RunningDaemon> {
  const daemon = new ControlDaemon(settings, handleFault)
  await daemon.start()
  return daemon
}

// Ends at once: after a failed sync nothing more may be promised to anybody.
function handleFault (error: Error): void {
  process.stderr.write(`${JSON.stringify({ fault: error.message, stack: error.stack })}\n`)
  process.exit(EXIT_CODES.failed)
}
