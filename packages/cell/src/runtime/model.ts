import type { StepState } from '../openJobs/StepState.js'
import type { Job, JobPhase, Size } from '../types/job.js'
import type { ListedEnd, WorkerReport } from '../types/worker.js'

export type { StepState } from '../openJobs/StepState.js'

/**
 * - `waiting`: no run exists
 * - `placed`: the task is assigned to a worker, and the order to start is not yet sent
 * - `ordered`: the order to start is sent and not yet answered, or got no answer in time and no list of the worker has shown since whether the run has begun
 * - `running`: the worker has taken the order
 * - `stopping`: the run is being stopped, for example because the order to start got no answer and the worker doesn't list the run
 * - `assumed`: the run is on record from a former decider, and its worker has not yet listed it
 * - `done`: the task has completed successfully
 */
export type TaskPhase = 'waiting' | 'placed' | 'ordered' | 'running' | 'stopping' | 'assumed' | 'done'

/**
 * How certain it is that a worker crashed under a run.
 *
 * - `possible`: the leases of a worker that is still listed expired in silence; the crash doesn't count yet
 * - `presumed`: the worker's entry has also expired, without an announced stop
 * - `confirmed`: another incarnation of the worker runs
 * - `excused`: the worker was lost together with its rack or data centre, so the crash doesn't count
 */
export type CrashCertainty = 'possible' | 'presumed' | 'confirmed' | 'excused'

/** Crash of a worker while it may have been executing a run of a task. */
export interface Crash {
  /** Id of the worker. */
  worker: string
  /** Tag of the worker's incarnation, or 0 if it is not known. */
  incarnation: number
  /** Number of the run. */
  run: number
  certainty: CrashCertainty
  /** Whether only tasks of the same job ran on the worker. */
  isAlone: boolean
}

/** State of a task at the decider. */
export interface Task {
  name: string
  step: StepState
  index: number
  phase: TaskPhase
  /** Number of the last run, or 0 before the first. */
  run: number
  /** Worker of the last run, while the run is not known to have ended. */
  worker?: WorkerState
  /** Tag of the incarnation of the worker to which the last run was ordered, or 0 if it is not known. */
  incarnation: number
  /** Number of the last run whose order to start this decider has sent, or 0. */
  sentRun: number
  /** Number of the last run that a worker is known to have begun, or 0. A placement on record doesn't show that its order was sent. */
  begunRun: number
  failures: number
  /** Crashes of workers under the task, the earliest first. */
  crashes: Crash[]
  checkpoint: string
  /** Monotonic ms at which the order to start was answered or the run was first listed. Polls sent before that time may not list the run. */
  confirmedAt: number
  /** Monotonic ms at which the order to start the last run was sent, or 0. */
  orderSentAt: number
  /** Whether that order got no answer in time, so that only a list of the worker tells whether the run has begun. */
  isUnanswered: boolean
  /** Monotonic ms at which the order to stop was answered, or 0. */
  stopConfirmedAt: number
  /** Monotonic ms at which the last run was ordered to stop, or 0. */
  stopOrderedAt: number
  /** Number of runs that this decider has stopped for more urgent work. */
  preemptions: number
  /** Monotonic ms at which the run will end according to its progress, or 0 if that is not known. */
  projectedEndAt: number
  /** Monotonic ms before which the task is not placed again. */
  notBefore: number
  /** Ids of the workers on which the task has failed. */
  avoidedWorkers: Set<string>
}

/** Ticket of the advice service for one worker. */
export interface ValidTicket {
  text: string
  /** Monotonic ms. */
  validUntil: number
  /** Incarnation of the worker that accepts the ticket. */
  born: number
}

/** Capacity that is held for a gang until it starts. */
export interface GangHold {
  /** Monotonic ms at which the gang is expected to start. */
  startAt: number
  /** Number of tasks for each worker, by id of the worker. */
  tasksByWorker: Map<string, number>
}

/** One occurrence of a job. */
export interface JobOccurrence {
  job: JobState
  index: number
  /** Monotonic ms from which the occurrence may start. */
  dueAt: number
  steps: StepState[]
  doneSteps: number
}

