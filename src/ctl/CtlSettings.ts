/** Settings of `sassafrasctl`, read from one TOML file. */
import { z } from 'zod'
import { address, durationMs, name } from '../runtime/SettingsSchemas.js'

/** Settings file that is read from the current folder when the command line names none. */
export const CTL_SETTINGS_FILE = 'sassafrasctl.toml'

/** Defaults for keys that the file omits. */
export const CTL_DEFAULTS = {
  /** Timeout of a request in milliseconds, including retries. */
  timeoutMs: 15_000
} as const

/** Schema of the settings file. */
export const ctlSettings = z.strictObject({
  /** Admin addresses of the control replicas. */
  control: z.array(address).default([]),
  /** Admin addresses of further processes by name, for `dump`, `drain` and `resume`. */
  processes: z.record(name, address).default({}),
  timeoutMs: durationMs.default(CTL_DEFAULTS.timeoutMs)
})

export type CtlSettings = z.output<typeof ctlSettings>
