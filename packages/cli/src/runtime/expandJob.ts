import type { Resources } from '@rattanstep/core'
import type { ResolvedJobFile } from '@rattanstep/rules'

/** One task of a submitted job. */
export interface SubmittedTask {
  command: string
  resources: Resources
  /** Expected run time in milliseconds. */
  expected: number
}

/** A job in the form in which nodes accept it. */
export interface SubmittedJob extends Omit<ResolvedJobFile, 'tasks'> {
  tasks: SubmittedTask[]
}

/**
 * Expands the groups of identical tasks in a job file.
 *
 * @param job - contents of a job file
 * @returns the job with one entry for each task
 */
export function expandJob (job: ResolvedJobFile): SubmittedJob {
  const tasks = job.tasks.flatMap(({ command, count, cores, memory, accelerators, expected }) =>
    Array.from({ length: count }, () => ({ command, resources: { slots: 1, cores, memory, accelerators }, expected })))
  return { ...job, tasks }
}
