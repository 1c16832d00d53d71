import xxhash from 'xxhash-wasm'
import type { Configuration } from './Types.js'

const hasher = await xxhash()

/** The configuration before the first change. */
export const EMPTY_CONFIGURATION: Configuration = {
  services: [],
  zones: [],
  measuring: { bytesPerSecond: 0, messagesPerCall: 0 }
}

/**
 * Returns the configuration with services and zones sorted by name, the form in which it is stored and hashed: the
 * order in which an operator lists them has no meaning.
 * @param configuration A valid configuration.
 */
export function normalise (configuration: Configuration): Configuration {
  return {
    services: [...configuration.services].sort((a, b) => compareText(a.name, b.name)),
    zones: [...configuration.zones].sort((a, b) => compareText(a.region, b.region) || compareText(a.zone, b.zone)),
    measuring: configuration.measuring
  }
}

/**
 * Returns a 64-bit hash of a value as 16 hexadecimal digits; the order of keys does not matter. It detects accidental
 * differences, not forgeries.
 * @param value Plain data without cycles.
 */
export function computeDigest (value: unknown): string {
  return hasher.h64ToString(canonicalText(value))
}

/**
 * Returns JSON text with sorted keys, so that equal values have equal texts.
 * @param value Plain data without cycles.
 */
export function canonicalText (value: unknown): string {
  return JSON.stringify(value, sortKeys) ?? 'undefined'
}

function sortKeys (_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return value
  }
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => compareText(a, b)))
}

function compareText (a: string, b: string): number {
  if (a === b) {
    return 0
  }
  return a < b ? -1 : 1
}
