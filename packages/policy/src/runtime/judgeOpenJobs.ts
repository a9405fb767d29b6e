import type { Random } from '@rattanstep/core'
import { spreadRetryAfter } from '../utils/spreadRetryAfter.js'

/** What the open jobs of a cell take of their budget, as reported by the node that holds them. Weights are in bytes. */
export interface OpenJobReport {
  used: number
  limit: number
  /** Weight of jobs that end each second. */
  rate: number
  /** Holders that use a notable part of the limit. */
  holders: Array<{ holder: string, used: number }>
}

/** A job that a node is asked to accept. */
export interface WeighedJob {
  /** Bytes that the job takes while it is open. */
  weight: number
  /** Who shares the budget with others: the job's organisation, or else its route. */
  holder: string
}

/** Refusal of a job for which there is no room. */
export interface OpenJobRefusal {
  /** s, spread. */
  retryAfter: number
  /** Weight of all open jobs and of those of the holder. */
  used: number
  usedByHolder: number
  limit: number
}

/**
 * Judges whether there is room for a job, under load of one or several holders that submit more than ends. A holder may use as much as is free beside it,
 * so that one alone gets half of the budget, two get a third each, and a further one always finds room.
 *
 * @param job - the job
 * @param report - what is in use
 * @param options - `accepted`: weight of the jobs that the report doesn't include, of all and of this holder; `random`: source of the spread
 * @returns the refusal, or `undefined` to accept the job
 */
export function judgeOpenJobs ({ weight, holder }: WeighedJob, report: OpenJobReport, { accepted, random }: { accepted: { total: number, ofHolder: number }, random: Random }): OpenJobRefusal | undefined {
  const { limit, rate } = report
  const used = report.used + accepted.total
  const usedByHolder = (report.holders.find(each => each.holder === holder)?.used ?? 0) + accepted.ofHolder
  const excess = usedByHolder + used + 2 * weight - limit
  if (excess <= 0) return undefined
  return { retryAfter: spreadRetryAfter(rate > 0 ? excess / (2 * rate) : Infinity, random), used, usedByHolder, limit }
}

/**
 * @param weight - weight of a job in bytes
 * @param limit - budget of all open jobs in bytes
 * @returns whether the job is refused even if there are no other jobs
 */
export function exceedsOpenJobLimit (weight: number, limit: number): boolean {
  return 2 * weight > limit
}
