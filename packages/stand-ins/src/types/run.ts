import type { Resources } from '@rattanstep/core'

/** One run of a task on a worker. */
export interface TaskRun {
  worker: string
  task: string
  fence: number
  resources: Resources
  /** Clock time of the start in ms. */
  from: number
  /** Clock time of the end in ms; `null` while the task runs. */
  until: number | null
}
