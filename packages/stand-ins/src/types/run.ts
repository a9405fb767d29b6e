import type { Resources } from '@rattanstep/core'

/** One stretch of time in which a worker ran a task. */
export interface TaskRun {
  worker: string
  task: string
  fence: number
  resources: Resources
  /** Clock time in ms. */
  from: number
  /** Clock time in ms; `null` while it runs. */
  until: number | null
}
