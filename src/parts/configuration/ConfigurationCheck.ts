import { z } from 'zod'
import {
  MAX_BODY_BYTES,
  MAX_DEADLINE_MS,
  MAX_DRAIN_MS,
  MAX_MEASURING_BYTES_PER_SECOND,
  MAX_NAME_LENGTH,
  MAX_OPERATION_LENGTH,
  MAX_PATTERNS,
  MAX_PATTERN_LENGTH,
  MAX_SERVICES,
  MAX_ZONES,
  MIN_DEADLINE_MS
} from './Constants.js'
import type { Finding } from './Types.js'

const EXPECTED_NAME = `lower-case letters, digits and hyphens, at most ${MAX_NAME_LENGTH} characters`
const EXPECTED_PATTERN = 'METHOD /path-prefix, for example "POST /checkouts"'

const name = z.string(EXPECTED_NAME)
  .max(MAX_NAME_LENGTH, EXPECTED_NAME)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, EXPECTED_NAME)
const pattern = z.string(EXPECTED_PATTERN)
  .max(MAX_PATTERN_LENGTH, EXPECTED_PATTERN)
  .regex(/^[A-Z]+ \/[^\s?#]*$/, EXPECTED_PATTERN)
const patterns = z.array(pattern, 'a list of patterns').max(MAX_PATTERNS, `at most ${MAX_PATTERNS} patterns`)
const share = numberIn(0, 1, 'a number')
const serviceSchema = z.strictObject({
  name,
  guarded: patterns,
  downloads: patterns,
  keyless: z.enum(['refuse', 'run-unguarded'], '"refuse" or "run-unguarded"'),
  deadlineMs: integerIn(MIN_DEADLINE_MS, MAX_DEADLINE_MS, 'whole milliseconds'),
  drainMs: integerIn(0, MAX_DRAIN_MS, 'whole milliseconds'),
  retryShare: share,
  maxBodyBytes: integerIn(0, MAX_BODY_BYTES, 'whole bytes')
}, 'a service rule with known keys only')

const configurationSchema = z.strictObject({
  services: z.array(serviceSchema, 'a list of service rules').max(MAX_SERVICES, `at most ${MAX_SERVICES} services`),
  zones: z.array(z.strictObject({ region: name, zone: name }, 'a region and a zone'), 'a list of zones')
    .max(MAX_ZONES, `at most ${MAX_ZONES} zones`),
  measuring: z.strictObject({
    bytesPerSecond: integerIn(0, MAX_MEASURING_BYTES_PER_SECOND, 'whole bytes'),
    messagesPerCall: share
  }, 'bytesPerSecond and messagesPerCall')
}, 'services, zones and measuring')

const changeSchema = z.strictObject({
  operation: z.string('an operation id').min(1, 'an operation id that is not empty')
    .max(MAX_OPERATION_LENGTH, `an operation id of at most ${MAX_OPERATION_LENGTH} characters`),
  base: z.number('a version').int('a whole version').min(0, 'a version from 0'),
  configuration: z.unknown()
}, 'operation, base and configuration')

/**
 * Validates a configuration and returns all findings; an empty list means that it is valid.
 * @param input Plain data of any shape.
 * @param place Key path of the input, prepended to the place of each finding.
 */
export function checkConfiguration (input: unknown, place = ''): Finding[] {
  const parsed = configurationSchema.safeParse(input)
  const findings = parsed.success ? [] : parsed.error.issues.map((issue) => toFinding(issue, place))
  return [...findings, ...findDuplicates(input, place)]
}

/**
 * Validates a change with its configuration and returns all findings.
 * @param input Plain data of any shape.
 */
export function checkChange (input: unknown): Finding[] {
  const parsed = changeSchema.safeParse(input)
  const findings = parsed.success ? [] : parsed.error.issues.map((issue) => toFinding(issue, ''))
  return [...findings, ...checkConfiguration(readField(input, 'configuration'), 'configuration')]
}

/** Checks whatever has the right shape, so that duplicates are reported together with other findings. */
function findDuplicates (input: unknown, place: string): Finding[] {
  const services = toList(readField(input, 'services'))
  const zones = toList(readField(input, 'zones'))
  const names = services.map((rule) => readField(rule, 'name'))
  const places = zones.map((zone) => `${readField(zone, 'region')}/${readField(zone, 'zone')}`)
  const findings = [
    ...duplicatesIn(names, joinPath(place, 'services'), 'name'),
    ...duplicatesIn(places, joinPath(place, 'zones'))
  ]
  services.forEach((rule, index) => {
    const path = joinPath(place, `services[${index}]`)
    const guarded = toList(readField(rule, 'guarded'))
    const downloads = toList(readField(rule, 'downloads'))
    findings.push(...duplicatesIn(guarded, `${path}.guarded`), ...duplicatesIn(downloads, `${path}.downloads`))
    findings.push(...findGuardedDownloads(guarded, downloads, `${path}.downloads`))
  })
  return findings
}

function readField (value: unknown, key: string): unknown {
  return value !== null && typeof value === 'object' ? (value as Record<string, unknown>)[key] : undefined
}

function toList (value: unknown): unknown[] {
  return Array.isArray(value) ? value : []
}

function duplicatesIn (values: readonly unknown[], place: string, key?: string): Finding[] {
  const seen = new Set<unknown>()
  const findings: Finding[] = []
  values.forEach((value, index) => {
    if (typeof value === 'string' && seen.has(value)) {
      const path = `${place}[${index}]${key === undefined ? '' : `.${key}`}`
      findings.push({ place: path, problem: `"${value}" is there twice`, expected: 'each entry once' })
    }
    seen.add(value)
  })
  return findings
}

function findGuardedDownloads (guarded: readonly unknown[], downloads: readonly unknown[], place: string): Finding[] {
  const findings: Finding[] = []
  downloads.forEach((download, index) => {
    if (typeof download === 'string' && guarded.includes(download)) {
      const problem = `"${download}" is guarded too`
      findings.push({ place: `${place}[${index}]`, problem, expected: 'a pattern that is not guarded' })
    }
  })
  return findings
}

function toFinding (issue: z.core.$ZodIssue, place: string): Finding {
  const path = issue.path.reduce<string>((text, key) => {
    return typeof key === 'number' ? `${text}[${key}]` : joinPath(text, String(key))
  }, place)
  if (issue.code === 'unrecognized_keys') {
    const problem = `unknown keys ${issue.keys.map((key) => `"${key}"`).join(', ')}`
    return { place: path, problem, expected: 'known keys only' }
  }
  return { place: path, problem: issue.code.replaceAll('_', ' '), expected: issue.message }
}

function joinPath (place: string, key: string): string {
  return place === '' ? key : `${place}.${key}`
}

function integerIn (min: number, max: number, unit: string) {
  const expected = `${unit} from ${min} to ${max}`
  return z.number(expected).int(expected).min(min, expected).max(max, expected)
}

function numberIn (min: number, max: number, unit: string) {
  const expected = `${unit} from ${min} to ${max}`
  return z.number(expected).min(min, expected).max(max, expected)
}
