import type { Job, JobPhase, Size, Step } from '../types/job.js'
import type { WorkerReport } from '../types/worker.js'

/**
 * - `waiting`: nothing runs
 * - `placed`: the decision to start is taken, its order not yet sent
 * - `ordered`: the order was sent and has no answer yet
 * - `running`: the worker has taken the order
 * - `stopping`: it is being stopped, also because its order had no answer
 * - `assumed`: on record from a former decider, not yet seen
 * - `done`: ended well
 */
export type TaskPhase = 'waiting' | 'placed' | 'ordered' | 'running' | 'stopping' | 'assumed' | 'done'

/** One task as the decider sees it. */
export interface Task {
  name: string
  step: StepState
  index: number
  phase: TaskPhase
  /** Number of the last run; 0 before the first. */
  run: number
  /** Worker of a run that is not known to be over. */
  worker?: WorkerState
  failures: number
  checkpoint: string
  /** Monotonic ms at which its order was answered; looks sent before say nothing of it. */
  confirmedAt: number
  /** Monotonic ms at which its stop was answered; 0 before. */
  stopConfirmedAt: number
  /** Monotonic ms before which it is not placed again. */
  notBefore: number
  /** Workers on which it failed. */
  avoidedWorkers: Set<string>
}

/** A ticket of the advice service. */
export interface ValidTicket {
  text: string
  /** Monotonic ms. */
  validUntil: number
}

/** One step of one occurrence. */
export interface StepState {
  name: string
  occurrence: JobOccurrence
  index: number
  definition: Step
  tasks: Task[]
  doneTasks: number
  /** Workers that the advice service has ruled on; its ruling never changes. */
  allowedByWorker: Map<string, boolean>
  tickets: Map<string, ValidTicket>
  /** A question to the advice service is under way. */
  isAdvicePending: boolean
  /** Monotonic ms before which the advice service is not asked again. */
  nextAdviceAt: number
  /** Last run of a gang that counted as a failed attempt. */
  lastFailedRun: number
}

/** One occurrence of a job. */
export interface JobOccurrence {
  job: JobState
  index: number
  /** Time on the monotonic clock, in ms, at which it may start. */
  dueAt: number
  steps: StepState[]
  doneSteps: number
}

/** A job as the decider sees it. */
export interface JobState {
  job: Job
  /** Monotonic ms of the hand-in, as far as known. */
  submittedAt: number
  phase: 'open' | 'completed' | 'failed' | 'cancelled'
  /** What callers may be told: follows `phase` once it is on record. */
  visiblePhase: JobPhase
  occurrences: JobOccurrence[]
  isStarted: boolean
  /** Monotonic ms of its end, for forgetting it. */
  endedAt: number
}

/** A worker as the decider sees it. */
export interface WorkerState {
  report: WorkerReport
  /** Listed by the platform; otherwise only its leases are waited out. */
  isListed: boolean
  /** It has answered under the present fencing token. */
  hasAnswered: boolean
  isReachable: boolean
  /** Estimate of the worker's clock: its value and when it arrived. */
  clock: { value: number, at: number }
  /** Monotonic ms at which every lease given to it has run out. */
  leasesExpireAt: number
  /** Ends taken in that are not on record yet. */
  unrecordedEnds: Set<number>
  /** Number of the last end that was taken in. */
  lastEndNumber: number
  tasks: Map<string, Task>
  used: Size
  /** Runs there that no record explains; no work is given until they are gone. */
  unknownRuns: number
  /** Monotonic ms before which no work is given. */
  suspendedUntil: number
  /** Does far less than declared durations let expect; given work last. */
  isSlow: boolean
  /** Failed runs in a row. */
  consecutiveFailures: number
}
