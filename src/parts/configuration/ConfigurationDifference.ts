import results, { type Result } from 'ts-results/result.js'
import { canonicalText, digestOf } from './ConfigurationDigest.js'
import { MAX_DIFFERING_PATHS } from './Constants.js'
import type { Configuration, ConfigurationDifference, ServiceRule, VersionedConfiguration } from './Types.js'

// The package's main file needs a module on which it does not depend, and is CommonJS.
const { Err, Ok } = results

/** Why a difference can't be applied; both ask for a whole copy. */
export type DifferenceFault = 'other-base' | 'digest-mismatch'

/**
 * Makes the difference that leads from one committed configuration to a later one.
 * @param from Earlier configuration, in normal order.
 * @param to Later configuration, in normal order.
 */
export function makeDifference (from: VersionedConfiguration, to: VersionedConfiguration): ConfigurationDifference {
  const earlier = textsByName(from.configuration.services)
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
    digest: digestOf(to.configuration)
  }
}

/**
 * Applies a difference and checks the result against its digest.
 * @param base Configuration that the difference should start from.
 * @param difference Difference as it was received.
 */
export function applyDifference (
  base: VersionedConfiguration,
  difference: ConfigurationDifference
): Result<VersionedConfiguration, DifferenceFault> {
  if (base.version !== difference.from) {
    return Err('other-base')
  }
  const configuration = merge(base.configuration, difference)
  if (digestOf(configuration) !== difference.digest) {
    return Err('digest-mismatch')
  }
  const { version, term, operation } = difference
  return Ok({ version, term, operation, configuration })
}

/**
 * Names the key paths in which two configurations differ, at most `MAX_DIFFERING_PATHS` of them, for a conflict.
 * @param mine Configuration that was handed in.
 * @param inForce Configuration in force.
 */
export function differingPaths (mine: Configuration, inForce: Configuration): string[] {
  const paths = [...differingServices(mine.services, inForce.services)]
  if (canonicalText(mine.zones) !== canonicalText(inForce.zones)) {
    paths.push('zones')
  }
  for (const key of ['bytesPerSecond', 'messagesPerCall'] as const) {
    if (mine.measuring[key] !== inForce.measuring[key]) {
      paths.push(`measuring.${key}`)
    }
  }
  return paths.sort().slice(0, MAX_DIFFERING_PATHS)
}

function merge (base: Configuration, difference: ConfigurationDifference): Configuration {
  const services = new Map(base.services.map((rule) => [rule.name, rule]))
  for (const name of difference.removed) {
    services.delete(name)
  }
  for (const rule of difference.replaced) {
    services.set(rule.name, rule)
  }
  const names = [...services.keys()].sort()
  return {
    services: names.map((name) => services.get(name) as ServiceRule),
    zones: difference.zones ?? base.zones,
    measuring: difference.measuring ?? base.measuring
  }
}

function differingServices (mine: readonly ServiceRule[], inForce: readonly ServiceRule[]): string[] {
  const others = new Map(inForce.map((rule) => [rule.name, rule]))
  const paths: string[] = []
  for (const rule of mine) {
    const other = others.get(rule.name)
    others.delete(rule.name)
    paths.push(...(other === undefined ? [`services.${rule.name}`] : differingKeys(rule, other)))
  }
  return [...paths, ...[...others.keys()].map((name) => `services.${name}`)]
}

function differingKeys (mine: ServiceRule, other: ServiceRule): string[] {
  const keys = new Set([...Object.keys(mine), ...Object.keys(other)]) as Set<keyof ServiceRule>
  return [...keys]
    .filter((key) => canonicalText(mine[key]) !== canonicalText(other[key]))
    .map((key) => `services.${mine.name}.${key}`)
}

function textsByName (services: readonly ServiceRule[]): Map<string, string> {
  return new Map(services.map((rule) => [rule.name, canonicalText(rule)]))
}
