import results, { type Result } from 'ts-results/result.js'
import { canonicalText, computeDigest } from './ConfigurationDigest.js'
import { MAX_DIFFERING_PATHS } from './Constants.js'
import type { Configuration, ConfigurationDelta, ServiceRule, VersionedConfiguration } from './Types.js'

// The main file of ts-results imports a module that is not among its dependencies. This one is CommonJS, so its names
// come from the default import.
const { Err, Ok } = results

/** Reason why a difference cannot be applied; in either case a full copy is needed. */
export type DeltaFault = 'other-base' | 'digest-mismatch'

/**
 * Returns the difference from one committed configuration to a later one.
 * @param from Earlier configuration, normalised.
 * @param to Later configuration, normalised.
 */
export function makeDelta (from: VersionedConfiguration, to: VersionedConfiguration): ConfigurationDelta {
  const earlier = canonicalRulesByName(from.configuration.services)
  const later = new Set(to.configuration.services.map((rule) => rule.name))
  const zonesChanged = canonicalText(from.configuration.zones) !== canonicalText(to.configuration.zones)
  const measuringChanged = canonicalText(from.configuration.measuring) !== canonicalText(to.configuration.measuring)
  return {
    from: from.version,
    version: to.version,
    term: to.term,
    operation: to.operation,
    replaced: to.configuration.services.filter((rule) => earlier.get(rule.name) !== canonicalText(rule)),
    removed: [...earlier.keys()].filter((name) => !later.has(name)),
    ...(zonesChanged ? { zones: to.configuration.zones } : {}),
    ...(measuringChanged ? { measuring: to.configuration.measuring } : {}),
    digest: computeDigest(to.configuration)
  }
}

/**
 * Applies a difference and verifies the digest of the result.
 * @param base Configuration to which the difference applies.
 * @param delta Difference as received.
 */
export function applyDelta (
  base: VersionedConfiguration,
  delta: ConfigurationDelta
): Result<VersionedConfiguration, DeltaFault> {
  if (base.version !== delta.from) {
    return Err('other-base')
  }
  const configuration = merge(base.configuration, delta)
  if (computeDigest(configuration) !== delta.digest) {
    return Err('digest-mismatch')
  }
  const { version, term, operation } = delta
  return Ok({ version, term, operation, configuration })
}

/**
 * Returns the key paths in which two configurations differ, at most `MAX_DIFFERING_PATHS` of them, for a conflict.
 * @param submitted Configuration that the operator submitted.
 * @param inForce Configuration in force.
 */
export function differingPaths (submitted: Configuration, inForce: Configuration): string[] {
  const paths = [...differingServices(submitted.services, inForce.services)]
  if (canonicalText(submitted.zones) !== canonicalText(inForce.zones)) {
    paths.push('zones')
  }
  for (const key of ['bytesPerSecond', 'messagesPerCall'] as const) {
    if (submitted.measuring[key] !== inForce.measuring[key]) {
      paths.push(`measuring.${key}`)
    }
  }
  return paths.sort().slice(0, MAX_DIFFERING_PATHS)
}

function merge (base: Configuration, delta: ConfigurationDelta): Configuration {
  const services = new Map(base.services.map((rule) => [rule.name, rule]))
  for (const name of delta.removed) {
    services.delete(name)
  }
  for (const rule of delta.replaced) {
    services.set(rule.name, rule)
  }
  const names = [...services.keys()].sort()
  return {
    services: names.map((name) => services.get(name) as ServiceRule),
    zones: delta.zones ?? base.zones,
    measuring: delta.measuring ?? base.measuring
  }
}

function differingServices (submitted: readonly ServiceRule[], inForce: readonly ServiceRule[]): string[] {
  const others = new Map(inForce.map((rule) => [rule.name, rule]))
  const paths: string[] = []
  for (const rule of submitted) {
    const other = others.get(rule.name)
    others.delete(rule.name)
    paths.push(...(other === undefined ? [`services.${rule.name}`] : differingKeys(rule, other)))
  }
  return [...paths, ...[...others.keys()].map((name) => `services.${name}`)]
}

function differingKeys (submitted: ServiceRule, other: ServiceRule): string[] {
  const keys = new Set([...Object.keys(submitted), ...Object.keys(other)]) as Set<keyof ServiceRule>
  return [...keys]
    .filter((key) => canonicalText(submitted[key]) !== canonicalText(other[key]))
    .map((key) => `services.${submitted.name}.${key}`)
}

function canonicalRulesByName (services: readonly ServiceRule[]): Map<string, string> {
  return new Map(services.map((rule) => [rule.name, canonicalText(rule)]))
}
