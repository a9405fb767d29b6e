import type { TaskCounter } from '../openJobs/TaskCounter.js'
import { countTasks } from './countTasks.js'
import { createOccurrence } from './createOccurrence.js'
import type { JobOccurrence, JobState } from './model.js'

/** Maximum number of tasks in the open occurrences of a job, unless it has one open occurrence only. It bounds what each commit of the job writes. */
const MAX_OPEN_TASKS_PER_JOB = 800
/** Maximum number of tasks in the open occurrences of all scheduled jobs together, unless each has one open occurrence only. */
const MAX_OPEN_TASKS = 16_000

/**
 * Creates the occurrences of scheduled jobs when they are due, so that memory grows with the work that can run and not with the length of schedules.
 * Occurrences of a job are created in order. One that is due waits while too many earlier ones are open.
 */
export class Schedule {
  /** Open jobs of which occurrences are still to be created. */
  private readonly jobs = new Set<JobState>()
  private openTasks = 0
  /** Monotonic ms before which no occurrence is due, as far as none waits for earlier ones. */
  private nextDueAt = Infinity

  /** @param tasks - counts the task objects of the occurrences */
  constructor (private readonly tasks: TaskCounter) {}

  /** Adds a scheduled job. */
  add (job: JobState): void {
    this.jobs.add(job)
    this.nextDueAt = -Infinity
  }

  /** Removes a job that has ended, with its open occurrences. */
  remove (job: JobState): void {
    this.jobs.delete(job)
    this.openTasks -= job.occurrences.length * countTasks(job.job.steps)
    this.nextDueAt = -Infinity
  }

  /**
   * Creates an occurrence that is on record.
   *
   * @param job - a scheduled job
   * @param index - number of the occurrence
   * @returns the occurrence
   */
  restore (job: JobState, index: number): JobOccurrence {
    const occurrence = createOccurrence(job, index, this.tasks)
    job.occurrences.push(occurrence)
    this.openTasks += countTasks(job.job.steps)
    return occurrence
  }

  /** Removes an occurrence that has ended from its job. */
  close (occurrence: JobOccurrence): void {
    const { job } = occurrence
    job.occurrences.splice(job.occurrences.indexOf(occurrence), 1)
    for (const step of occurrence.steps) step.tasks.clear()
    this.openTasks -= countTasks(job.job.steps)
    this.nextDueAt = -Infinity
  }

  /**
   * Creates the occurrences that are due, in turn for all jobs.
   *
   * @param now - monotonic ms
   * @returns the new occurrences
   */
  createDue (now: number): JobOccurrence[] {
    if (now < this.nextDueAt) return []
    this.nextDueAt = Infinity
    const created: JobOccurrence[] = []
    for (let due = this.findDue(now); due.length > 0; due = due.filter(job => dueAtOf(job) <= now && hasRemaining(job))) {
      due = due.filter(job => this.mayOpen(job))
      for (const job of due) if (this.mayOpen(job)) created.push(this.restore(job, job.nextOccurrence++))
    }
    for (const job of this.jobs) if (dueAtOf(job) > now) this.nextDueAt = Math.min(this.nextDueAt, dueAtOf(job))
    return created
  }

  private findDue (now: number): JobState[] {
    for (const job of this.jobs) if (job.phase !== 'open' || !hasRemaining(job)) this.jobs.delete(job)
    return [...this.jobs].filter(job => dueAtOf(job) <= now)
  }

  private mayOpen ({ occurrences, job }: JobState): boolean {
    if (occurrences.length === 0) return true
    const tasks = countTasks(job.steps)
    return (occurrences.length + 1) * tasks <= MAX_OPEN_TASKS_PER_JOB && this.openTasks + tasks <= MAX_OPEN_TASKS
  }
}

/** @returns whether occurrences of the job are still to be created */
export function hasRemaining ({ job, nextOccurrence }: JobState): boolean {
  return nextOccurrence < (job.repeat?.count ?? 1)
}

function dueAtOf ({ firstDueAt, nextOccurrence, job }: JobState): number {
  return firstDueAt + nextOccurrence * (job.repeat?.interval ?? 0)
}
