/** Zod schemas shared by the settings of several programs. */
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

/** Network address as `host:port`; with port 0 the operating system picks a free port. */
export const address = z.string().refine(isAddress, { message: 'host:port, for example 127.0.0.1:7000' })

/** Name of a process, service, region or zone. */
export const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'up to 63 letters, digits, ".", "_" or "-"')

/** Region and availability zone of a process. */
export const place = z.strictObject({ region: name, zone: name })

/** Duration in whole milliseconds, from 1 ms to one day. */
export const durationMs = z.number().int().min(1).max(86_400_000)

/** Whole number of bytes, at least 1. */
export const byteCount = z.number().int().min(1)

/** Fraction from 0 to 1. */
export const share = z.number().min(0).max(1)

/** Logging settings; lines below `level` are dropped. */
export const log = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info')
}).prefault({})

/** Where metrics are sent over StatsD, and the prefix of their names. */
export const metrics = z.strictObject({
  enabled: z.boolean().default(false),
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(1).max(HIGHEST_PORT).default(8125),
  prefix: z.string().default('sassafras.')
}).prefault({})
