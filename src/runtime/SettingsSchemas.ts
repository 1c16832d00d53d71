/** Schemas that the settings of several programs share. */
import { z } from 'zod'
import { parseAddress } from './Address.js'

const HIGHEST_PORT = 65535

function isAddress (text: string): boolean {
  try {
    parseAddress(text)
    return true
  } catch {
    return false
  }
}

/** `host:port`; port 0 asks the system for a free one. */
export const address = z.string().refine(isAddress, { message: 'host:port, for example 127.0.0.1:7000' })

/** Name of a process, service, region or zone. */
export const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'up to 63 letters, digits, ".", "_" or "-"')

export const place = z.strictObject({ region: name, zone: name })

/** Duration in whole milliseconds, above zero. */
export const durationMs = z.number().int().min(1).max(86_400_000)

/** Number of bytes, above zero. */
export const byteCount = z.number().int().min(1)

/** Share from 0 to 1. */
export const share = z.number().min(0).max(1)

export const log = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info')
}).prefault({})

export const metrics = z.strictObject({
  enabled: z.boolean().default(false),
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(1).max(HIGHEST_PORT).default(8125),
  prefix: z.string().default('sassafras.')
}).prefault({})
