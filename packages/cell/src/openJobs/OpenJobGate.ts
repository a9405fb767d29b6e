import type { Clock, Random } from '@rattanstep/core'
import { exceedsOpenJobLimit, judgeOpenJobs } from '@rattanstep/policy'
import type { OpenJobRefusal, OpenJobReport } from '@rattanstep/policy'
import type { Log } from '@rattanstep/telemetry'
import { CELL_EVENTS } from '../types/events.js'
import type { Job } from '../types/job.js'
import { REPORTED_SHARE } from './OpenJobTotals.js'
import { weighJob } from './weighJob.js'

/** Time after which jobs that this node has let through count only in the decider's reports: a write and an announcement take less, unless the store is slow. */
const COUNTING_PERIOD_MS = 1000

/** The last word of the decider on the open jobs: without `report`, few are open. */
export interface ReceivedOpenJobs {
  report: OpenJobReport | undefined
  /** Monotonic ms. */
  at: number
}

/** Options of a gate. */
export interface OpenJobGateOptions {
  clock: Clock
  log: Log
  random: Random
  /** Budget of this node in bytes, which counts until the decider reports a smaller one; `Infinity` to refuse nothing. */
  limit: number
  /** Returns the last word of the decider, if there is any. */
  lastReport: () => ReceivedOpenJobs | undefined
  /** Called for each refusal. */
  onRefusal?: () => void
}

/**
 * Refuses jobs for which the cell has no room, by the decider's last report and what this node has let through since. Two periods are counted, so that a job
 * is counted from before it is written until a report includes it.
 */
export class OpenJobGate {
  private period: { since: number, total: number, byHolder: Map<string, number> }
  private formerPeriod: OpenJobGate['period']

  constructor (private readonly options: OpenJobGateOptions) {
    this.period = this.startPeriod()
    this.formerPeriod = this.startPeriod()
  }

  /** @returns why a job is too large even for a cell without other jobs, or `undefined` if it isn't */
  findProblem (job: Pick<Job, 'spec' | 'steps' | 'organisation' | 'route'>): string | undefined {
    if (this.options.limit === Infinity) return undefined
    const { weight } = weighJob(job)
    const limit = this.options.lastReport()?.report?.limit ?? this.options.limit
    return exceedsOpenJobLimit(weight, limit) ? `the job takes ${weight} bytes of memory while it is open, more than half of the ${limit} for all jobs` : undefined
  }

  /**
   * Judges a job, and counts it if there is room.
   *
   * @param job - the job
   * @returns the refusal, or `undefined` to accept the job
   */
  judge (job: Job): OpenJobRefusal | undefined {
    if (this.options.limit === Infinity) return undefined
    const weighed = weighJob(job)
    const { weight, holder } = weighed
    const report = this.updatePeriod() ?? { used: REPORTED_SHARE * this.options.limit, limit: this.options.limit, rate: 0, holders: [] }
    const accepted = { total: this.period.total + this.formerPeriod.total, ofHolder: (this.period.byHolder.get(holder) ?? 0) + (this.formerPeriod.byHolder.get(holder) ?? 0) }
    const refusal = judgeOpenJobs(weighed, report, { accepted, random: this.options.random })
    if (refusal !== undefined) return refusal
    this.period.total += weight
    this.period.byHolder.set(holder, (this.period.byHolder.get(holder) ?? 0) + weight)
    return undefined
  }

  /** Counts and logs a refusal that was answered. */
  note (job: Job, { used, usedByHolder, limit, retryAfter }: OpenJobRefusal): void {
    const { weight, holder } = weighJob(job)
    this.options.onRefusal?.()
    this.options.log.write(CELL_EVENTS.openJobsFull, { job: job.id, holder, weight, used, usedByHolder, limit, retryAfter, age: Math.round(this.options.clock.now() - (this.options.lastReport()?.at ?? 0)) })
  }

  /** Starts a new period if the decider has been heard after the end of the present one; without its word, everything that was let through counts. */
  private updatePeriod (): OpenJobReport | undefined {
    const received = this.options.lastReport()
    if (received === undefined) return undefined
    const elapsed = received.at - this.period.since
    if (elapsed >= COUNTING_PERIOD_MS) {
      // Nothing was let through in the second half of a longer period, or it would have ended then.
      this.formerPeriod = elapsed >= 2 * COUNTING_PERIOD_MS ? this.startPeriod() : this.period
      this.period = this.startPeriod()
    }
    return received.report
  }

  private startPeriod (): OpenJobGate['period'] {
    return { since: this.options.clock.now(), total: 0, byHolder: new Map() }
  }
}
