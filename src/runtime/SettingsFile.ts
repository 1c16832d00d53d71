/** Reads TOML files and validates them against a schema, reporting all findings at once. */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'
import type { Finding } from '../parts/configuration/Types.js'
import { Err, Ok } from './Results.js'
import type { Result } from './Results.js'

type Issue = z.core.$ZodIssue
type Path = readonly PropertyKey[]

/** Text for what a schema expects, by issue code. */
const EXPECTATIONS: { readonly [Code in Issue['code']]?: (issue: Extract<Issue, { code: Code }>) => string } = {
  invalid_type: issue => issue.expected === 'int' ? 'a whole number' : `a value of type ${issue.expected}`,
  too_big: issue => `at most ${issue.maximum} ${sizeUnit(issue.origin)}`.trim(),
  too_small: issue => `at least ${issue.minimum} ${sizeUnit(issue.origin)}`.trim(),
  invalid_value: issue => `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`,
  unrecognized_keys: () => 'only the keys that the documentation lists',
  invalid_format: issue => issue.message,
  custom: issue => String(issue.params?.['expected'] ?? issue.message)
}

/** Text for the problem that was found, by issue code. */
const PROBLEMS: { readonly [Code in Issue['code']]?: (issue: Extract<Issue, { code: Code }>, found: unknown) => string } = {
  invalid_type: (_, found) => found === undefined ? 'is missing' : `is ${describeValue(found)}`,
  unrecognized_keys: () => 'is not a known key',
  custom: (issue, found) => issue.params?.['expected'] === undefined ? `is ${describeValue(found)}` : issue.message
}

/** A TOML file and the schema that it must conform to. */
export class SettingsFile<Schema extends z.ZodType> {
  private readonly _file: string
  private readonly _schema: Schema

  /**
   * @param file Path of the TOML file; part of the place of each finding.
   * @param schema Schema of the document; its defaults apply to keys that the file omits.
   */
  public constructor (file: string, schema: Schema) {
    this._file = file
    this._schema = schema
  }

  /** Reads and validates the file. On failure the result holds all findings; nothing is thrown. */
  public load (): Result<z.output<Schema>, readonly Finding[]> {
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
  public check (text: string): Result<z.output<Schema>, readonly Finding[]> {
    let document: unknown
    try {
      document = parse(text)
    } catch (error) {
      return Err([this._syntaxFinding(error)])
    }
    const outcome = this._schema.safeParse(document)
    if (outcome.success) return Ok(outcome.data)
    return Err(outcome.error.issues.flatMap(issue => this._buildFindings(issue, document)))
  }

  private _syntaxFinding (error: unknown): Finding {
    if (!(error instanceof TomlError)) throw error
    const summary = error.message.split('\n')[0] ?? ''
    return {
      place: `${this._file}:${error.line}:${error.column}`,
      problem: summary.replace(/^Invalid TOML document: /, ''),
      expected: 'a TOML 1.0 document'
    }
  }

  private _buildFindings (issue: Issue, document: unknown): Finding[] {
    const paths = issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path]
    return paths.map(path => this._buildFinding(path, issue, document))
  }

  private _buildFinding (path: Path, issue: Issue, document: unknown): Finding {
    const found = valueAt(document, path)
    const problem = PROBLEMS[issue.code] as ((issue: Issue, found: unknown) => string) | undefined
    const expectation = EXPECTATIONS[issue.code] as ((issue: Issue) => string) | undefined
    return {
      place: path.length === 0 ? this._file : `${this._file}: ${formatKeyPath(path)}`,
      problem: found === undefined ? 'is missing' : (problem?.(issue, found) ?? `is ${describeValue(found)}`),
      expected: expectation?.(issue) ?? issue.message
    }
  }
}

/**
 * Formats findings as human-readable text, one per line after a heading.
 * @param findings The findings, in the order in which they are printed.
 */
export function renderFindings (findings: readonly Finding[]): string {
  const heading = findings.length === 1 ? '1 finding:' : `${findings.length} findings:`
  const lines = findings.map(({ place, problem, expected }) => `  ${place} ${problem}; expected ${expected}`)
  return [heading, ...lines].join('\n')
}

/**
 * Formats a key path, for example `services[2].deadlineMs`.
 * @param path Keys and indexes, from the root of the document.
 */
export function formatKeyPath (path: Path): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === 'number') return `${text}[${key}]`
    return text === '' ? String(key) : `${text}.${String(key)}`
  }, '')
}

function valueAt (document: unknown, path: Path): unknown {
  let value = document
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[key]
  }
  return value
}

function describeValue (found: unknown): string {
  if (Array.isArray(found)) return `a list of ${found.length}`
  if (typeof found === 'object') return 'a table'
  return JSON.stringify(found)
}

function sizeUnit (origin: string): string {
  if (origin === 'array') return 'entries'
  return origin === 'string' ? 'characters' : ''
}
