import type { Random } from '@rattanstep/core'
import { spreadRetryAfter } from '../utils/spreadRetryAfter.js'

/** Age of a report in ms above which nothing is refused by it: covers three heartbeats of a distant node. */
export const MAX_BACKLOG_AGE_MS = 1500
/** Factor by which the projected end must exceed the time of use: projections are off by the errors of declared durations and by bursts. */
const CERTAINTY_RATIO = 1.5
/** Waiting work as reported by the node that places it. */
export interface BacklogReport {
  /** Core-seconds of work that is ready and waits, by priority. */
  waiting: number[]
  /** Cores that work is given to: core-seconds that are started each second. */
  rate: number
  /** Least urgent priority that is configured. */
  leastUrgent: number
  /** Organisations far beyond the rate that they are owed, with their waiting core-seconds. */
  beyondRate: Array<{ organisation: string, waiting: number }>
}

/** A job that a node is asked to accept. */
export interface OfferedJob {
  priority: number
  organisation?: string
  /** ms that the job itself takes. */
  duration: number
  /** ms from the submission after which the job's result is of no use. */
  usefulFor: number
}

/** Refusal of a job. */
export interface BacklogRefusal {
  /** s, spread. */
  retryAfter: number
  /** ms until the job would end. */
  projected: number
  /** Core-seconds ahead of the job. */
  backlog: number
}

/**
 * Judges by the reported backlog whether a job would end too late to be of any use. Only the least urgent work, and that of organisations far beyond
 * their rate, is refused; never the most urgent work of others.
 *
 * @param job - the job
 * @param report - the last report, if there is any
 * @param options - `age`: ms since the report was made; `random`: source of the spread
 * @returns the refusal, or `undefined` to accept the job
 */
export function judgeBacklog (job: OfferedJob, report: BacklogReport | undefined, { age, random }: { age: number, random: Random }): BacklogRefusal | undefined {
  if (report === undefined || age > MAX_BACKLOG_AGE_MS || report.rate <= 0) return undefined
  const isBeyondRate = report.beyondRate.some(({ organisation }) => organisation === job.organisation)
  if (!isBeyondRate && (job.priority === 0 || job.priority < report.leastUrgent)) return undefined
  const backlog = report.waiting.reduce((sum, work, priority) => priority <= job.priority || isBeyondRate ? sum + work : sum, 0)
  const wait = 1000 * backlog / report.rate
  const projected = wait + job.duration
  if (projected <= CERTAINTY_RATIO * job.usefulFor) return undefined
  // By then the wait will be short enough for the result to be of use, if no more is accepted meanwhile.
  const clearedIn = (projected - job.usefulFor) / 1000
  return { retryAfter: spreadRetryAfter(clearedIn, random), projected, backlog }
}
