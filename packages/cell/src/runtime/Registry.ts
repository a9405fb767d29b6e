import type { Job, Size, Step } from '../types/job.js'
import type { WorkerReport } from '../types/worker.js'
import { countCrashes } from './CrashBudget.js'
import { TaskCounter } from '../openJobs/TaskCounter.js'
import { createOccurrence } from './createOccurrence.js'
import type { JobState, StepState, Task, JobOccurrence, WorkerState } from './model.js'
import { Schedule } from './Schedule.js'

/** Phase of a job that has ended. */
export type EndedPhase = Exclude<JobState['phase'], 'open'>

/** What is kept of a job that has ended. */
export interface ArchivedJob {
  phase: EndedPhase
  /** Monotonic ms of the archiving. */
  at: number
  /** Version of the store by which the job was recorded. */
  version: number
  /** Who the job is charged to, unless it had ended before this decider took over. */
  holder?: string
}

const NO_USAGE: Readonly<Size> = { cpu: 0, memory: 0, accelerators: 0 }

/** All jobs, tasks and workers known to a decider. */
export class Registry {
  readonly jobs = new Map<string, JobState>()
  /** Archived jobs, in order of their archiving. */
  readonly endedJobs = new Map<string, ArchivedJob>()
  readonly workers = new Map<string, WorkerState>()
  /** Steps that have waiting tasks and whose earlier steps are done. */
  readonly readySteps = new Set<StepState>()
  /** Open jobs with suspects. */
  readonly suspectedJobs = new Set<JobState>()
  /** Number of jobs of which no task has started, by route. */
  private readonly waitingByRoute = new Map<string, number>()
  /** Number of jobs of which no task has started, by organisation. */
  private readonly waitingByOrganisation = new Map<string, number>()
  /** What the organisations have running or placed over all workers, by name. */
  private readonly usage = new Map<string, Size>()
  private readonly schedule: Schedule
  private nextPresence = 1

  /** @param tasks - counts the task objects */
  constructor (readonly tasks = new TaskCounter()) {
    this.schedule = new Schedule(tasks)
  }

  /**
   * Adds a job, unless it is known already.
   *
   * @param job - the job
   * @param times - `now`: monotonic ms; `age`: ms since the submission; `wall`: ms since 1970
   * @returns the job's state
   */
  addJob (job: Job, times: { now: number, age: number, wall: number }): JobState {
    const existing = this.jobs.get(job.id)
    if (existing !== undefined) return existing
    const state: JobState = { job, submittedAt: times.now - times.age, phase: 'open', visiblePhase: 'queued', occurrences: [], nextOccurrence: 0, firstDueAt: times.now + (job.repeat === undefined ? 0 : job.repeat.first - times.wall), isStarted: false, touchedTasks: 0, recordLength: 0, isRecordRejected: false, isBeyondRate: false, suspects: new Set(), isCleared: false, suspectedSince: 0, reservedWorker: '', endedAt: 0 }
    this.jobs.set(job.id, state)
    this.adjustWaiting(job, 1)
    if (job.repeat !== undefined) this.schedule.add(state)
    else this.updateReadySteps(state.occurrences[state.nextOccurrence++] = createOccurrence(state, 0, this.tasks))
    return state
  }

  /** Removes a job that has ended, except for its final phase. */
  archive (id: string, archived: ArchivedJob): void {
    const state = this.jobs.get(id)
    if (state?.job.repeat !== undefined) this.schedule.remove(state)
    for (const { steps } of state?.occurrences ?? []) for (const step of steps) step.tasks.clear()
    this.jobs.delete(id)
    this.endedJobs.set(id, archived)
  }

  /** Creates the occurrences of scheduled jobs that are due; `now`: monotonic ms. */
  openDueOccurrences (now: number): void {
    for (const occurrence of this.schedule.createDue(now)) this.updateReadySteps(occurrence)
  }

  /** Creates an occurrence of a scheduled job that is on record as open. */
  restoreOccurrence (state: JobState, index: number): JobOccurrence {
    return this.schedule.restore(state, index)
  }

  /** Removes an occurrence of a scheduled job if all its tasks are done and none is still assigned to a worker. */
  closeOccurrence (occurrence: JobOccurrence): void {
    const isOpen = occurrence.doneSteps < occurrence.steps.length || occurrence.steps.some(step => step.tasks.hasRuns)
    if (occurrence.job.job.repeat !== undefined && !isOpen) this.schedule.close(occurrence)
  }

  /** Records that a task of the job has started, or that the job ended without a start. */
  markStarted (state: JobState): void {
    if (state.isStarted) return
    state.isStarted = true
    this.adjustWaiting(state.job, -1)
    if (state.visiblePhase === 'queued') state.visiblePhase = 'running'
  }

  /**
   * @param route - name of a route
   * @returns number of accepted jobs of which no task has started
   */
  countWaiting (route: string): number {
    return this.waitingByRoute.get(route) ?? 0
  }

  /**
   * @param organisation - name of an organisation
   * @returns number of its accepted jobs of which no task has started
   */
  countWaitingOf (organisation: string): number {
    return this.waitingByOrganisation.get(organisation) ?? 0
  }

