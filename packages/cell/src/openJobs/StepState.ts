import type { Step } from '../types/job.js'
import type { JobOccurrence, ValidTicket } from '../runtime/model.js'
import { stepName } from '../runtime/taskName.js'
import type { TaskCounter } from './TaskCounter.js'
import { TaskList } from './TaskList.js'

/** State of a step in one occurrence of a job. What the advice service has said is kept from its first answer on: most steps of a long queue have none. */
export class StepState {
  readonly tasks: TaskList
  doneTasks = 0
  /** Monotonic ms from which rejected workers may be asked about again if the step has no others, and ms to add for the time after that. */
  nextReviewAt = 0
  reviewDelay = 0
  /** Monotonic ms at which the tickets that were last asked for are expected, or 0. */
  ticketsExpectedAt = 0
  /** Monotonic ms before which the advice service is not called again. */
  nextAdviceAt = 0
  /** Monotonic ms before which a gang is not planned again, unless the advice service answers or runs on its workers end. */
  nextPlanAt = 0
  /** Number of runs that had ended on the gang's workers when it was last planned. */
  plannedReleases = 0
  /** Monotonic ms since which the step has waited while most of its service's capacity was free. */
  waitingSince: number | undefined = undefined
  /** Number of the last run of the gang that was counted as a failure. */
  lastFailedRun = 0
  private allowed: Map<string, number> | undefined = undefined
  private rejected: Map<string, number> | undefined = undefined
  private validTickets: Map<string, ValidTicket> | undefined = undefined
  private asked: Set<string> | undefined = undefined

  /**
   * @param occurrence - occurrence of the step's job
   * @param index - number of the step
   * @param definition - the step as submitted
   * @param counter - counts the objects of its tasks
   */
  constructor (readonly occurrence: JobOccurrence, readonly index: number, readonly definition: Step, counter: TaskCounter) {
    this.tasks = new TaskList(this, definition.count, counter)
  }

  /** @returns name of the step, unique among all jobs */
  get name (): string {
    return stepName(this.occurrence.job.job.id, this.occurrence.index, this.index)
  }

  /** @returns incarnations of the workers on which the advice service allows the step, by id of the worker */
  get allowedWorkers (): Map<string, number> {
    this.allowed ??= new Map()
    return this.allowed
  }

  /** @returns periods of presence of the workers for which the advice service gave no ticket, by id of the worker */
  get rejectedWorkers (): Map<string, number> {
    this.rejected ??= new Map()
    return this.rejected
  }

  /** @returns tickets by id of the worker */
  get tickets (): Map<string, ValidTicket> {
    this.validTickets ??= new Map()
    return this.validTickets
  }

  set tickets (tickets: Map<string, ValidTicket>) {
    this.validTickets = tickets
  }

  /** @returns ids of the workers that are named in calls to the advice service in flight */
  get askedWorkers (): Set<string> {
    this.asked ??= new Set()
    return this.asked
  }

  /** @returns numbers of workers of which the advice service has said or is asked whether the step may use them */
  get adviceCounts (): { allowed: number, rejected: number, asked: number } {
    return { allowed: this.allowed?.size ?? 0, rejected: this.rejected?.size ?? 0, asked: this.asked?.size ?? 0 }
  }

  /** @returns the ticket for a worker, if there is one */
  ticketFor (worker: string): ValidTicket | undefined {
    return this.validTickets?.get(worker)
  }

  /** @returns whether the advice service gave no ticket for a worker in a period of its presence */
  hasRejected (worker: string, presence: number): boolean {
    return this.rejected?.get(worker) === presence
  }
}
