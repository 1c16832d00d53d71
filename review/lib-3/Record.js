/** What was sent, answered and run: kept in memory for the check and written to a file at the end. */
import { writeFileSync } from 'node:fs'

export class Record {
  constructor () {
    this.events = []
    this._startMs = performance.now()
  }

  /** Adds an event. */
  add = (what, fields = {}) => {
    this.events.push({ atMs: Math.round(performance.now() - this._startMs), what, ...fields })
  }

  /** Returns the events of one kind. */
  of (what) {
    return this.events.filter(event => event.what === what)
  }

  write (file, verdict) {
    const lines = this.events.map(({ atMs, what, ...fields }) => `${(atMs / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}`)
    writeFileSync(file, `${[...lines, ...verdict].join('\n')}\n`)
  }
}
