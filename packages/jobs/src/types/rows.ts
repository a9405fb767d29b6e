import { z } from 'zod'

/**
 * Schemas and keys of the table rows that belong to jobs.
 */

const nonNegative = z.number().min(0)
const nonNegativeInteger = z.number().int().min(0)
const kind = z.enum(['batch', 'gang', 'service'])
const resources = z.object({ slots: nonNegative, cores: nonNegative, memory: nonNegative, accelerators: nonNegative })

/** `job/ID`: a job. */
export const JOB_ROW = z.object({
  id: z.string(),
  kind,
  class: z.string(),
  team: z.string(),
  count: nonNegativeInteger,
  /** Wall-clock time in ms at which the job was accepted. */
  submitted: z.number(),
  /** Hash of the resolved job. It distinguishes a repeated submission from another job with the same identifier. */
  fingerprint: z.string(),
  state: z.enum(['open', 'cancelling', 'done', 'failed', 'cancelled']),
  reason: z.string()
})

/** `open/ID`: exists while the job has not ended. */
export const OPEN_ROW = z.object({ class: z.string(), submitted: z.number() })

/** `task/JOB/N`: a task. */
export const TASK_ROW = z.object({
  job: z.string(),
  index: nonNegativeInteger,
  kind,
  class: z.string(),
  team: z.string(),
  command: z.string(),
  resources,
  expected: nonNegative,
  state: z.enum(['pending', 'parked', 'placed', 'vacating', 'cancelling', 'done', 'failed', 'cancelled']),
  /** Fencing token; each placement increments it. */
  fence: nonNegativeInteger,
  /** Worker on which the task is placed, or empty. */
  worker: z.string(),
  /** Number of runs that failed. */
  attempts: nonNegativeInteger,
  /** Number of placements that ended without a result. */
  losses: nonNegativeInteger,
  /** Wall-clock time in ms before which the task is not placed again. */
  notBefore: z.number(),
  checkpoint: z.string(),
  reason: z.string(),
  /** Workers on which the task failed, newest last. */
  avoid: z.array(z.string())
})

/** `on/WORKER/JOB/N`: the placement of a task on a worker. The row exists exactly while the task may run there. */
export const PLACEMENT_ROW = z.object({
  job: z.string(),
  index: nonNegativeInteger,
  fence: nonNegativeInteger,
  class: z.string(),
  team: z.string(),
  command: z.string(),
  resources,
  checkpoint: z.string(),
  /** Identifier of the hold on the worker's capacity. */
  hold: z.string(),
  intent: z.enum(['run', 'vacate', 'cancel'])
})

/** `keeper/WORKER`: the claim of the node that supervises a worker and may place, end and declare lost the tasks on it. */
export const CLAIM_ROW = z.object({
  keeper: z.string(),
  /** Nonce that is unique to each claim. */
  claim: z.string()
})

/** Content of a job row. */
export type JobRow = z.infer<typeof JOB_ROW>
/** Content of a task row. */
export type TaskRow = z.infer<typeof TASK_ROW>
/** Content of a placement row. */
export type PlacementRow = z.infer<typeof PLACEMENT_ROW>
/** Content of a claim row. */
export type ClaimRow = z.infer<typeof CLAIM_ROW>

const INDEX_DIGITS = 5

/**
 * @param job - identifier of a job
 * @returns key of the job's row
 */
export function jobKey (job: string): string {
  return `job/${job}`
}

/**
 * @param job - identifier of a job
 * @returns key of the row that exists while the job has not ended
 */
export function openKey (job: string): string {
  return `open/${job}`
}

/**
 * @param job - identifier of a job
 * @param index - index of the task in the job, from 0
 * @returns name of the task in commands to workers and in keys
 */
export function taskName (job: string, index: number): string {
  return `${job}/${String(index).padStart(INDEX_DIGITS, '0')}`
}

/**
 * @param job - identifier of a job
 * @param index - index of the task in the job, from 0
 * @returns key of the task's row
 */
export function taskKey (job: string, index: number): string {
  return `task/${taskName(job, index)}`
}

/**
 * @param worker - identifier of a worker
 * @returns key prefix of the placements on the worker
 */
export function placementPrefix (worker: string): string {
  return `on/${worker}/`
}

/**
 * @param worker - identifier of a worker
 * @param job - identifier of a job
 * @param index - index of the task in the job, from 0
 * @returns key of the placement's row
 */
export function placementKey (worker: string, job: string, index: number): string {
  return `${placementPrefix(worker)}${taskName(job, index)}`
}

/**
 * @param worker - identifier of a worker
 * @returns key of the worker's claim row
 */
export function claimKey (worker: string): string {
  return `keeper/${worker}`
}
