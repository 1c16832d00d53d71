import { appendFileSync, closeSync, openSync, readFileSync } from 'node:fs'
import type { Disposable } from '../runtime/Types.js'
import type { JournalLine } from './Types.js'

/**
 * Appends the runs of a test upstream to a file as JSON lines. A line is written to the operating system before the
 * run continues, so that a crash of the process can't hide a run.
 */
export class Journal implements Disposable {
  private readonly _descriptor: number
  private _closed = false

  /**
   * @param file Path of the journal; it is created when missing.
   */
  public constructor (file: string) {
    this._descriptor = openSync(file, 'a')
  }

  /** Appends one line. */
  public write (line: JournalLine): void {
    appendFileSync(this._descriptor, `${JSON.stringify(line)}\n`)
  }

  /** Closes the file. */
  public dispose (): void {
    if (this._closed) return
    this._closed = true
    closeSync(this._descriptor)
  }
}

/**
 * Reads a journal without its last line when a crash truncated it.
 * @param file Path of the journal.
 */
export function readJournal (file: string): JournalLine[] {
  const lines = readFileSync(file, 'utf8').split('\n')
  const whole = lines.slice(0, -1)
  return whole.map(line => JSON.parse(line) as JournalLine)
}
