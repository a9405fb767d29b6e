/** Room that a task takes or a worker has. */
export interface Size {
  /** Thousandths of a core. */
  cpu: number
  /** MB. */
  memory: number
  accelerators: number
}

/** Tasks of one kind within a job. */
export interface Step {
  /** Number of tasks. */
  count: number
  size: Size
  /** Rough duration of a task in ms, as its owner declares it. */
  estimate: number
  /** Earlier steps, counted from 0, whose tasks must all be done first. */
  after: number[]
  checkpoints: boolean
  /** All tasks start together or none does. */
  gang: boolean
  /** Tasks take longer when they run on more than one rack. */
  sameRack: boolean
  /** Label that the worker must have. */
  label?: string
  /** Rack where the data is; elsewhere tasks take longer. */
  dataRack?: string
  /** Most tasks of the step on one worker. */
  perWorker?: number
  /** Runs until the job is cancelled, and is started again however it ends. */
  lasting: boolean
  /** Takes only what other tasks leave: its processors don't count against the worker. */
  filling: boolean
}

/** A job as a caller hands it in. */
export interface Job {
  id: string
  /** Name of the route that it came by. */
  route: string
  /** Passed to the worker as it is. */
  spec: string
  steps: Step[]
  /** Runs of the whole job at set times; absent: one run at once. */
  repeat?: { count: number, /** ms since 1970 */ first: number, /** ms */ interval: number }
  /** Time on the store's clock, in ms, at which it was handed in. */
  acceptedAt: number
}

/** What callers are told of a job. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'
