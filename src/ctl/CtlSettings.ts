/** Settings of `sassafrasctl`, read from one TOML file. */
import { z } from 'zod'
import { address, durationMs, name } from '../runtime/SettingsSchemas.js'

/** Where settings are looked for when the command line names no file. */
export const CTL_SETTINGS_FILE = 'sassafrasctl.toml'

/** Values for what the file leaves out. */
export const CTL_DEFAULTS = {
  /** Time for a command in all, its repeats included. */
  timeoutMs: 15_000
} as const

/** What the file must hold. */
export const ctlSettings = z.strictObject({
  /** Admin addresses of the control replicas. */
  control: z.array(address).default([]),
  /** Admin addresses of further processes by name, for `dump`, `drain` and `resume`. */
  processes: z.record(name, address).default({}),
  timeoutMs: durationMs.default(CTL_DEFAULTS.timeoutMs)
})

export type CtlSettings = z.output<typeof ctlSettings>
