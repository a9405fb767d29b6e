import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { Job } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { handInParts } from './parts.js'
import { sortHandIns } from './sortHandIns.js'
import { detach } from './detach.js'

/** ms between looks at the hand-ins on record. Most come by link; this finds those of nodes that died right after accepting. */
const PERIOD = 800
/** The same, in ms, for a while after a takeover: hand-ins of that moment were sent to the former decider. */
const FIRST_PERIOD = 200
const FIRST_LOOKS = 8

/** Finds hand-ins and cancellations that no link has brought. */
export class HandInFeed {
  private version = 0

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, job: (job: Job) => void, cancel: (id: string) => void }) {}

  /**
   * @param version - what is known already
   * @param stopped - says when to end
   */
  start (version: number, stopped: () => boolean): void {
    this.version = version
    detach(this.run(stopped), this.options.log, 'hand-ins')
  }

  private async run (stopped: () => boolean): Promise<void> {
    for (let looks = 0; !stopped(); looks++) {
      await this.options.clock.sleep(looks < FIRST_LOOKS ? FIRST_PERIOD : PERIOD)
      if (!stopped()) await this.look()
    }
  }

  private async look (): Promise<void> {
    const answer = await this.options.store.changes({ table: 'jobs', after: this.version, wait: 0 })
    if (answer.isOk()) {
      this.take(answer.value.rows.filter(row => !row.deleted))
      this.version = answer.value.version
    } else if (answer.error.code === 'history-lost') await this.readAll()
  }

  private async readAll (): Promise<void> {
    const parts = await Promise.all(handInParts.map(async part => await this.options.store.range({ table: 'jobs', part })))
    const read = parts.flatMap(part => part.isOk() ? [part.value] : [])
    if (read.length < parts.length) return
    this.take(read.flatMap(part => part.rows))
    this.version = Math.min(...read.map(part => part.version))
  }

  private take (rows: Row[]): void {
    const { log, job, cancel } = this.options
    const { jobs, cancelled } = sortHandIns(rows, log)
    for (const each of jobs) job(each)
    for (const id of cancelled) cancel(id)
  }
}
