import type { Resources } from '@rattanstep/core'

/** Kind of a job. The tasks of a gang run all at once or not at all; the tasks of a service run until they are cancelled. */
export type JobKind = 'batch' | 'gang' | 'service'

/** State of a job, as in `charts/job.json`. */
export type JobState = 'open' | 'cancelling' | 'done' | 'failed' | 'cancelled'

/** Event that changes the state of a job, as in `charts/job.json`. */
export type JobEvent = 'cancel' | 'complete' | 'fail'

/** State of a task, as in `charts/task.json`. */
export type JobTaskState = 'pending' | 'parked' | 'placed' | 'vacating' | 'cancelling' | 'done' | 'failed' | 'cancelled'

/** Event that changes the state of a task, as in `charts/task.json`. */
export type TaskEvent = 'place' | 'park' | 'unpark' | 'expire' | 'finish' | 'retry' | 'exhaust' | 'lose' | 'vacate' | 'stopped' | 'cancel'

/** One task as submitted by the user. */
export interface TaskSpec {
  command: string
  /** Resources that the task needs; by default one slot and one core. */
  resources?: Partial<Resources>
  /** Expected run time in ms. */
  expected?: number
}

/** A job as submitted by the user. */
export interface JobSpec {
  /** Identifier chosen by the user. Submitting the same job again under the same identifier has no effect. */
  id: string
  kind: JobKind
  class: string
  team?: string
  tasks: TaskSpec[]
}

/** A task with defaults filled in. */
export interface ResolvedTask {
  command: string
  resources: Resources
  /** Expected run time in ms; 0 when unknown. */
  expected: number
}

/** A job with defaults filled in. */
export interface ResolvedJob {
  id: string
  kind: JobKind
  class: string
  team: string
  tasks: ResolvedTask[]
}

/** Status of one task. */
export interface TaskStatus {
  index: number
  state: JobTaskState
  worker: string
  fence: number
  attempts: number
  reason: string
}

/** Status of a job and its tasks. */
export interface JobStatus {
  id: string
  kind: JobKind
  class: string
  team: string
  state: JobState
  reason: string
  tasks: TaskStatus[]
}

/** Status of a job without its tasks. */
export type JobSummary = Omit<JobStatus, 'tasks'>
