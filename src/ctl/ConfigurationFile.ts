/** Reads and validates configuration files, with defaults for keys that a service omits. */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import { checkConfiguration } from '../parts/configuration/ConfigurationCheck.js'
import type { Configuration, Finding, ServiceRule } from '../parts/configuration/Types.js'
import { Err, Ok } from '../runtime/Results.js'
import type { Result } from '../runtime/Results.js'

/** Defaults for keys that a service omits. */
export const SERVICE_DEFAULTS: Omit<ServiceRule, 'name'> = {
  guarded: [],
  downloads: [],
  keyless: 'refuse',
  deadlineMs: 2000,
  drainMs: 600_000,
  retryShare: 0.1,
  maxBodyBytes: 1_048_576
}

/** A TOML file with services, zones and the limits on measuring. */
export class ConfigurationFile {
  private readonly _file: string

  /**
   * @param file Path of the TOML file; part of the place of each finding.
   */
  public constructor (file: string) {
    this._file = file
  }

  /** Reads and validates the file. On failure the result holds all findings; nothing is thrown. */
  public load (): Result<Configuration, readonly Finding[]> {
    try {
      return this.check(readFileSync(this._file, 'utf8'))
    } catch (error) {
      return Err([{ place: this._file, problem: `can't be read: ${(error as Error).message}`, expected: 'a readable file' }])
    }
  }

  /**
   * Validates text in place of the content of the file.
   * @param text A TOML document.
   */
  public check (text: string): Result<Configuration, readonly Finding[]> {
    let document: unknown
    try {
      document = parse(text)
    } catch (error) {
      return Err([this._syntaxFinding(error)])
    }
    const configuration = applyServiceDefaults(document)
    const findings = checkConfiguration(configuration)
    if (findings.length === 0) return Ok(configuration as Configuration)
    return Err(findings.map(finding => ({ ...finding, place: this._qualifyPlace(finding) })))
  }

  private _qualifyPlace (finding: Finding): string {
    return finding.place === '' ? this._file : `${this._file}: ${finding.place}`
  }

  private _syntaxFinding (error: unknown): Finding {
    if (!(error instanceof TomlError)) throw error
    const place = `${this._file}:${error.line}:${error.column}`
    return { place, problem: error.message.split('\n')[0] ?? '', expected: 'a TOML 1.0 document' }
  }
}

function applyServiceDefaults (document: unknown): unknown {
  const { services } = document as { readonly services?: unknown }
  if (!Array.isArray(services)) return document
  const complete = services.map((service: unknown) => isTable(service) ? { ...SERVICE_DEFAULTS, ...service } : service)
  return { ...document as object, services: complete }
}

function isTable (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