  /** Updates the set of ready steps after a change of tasks of an occurrence. */
  updateReadySteps (occurrence: JobOccurrence): void {
    for (const step of occurrence.steps) this.updateReadyStep(step)
  }

  /** Updates whether a step is ready after a change of its tasks by which it has not become done. */
  updateReadyStep (step: StepState): void {
    const { occurrence, definition } = step
    const isReady = occurrence.job.phase === 'open' && step.tasks.hasWaiting && definition.after.every(earlier => isStepDone(occurrence.steps[earlier]))
    if (isReady) this.readySteps.add(step)
    else {
      this.readySteps.delete(step)
      step.waitingSince = undefined
    }
  }

  /** Updates the suspects of a task's job after a change of the task's crashes or phase. */
  updateSuspicion (task: Task): void {
    const { job } = task.step.occurrence
    if (countCrashes(task) > 0 && task.phase !== 'done') job.suspects.add(task)
    else job.suspects.delete(task)
    if (job.suspects.size > 0 && job.phase === 'open') this.suspectedJobs.add(job)
    else this.suspectedJobs.delete(job)
  }

  /** Assigns a task to a worker and reserves the resources for it. */
  assign (task: Task, worker: WorkerState): void {
    task.worker = worker
    worker.tasks.set(task.name, task)
    addSize(worker.used, reservedSize(task.step.definition), 1)
    this.adjustUsage(task, 1)
  }

  /** Releases the resources of a run that has ended. */
  release (task: Task): void {
    const worker = task.worker
    if (worker === undefined) return
    task.worker = undefined
    if (task.phase === 'done') task.step.tasks.release(task)
    if (!worker.tasks.delete(task.name)) return
    addSize(worker.used, reservedSize(task.step.definition), -1)
    this.adjustUsage(task, -1)
    worker.releases++
  }

  /** @returns the state of a worker, which is created if the worker is new */
  ensureWorker (report: WorkerReport): WorkerState {
    const existing = this.workers.get(report.id)
    if (existing !== undefined) return existing
    const state: WorkerState = {
      report,
      describedIncarnation: report.born,
      isListed: true,
      hasAnswered: false,
      isReachable: false,
      presence: this.nextPresence++,
      isReplaced: false,
      isLossNoted: false,
      leavingIncarnation: 0,
      clock: { value: 0, at: 0 },
      pollSentAt: 0,
      noticedIncarnation: report.born,
      generation: 0,
      unansweredOrders: [],
      leasesExpireAt: 0,
      leaseGrant: { source: 'none', at: 0, clockAge: 0 },
      unrecordedEnds: new Set(),
      deferredEnds: new Map(),
      lastEndNumber: 0,
      lastAcknowledgedEnd: 0,
      tasks: new Map(),
      used: { cpu: 0, memory: 0, accelerators: 0 },
      releases: 0,
      unknownRuns: 0,
      suspendedUntil: 0,
      isSlow: false,
      speed: 1,
      speedClass: 0,
      consecutiveFailures: 0
    }
    this.workers.set(report.id, state)
    return state
  }

  /** Records that a worker is absent or has a new incarnation. */
  endPresence (worker: WorkerState): void {
    worker.presence = this.nextPresence++
  }

  /**
   * @param name - name of a task
   * @returns the task, or `undefined` if its job is not known
   */
  findTask (name: string): Task | undefined {
    const [id, occurrence, step, index] = name.split('.')
    return this.jobs.get(id ?? '')?.occurrences.find(each => each.index === Number(occurrence))?.steps[Number(step)]?.tasks.at(Number(index))
  }

  /**
   * @param organisation - name of an organisation
   * @returns the resources of its runs that are placed or not known to have ended, over all workers
   */
  usageOf (organisation: string): Readonly<Size> {
    return this.usage.get(organisation) ?? NO_USAGE
  }

  private adjustUsage ({ step }: Task, sign: 1 | -1): void {
    const { organisation } = step.occurrence.job.job
    if (organisation === undefined) return
    let usage = this.usage.get(organisation)
    if (usage === undefined) this.usage.set(organisation, usage = { ...NO_USAGE })
    addSize(usage, step.definition.size, sign)
    if (usage.cpu <= 0 && usage.memory <= 0 && usage.accelerators <= 0) this.usage.delete(organisation)
  }

  private adjustWaiting ({ route, organisation }: Job, change: number): void {
    this.waitingByRoute.set(route, (this.waitingByRoute.get(route) ?? 0) + change)
    if (organisation !== undefined) this.waitingByOrganisation.set(organisation, (this.waitingByOrganisation.get(organisation) ?? 0) + change)
  }
}

/** @returns whether all tasks of a step are done; tasks of a lasting step never are */
export function isStepDone (step: StepState | undefined): boolean {
  return step === undefined || step.doneTasks === step.tasks.length
}

/** @returns the resources that a task of the step reserves on its worker */
export function reservedSize (step: Step): Size {
  return step.filling ? { ...step.size, cpu: 0 } : step.size
}

function addSize (to: Size, size: Size, sign: 1 | -1): void {
  to.cpu += sign * size.cpu
  to.memory += sign * size.memory
  to.accelerators += sign * size.accelerators
}
