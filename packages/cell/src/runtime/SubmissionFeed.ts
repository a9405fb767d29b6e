import type { Clock } from '@rattanstep/core'
import type { Log } from '@rattanstep/telemetry'
import type { RecordedJob } from '../types/job.js'
import type { RecordStore, Row } from '../types/records.js'
import { submissionParts } from './rowNames.js'
import { partitionSubmissions } from './partitionSubmissions.js'
import { detach } from './detach.js'
import { readPages } from './readPages.js'
import { repeatWhile } from './repeatWhile.js'
import { runLogged } from './runLogged.js'

/** Interval between polls. Most submissions arrive over links; polling finds those of nodes that died immediately after accepting them. */
const POLL_INTERVAL_MS = 800
/** Interval of the first polls after a takeover, since submissions of that time were sent to the former decider. */
const INITIAL_POLL_INTERVAL_MS = 200
const INITIAL_POLLS = 8

/** Finds submissions and cancellations that did not arrive over a link. */
export class SubmissionFeed {
  private readVersion = 0

  constructor (private readonly options: { store: RecordStore, clock: Clock, log: Log, onJob: (recorded: RecordedJob) => void, onCancel: (id: string) => void }) {}

  /** @returns version of the store up to which all submissions were passed on or read at the start */
  get version (): number {
    return this.readVersion
  }

  /**
   * Starts to poll in the background.
   *
   * @param version - version of the store up to which submissions are known
   * @param isStopped - returns whether to stop
   */
  start (version: number, isStopped: () => boolean): void {
    this.readVersion = version
    detach(this.pollRepeatedly(isStopped), this.options.log, 'hand-ins')
  }

  private async pollRepeatedly (isStopped: () => boolean): Promise<void> {
    const { clock, log } = this.options
    let polls = 0
    await repeatWhile(() => !isStopped(), async () => {
      await clock.sleep(polls++ < INITIAL_POLLS ? INITIAL_POLL_INTERVAL_MS : POLL_INTERVAL_MS)
      if (!isStopped()) await this.poll()
    }, { clock, log, step: 'hand-ins' })
  }

  private async poll (): Promise<void> {
    const answer = await this.options.store.changes({ table: 'jobs', after: this.readVersion, wait: 0 })
    if (answer.isOk()) {
      this.handleRows(answer.value.rows.filter(row => !row.deleted))
      this.readVersion = answer.value.version
    } else if (answer.error.code === 'history-lost') await this.readAll()
  }

  private async readAll (): Promise<void> {
    const { store } = this.options
    let version = Infinity
    for (const part of submissionParts) {
      const read = await readPages(store, { table: 'jobs', part }, rows => { this.handleRows(rows) })
      if (read.isErr()) return
      version = Math.min(version, read.value)
    }
    this.readVersion = version
  }

  private handleRows (rows: Row[]): void {
    const { log, onJob, onCancel } = this.options
    const { jobs, cancelled } = partitionSubmissions(rows, log)
    for (const recorded of jobs) runLogged(() => { onJob(recorded) }, log, 'hand-in')
    for (const id of cancelled) runLogged(() => { onCancel(id) }, log, 'cancellation')
  }
}
