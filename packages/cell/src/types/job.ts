import type { OrganisationTerms, RouteTerms } from './configuration.js'

/** Resources that a task needs or a worker has. */
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
  /** Approximate duration of a task in ms, as declared by the job's owner. */
  estimate: number
  /** Indexes of the earlier steps whose tasks must all be done before this step starts. */
  after: number[]
  /** Whether the tasks write checkpoints, from which a later run of the task continues. */
  checkpoints: boolean
  /** Whether the tasks start all together or not at all. */
  gang: boolean
  /** Whether tasks take longer if they run on more than one rack. */
  sameRack: boolean
  /** Label that the worker must have. */
  label?: string
  /** Rack that holds the data; tasks take longer on other racks. */
  dataRack?: string
  /** Maximum number of tasks of the step on one worker. */
  perWorker?: number
  /** Whether each task runs until the job is cancelled; a run that ends, in whatever way, is started again. */
  lasting: boolean
  /** Whether the tasks use only the processor time that other tasks leave over: their `cpu` is not charged to the worker. */
  filling: boolean
}

/** A job as submitted by a caller. */
export interface Job {
  id: string
  /** Name of the route to which the job was submitted. */
  route: string
  /** Terms of the route at the submission, which apply once the route is removed. Jobs accepted by earlier versions lack them. */
  terms?: RouteTerms
  /** Name of the organisation that submitted the job; absent where callers need no keys. */
  organisation?: string
  /** Terms of the organisation at the submission, which apply once it is removed from the configuration. */
  organisationTerms?: OrganisationTerms
  /** Opaque text that is passed to the worker unchanged. */
  spec: string
  steps: Step[]
  /** Schedule for running the whole job several times; without it, the job runs once, immediately. */
  repeat?: { count: number, /** ms since 1970 */ first: number, /** ms */ interval: number }
  /** Time of the submission on the store's clock, in ms. */
  acceptedAt: number
}

/** Phase of a job as reported to callers. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** A job that is on record. */
export interface RecordedJob {
  job: Job
  /** Version of the row that stores the submission. */
  version: number
}