/** State of a job at the decider. */
export interface JobState {
  job: Job
  /** Monotonic ms of the submission, as far as it is known. */
  submittedAt: number
  phase: 'open' | 'completed' | 'failed' | 'cancelled'
  /** Phase reported to callers; a change of `phase` is reported only once it is on record. */
  visiblePhase: JobPhase
  /** Open occurrences, in order of their creation; those of a scheduled job are created when they are due and removed when they have ended. */
  occurrences: JobOccurrence[]
  /** Number of the next occurrence to create; earlier ones that are not open have ended. */
  nextOccurrence: number
  /** Monotonic ms from which the first occurrence may start. */
  firstDueAt: number
  isStarted: boolean
  /** Number of its tasks that have an object. */
  touchedTasks: number
  /** Characters of its record as it was last encoded, or 0 before the first time. */
  recordLength: number
  /** Whether the store doesn't accept its record. */
  isRecordRejected: boolean
  /** Whether the job was submitted beyond the rate of its organisation; this doesn't change later. */
  isBeyondRate: boolean
  /** Tasks that are not done and under which a worker has crashed. */
  suspects: Set<Task>
  /** Whether a suspect has completed since the last crash under a task of the job. */
  isCleared: boolean
  /** Monotonic ms since which a suspect waits for a worker of its own, or 0. */
  suspectedSince: number
  /** Id of the worker that is kept free for a suspect, or ''. */
  reservedWorker: string
  /** Monotonic ms at which the job ended. */
  endedAt: number
}

/**
 * What a worker's longest lease comes from.
 *
 * - `none`: there is no lease
 * - `start`, `poll`: an order of this decider
 * - `former-incarnation`: an order by the clock of a former incarnation may have reached, or may still reach, the present one
 * - `former-term`: a former decider
 */
export type LeaseSource = 'none' | 'start' | 'poll' | 'former-incarnation' | 'former-term'

/** Origin of a lease. */
export interface LeaseGrant {
  source: LeaseSource
  /** Monotonic ms. */
  at: number
  /** Age in ms of the value of the worker's clock by which the lease was computed. */
  clockAge: number
}

/** State of a worker at the decider. */
export interface WorkerState {
  report: WorkerReport
  /** Start of the incarnation whose entry in the instance list gave the report's capacity, labels and state, in ms since 1970; 0 if the entry doesn't say. */
  describedIncarnation: number
  /** Whether the worker is in the platform's instance list. A worker that isn't gets no tasks and is kept until its leases have expired. */
  isListed: boolean
  /** Whether the worker has answered under the current fencing token. */
  hasAnswered: boolean
  isReachable: boolean
  /**
   * Number of the period since the worker was last found absent or in a new incarnation, unique among all workers. The advice service gives no ticket
   * for a worker that it misses, which says nothing about the time when the worker is back.
   */
  presence: number
  /** Whether another worker has answered at the worker's address since its last answer. */
  isReplaced: boolean
  /** Whether the loss of contact since the last answer is noted. */
  isLossNoted: boolean
  /** Tag of the incarnation that has announced a planned stop, or 0. */
  leavingIncarnation: number
  /** Last known value of the worker's clock, and the monotonic ms at which the value arrived. */
  clock: { value: number, at: number }
  /** Monotonic ms at which the poll that the worker has not answered yet was sent, or 0. */
  pollSentAt: number
  /** Start of the newest incarnation that this decider has noticed, in ms since 1970. */
  noticedIncarnation: number
  /** Number of new incarnations that this decider has noticed; part of the fencing token of orders to the worker. */
  generation: number
  /** Monotonic ms at which orders with a lease were sent that have not been answered. Until they are too old, an incarnation may carry them out. */
  unansweredOrders: number[]
  /** Monotonic ms at which all leases granted to the worker have expired. */
  leasesExpireAt: number
  /** What has decided that time. */
  leaseGrant: LeaseGrant
  /** Numbers of the reported ends that are not yet on record. */
  unrecordedEnds: Set<number>
  /** Ends by number whose jobs are being loaded from the store, and which are handled then. */
  deferredEnds: Map<number, ListedEnd>
  /** Number of the last end that was handled or kept for later. */
  lastEndNumber: number
  /** Number of the last end that the worker was told to forget. */
  lastAcknowledgedEnd: number
  tasks: Map<string, Task>
  used: Size
  /** Number of runs that have released their resources. */
  releases: number
  /** Number of runs on the worker that are not on record. No tasks are placed on the worker while there are any. */
  unknownRuns: number
  /** Monotonic ms before which no tasks are placed on the worker. */
  suspendedUntil: number
  /** Whether the worker is much slower than the declared durations suggest. Slow workers are used last. */
  isSlow: boolean
  /** Speed relative to the nominal one; 1 while it is not known or while the speeds of the workers hardly differ. */
  speed: number
  /** Class of that speed; 0 for the nominal speed. */
  speedClass: number
  /** Number of consecutive failed runs. */
  consecutiveFailures: number
}
