import type { Resources } from '@rattanstep/core'

/** What kind of work a job is. The tasks of a gang run all at once or not at all; a service has no end. */
export type JobKind = 'batch' | 'gang' | 'service'

/** Where a job stands. */
export type JobState = 'open' | 'cancelling' | 'done' | 'failed' | 'cancelled'

/** What happens to a job. */
export type JobEvent = 'cancel' | 'complete' | 'fail'

/** Where a task stands. */
export type JobTaskState = 'pending' | 'parked' | 'placed' | 'vacating' | 'cancelling' | 'done' | 'failed' | 'cancelled'

/** What happens to a task. */
export type TaskEvent = 'place' | 'park' | 'unpark' | 'expire' | 'finish' | 'retry' | 'exhaust' | 'lose' | 'vacate' | 'stopped' | 'cancel'

/** One task as the user gives it. */
export interface TaskSpec {
  command: string
  /** What it needs; by default one slot, one core and no more. */
  resources?: Partial<Resources>
  /** Milliseconds that it is expected to run. */
  expected?: number
}

/** A job as the user gives it. */
export interface JobSpec {
  /** Chosen by the user; a repeat of the same job with the same identifier is accepted once. */
  id: string
  kind: JobKind
  class: string
  team?: string
  tasks: TaskSpec[]
}

/** A task with every value set. */
export interface ResolvedTask {
  command: string
  resources: Resources
  /** Milliseconds; 0 when not known. */
  expected: number
}

/** A job with every value set. */
export interface ResolvedJob {
  id: string
  kind: JobKind
  class: string
  team: string
  tasks: ResolvedTask[]
}

/** How one task stands. */
export interface TaskStatus {
  index: number
  state: JobTaskState
  worker: string
  fence: number
  attempts: number
  reason: string
}

/** How a job stands. */
export interface JobStatus {
  id: string
  kind: JobKind
  class: string
  team: string
  state: JobState
  reason: string
  tasks: TaskStatus[]
}

/** How a job stands, without its tasks. */
export type JobSummary = Omit<JobStatus, 'tasks'>
