import type { WorkKind } from './rules.js'

/** A group of identical tasks of a job. */
export interface ResolvedTaskGroup {
  /** Command that a worker runs for the task. The scheduler does not interpret it. */
  command: string
  /** Number of tasks in the group. */
  count: number
  /** Processor cores that one task needs. */
  cores: number
  /** Memory that one task needs, in MiB. */
  memory: number
  /** Number of accelerators that one task needs. */
  accelerators: number
  /** Expected run time of a task, in milliseconds. */
  expected: number
}

/** A job file after parsing: every default is filled in and every unit is converted. */
export interface ResolvedJobFile {
  /** Unique in the cell. Submitting a job with the same id again has no further effect. */
  id: string
  kind: Exclude<WorkKind, 'request'>
  /** Name of a class of the same kind. */
  class: string
  /** Team whose quota applies; empty if none does. */
  team: string
  tasks: ResolvedTaskGroup[]
}
