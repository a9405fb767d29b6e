import type { WorkKind } from './rules.js'

/** Tasks of a job that are alike. */
export interface ResolvedTaskGroup {
  /** What a task is to run; opaque to the scheduler. */
  command: string
  /** How many such tasks the job has. */
  count: number
  /** Processor cores of one task. */
  cores: number
  /** MiB of one task. */
  memory: number
  accelerators: number
  /** Milliseconds that a task is expected to run. */
  expected: number
}

/** A job as submitted, after the resolve step. */
export interface ResolvedJobFile {
  /** Unique in the cell; a repeated submission with the same id has no further effect. */
  id: string
  kind: Exclude<WorkKind, 'request'>
  /** Name of a class of the same kind. */
  class: string
  /** Team whose quota applies; empty when there is none. */
  team: string
  tasks: ResolvedTaskGroup[]
}
