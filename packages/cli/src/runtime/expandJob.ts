import type { Resources } from '@rattanstep/core'
import type { ResolvedJobFile } from '@rattanstep/rules'

/** One task as a node takes it. */
export interface SubmittedTask {
  command: string
  resources: Resources
  /** Milliseconds. */
  expected: number
}

/** A job as a node takes it. */
export interface SubmittedJob extends Omit<ResolvedJobFile, 'tasks'> {
  tasks: SubmittedTask[]
}

/**
 * Writes out the tasks that a job file counts.
 *
 * @param job - the job of a file
 * @returns the job with one entry for each task
 */
export function expandJob (job: ResolvedJobFile): SubmittedJob {
  const tasks = job.tasks.flatMap(({ command, count, cores, memory, accelerators, expected }) =>
    Array.from({ length: count }, () => ({ command, resources: { slots: 1, cores, memory, accelerators }, expected })))
  return { ...job, tasks }
}
