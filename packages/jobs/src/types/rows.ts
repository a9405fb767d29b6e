import { z } from 'zod'

/**
 * Rows of the table that belong to jobs, and their keys.
 */

const nonNegative = z.number().min(0)
const nonNegativeInteger = z.number().int().min(0)
const kind = z.enum(['batch', 'gang', 'service'])
const resources = z.object({ slots: nonNegative, cores: nonNegative, memory: nonNegative, accelerators: nonNegative })

/** `job/ID`: one job. */
export const JOB_ROW = z.object({
  id: z.string(),
  kind,
  class: z.string(),
  team: z.string(),
  count: nonNegativeInteger,
  /** Wall-clock ms at which the job was accepted. */
  submitted: z.number(),
  /** Hash of the job as given, which tells a repeat from a clash. */
  fingerprint: z.string(),
  state: z.enum(['open', 'cancelling', 'done', 'failed', 'cancelled']),
  reason: z.string()
})

/** `open/ID`: there while the job has not ended. */
export const OPEN_ROW = z.object({ class: z.string(), submitted: z.number() })

/** `task/JOB/N`: one task. */
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
  /** Grows with each placement. */
  fence: nonNegativeInteger,
  /** Where it is placed, or empty. */
  worker: z.string(),
  /** Runs that failed. */
  attempts: nonNegativeInteger,
  /** Placements that ended without a result. */
  losses: nonNegativeInteger,
  /** Wall-clock ms before which it is not placed again. */
  notBefore: z.number(),
  checkpoint: z.string(),
  reason: z.string(),
  /** Workers that failed it, newest last. */
  avoid: z.array(z.string())
})

/** `on/WORKER/JOB/N`: one task as placed on a worker. It is there exactly while the task may run. */
export const PLACEMENT_ROW = z.object({
  job: z.string(),
  index: nonNegativeInteger,
  fence: nonNegativeInteger,
  class: z.string(),
  team: z.string(),
  command: z.string(),
  resources,
  checkpoint: z.string(),
  /** Identifier under which the worker's room is held. */
  hold: z.string(),
  intent: z.enum(['run', 'vacate', 'cancel'])
})

/** `keeper/WORKER`: which node may place, finish and give up tasks on a worker. */
export const CLAIM_ROW = z.object({
  keeper: z.string(),
  /** Unique to each claim. */
  claim: z.string()
})

/** One job. */
export type JobRow = z.infer<typeof JOB_ROW>
/** One task. */
export type TaskRow = z.infer<typeof TASK_ROW>
/** One placement. */
export type PlacementRow = z.infer<typeof PLACEMENT_ROW>
/** Who keeps a worker. */
export type ClaimRow = z.infer<typeof CLAIM_ROW>

const INDEX_DIGITS = 5

/**
 * @param job - identifier of a job
 * @returns key of its row
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
 * @param index - number of the task, from 0
 * @returns the name that a task has towards workers
 */
export function taskName (job: string, index: number): string {
  return `${job}/${String(index).padStart(INDEX_DIGITS, '0')}`
}

/**
 * @param job - identifier of a job
 * @param index - number of the task, from 0
 * @returns key of its row
 */
export function taskKey (job: string, index: number): string {
  return `task/${taskName(job, index)}`
}

/**
 * @param worker - identifier of a worker
 * @returns start of the keys of the placements on it
 */
export function placementPrefix (worker: string): string {
  return `on/${worker}/`
}

/**
 * @param worker - identifier of a worker
 * @param job - identifier of a job
 * @param index - number of the task
 * @returns key of the placement's row
 */
export function placementKey (worker: string, job: string, index: number): string {
  return `${placementPrefix(worker)}${taskName(job, index)}`
}

/**
 * @param worker - identifier of a worker
 * @returns key of its keeper's row
 */
export function claimKey (worker: string): string {
  return `keeper/${worker}`
}
