import { closeSync, openSync, writeSync } from 'node:fs'

/** Record of what was sent, answered and run, with the seconds since the start. */
export class Journal {
  constructor (file) {
    this.file = openSync(file, 'w')
    this.startedAt = performance.now()
  }

  write (kind, text) {
    writeSync(this.file, `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${kind}: ${text}\n`)
  }

  close () {
    closeSync(this.file)
  }
}
