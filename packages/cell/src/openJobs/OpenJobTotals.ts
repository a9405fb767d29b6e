import { Rate } from '@rattanstep/policy'
import type { OpenJobReport, WeighedJob } from '@rattanstep/policy'

/** Time constant in ms of the measured rate of ended jobs. */
const RATE_TIME_CONSTANT_MS = 5000
/** Part of the limit in use from which it is reported: nodes refuse nothing below. */
export const REPORTED_SHARE = 1 / 8
/** Part of the limit from which a holder is named in reports. */
const NAMED_SHARE = 1 / 64

/** Bytes that a decider holds for a job that has ended, until its phase is no longer answered from memory. */
const ENDED_JOB_BYTES = 300

/**
 * What a job is weighed as.
 *
 * - `held`: an open job at the decider
 * - `waiting`: an open job that stays in the store until there is room for it
 * - `ended`: a job of which the decider keeps the final phase
 */
export type JobPlace = 'held' | 'waiting' | 'ended'

/** Weights of the open jobs of a cell, and of those that have ended a while ago, in bytes. */
export class OpenJobTotals {
  /** Weight of the jobs that the decider holds or loads. */
  held = 0
  /** Weight of the jobs that wait in the store. */
  waiting = 0
  /** Weight of the jobs that have ended. */
  ended = 0
  /** Largest weight of all open jobs so far. */
  peak = 0
  private readonly byHolder = { held: new Map<string, number>(), waiting: new Map<string, number>(), ended: new Map<string, number>() }
  private readonly rate = new Rate(RATE_TIME_CONSTANT_MS)

  /** Adds a job. */
  add (job: WeighedJob, place: JobPlace): void {
    this.change(job, place, job.weight)
    this.peak = Math.max(this.peak, this.held + this.waiting)
  }

  /** Removes a job that has ended or changes its place. */
  remove (job: WeighedJob, place: JobPlace): void {
    this.change(job, place, -job.weight)
  }

  /** Records that a job has ended, whose phase is kept from now on; `now`: monotonic ms. */
  noteEnd (job: WeighedJob, now: number): void {
    this.remove(job, 'held')
    this.add({ holder: job.holder, weight: ENDED_JOB_BYTES }, 'ended')
    this.rate.add(job.weight, now)
  }

  /** Records that the phase of an ended job is no longer kept. */
  forgetEnded (holder: string): void {
    this.remove({ holder, weight: ENDED_JOB_BYTES }, 'ended')
  }

  /**
   * @param job - a job that is not held
   * @param limit - weight of the jobs that may be held
   * @returns whether the job may be held: its holder holds no more than is free beside it. Ended jobs keep none from being held, but from being accepted. A job that weighs more than half of the limit, as one may that was
   *   accepted under a larger limit, counts as half.
   */
  hasRoom ({ holder, weight }: WeighedJob, limit: number): boolean {
    return this.weightOf(holder, 'held') + this.held + 2 * Math.min(weight, limit / 2) <= limit
  }

  /**
   * @param limit - weight of the jobs that may be held
   * @param options - `now`: monotonic ms; `hasDropped`: returns whether a holder has waiting jobs that are not counted
   * @returns the report, or `undefined` while little is in use
   */
  report (limit: number, { now, hasDropped }: { now: number, hasDropped: (holder: string) => boolean }): OpenJobReport | undefined {
    if (this.held + this.waiting + this.ended < REPORTED_SHARE * limit) return undefined
    const usedBy = (holder: string): number => hasDropped(holder) ? limit : this.weightOf(holder, 'held', 'waiting', 'ended')
    const known = new Set(Object.values(this.byHolder).flatMap(weights => [...weights.keys()]))
    const holders = [...known].map(holder => ({ holder, used: Math.round(usedBy(holder)) })).filter(({ used }) => used >= NAMED_SHARE * limit)
    return { used: Math.round(this.held + this.ended), limit: Math.round(limit), rate: Math.round(1000 * this.rate.perMillisecond(now)), holders }
  }

  private weightOf (holder: string, ...places: JobPlace[]): number {
    return places.reduce((sum, place) => sum + (this.byHolder[place].get(holder) ?? 0), 0)
  }

  private change ({ holder }: WeighedJob, place: JobPlace, weight: number): void {
    this[place] += weight
    const total = (this.byHolder[place].get(holder) ?? 0) + weight
    if (total > 0) this.byHolder[place].set(holder, total)
    else this.byHolder[place].delete(holder)
  }
}
